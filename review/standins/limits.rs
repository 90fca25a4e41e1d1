//! Case `limits`: a manifest allows longer bodies while consumers keep idle channels open.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::engine::{self, Kind, Runs};
use crate::http::Connection;
use crate::site::{Record, Site};
use crate::Verdict;

/// Consumers, each with a channel of its own that it keeps.
const CONSUMERS: usize = 40;
/// Longest body of the first manifest, in bytes.
const OLD_LIMIT: usize = 65_536;
/// Longest body of the later manifest, in bytes.
const NEW_LIMIT: usize = 1_048_576;
/// Body of each consumer's second request, in bytes.
const BODY: usize = 200_000;
/// Time from the confirmation of the manifest to the requests: `configApplyMs` and `contactMs` are
/// over, and the channels have been idle for less than four fifths of `idleTimeoutMs`.
const SETTLE: Duration = Duration::from_secs(6);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start("")?;
    let runs = Arc::<Runs>::default();
    let work = Duration::from_millis(20);
    engine::start(&site.store, record, &runs, &Kind::sound("app", work), 3)?;
    let first = if has_trouble { OLD_LIMIT } else { NEW_LIMIT };
    site.store.set("config", "main", &manifest(1, first));
    site.launch()?;
    let mut channels = Vec::new();
    for number in 0..CONSUMERS {
        let to = site.fronts[number % site.fronts.len()].front;
        let mut channel = Connection::open(to, Duration::from_secs(8))?;
        let status = ask(&mut channel, &format!("first{number}"), 600)?;
        if status != 200 {
            return Err(io::Error::other("the first request is not served"));
        }
        channels.push(channel);
    }
    if has_trouble {
        site.store.set("config", "main", &manifest(2, NEW_LIMIT));
        record.add(&format!("manifest 2 confirmed, maxBodyBytes {NEW_LIMIT}"));
    }
    thread::sleep(SETTLE);
    let mut denied = 0;
    for (number, channel) in channels.iter_mut().enumerate() {
        let id = format!("second{number}");
        let status = ask(channel, &id, BODY)?;
        record.add(&format!("answer {id} on a kept channel: {status}"));
        denied += usize::from((300..500).contains(&status) && ![408, 421, 429].contains(&status));
        let mut channel = Connection::open(channel.stream().peer_addr()?, Duration::from_secs(8))?;
        let id = format!("new{number}");
        let status = ask(&mut channel, &id, BODY)?;
        record.add(&format!("answer {id} on a new channel: {status}"));
        denied += usize::from((300..500).contains(&status) && ![408, 421, 429].contains(&status));
    }
    let requests = 3 * CONSUMERS;
    let allowed = 5.0 + requests as f64 / 500.0;
    let line = format!(
        "DENIED: {denied} of {requests} proper requests ended with a 4xx; {allowed:.2} are allowed"
    );
    record.add(&line);
    println!("{line}");
    Ok(match denied as f64 > allowed {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Sends one order and returns the status of its answer, 0 if there is none.
fn ask(channel: &mut Connection, id: &str, bytes: usize) -> io::Result<u16> {
    let head = format!(
        "POST /pay/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 5000\r\n\
         X-Api-Key: secret\r\nContent-Length: {bytes}\r\n\r\n"
    );
    // The answer may come before the body has been read.
    let sent = channel.write(head.as_bytes());
    let _ = sent.and_then(|()| channel.write(&vec![b'x'; bytes]));
    Ok(channel.response().map_or(0, |answer| answer.status))
}

fn manifest(version: u32, limit: usize) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"pay\",\"host\":\"site.example\",\
         \"pathPrefix\":\"/pay/\",\"kind\":\"unsafe\",\"timeoutMs\":5000,\"goalMs\":1000,\
         \"priority\":0,\"service\":\"app\",\"maxAttempts\":1,\"allowAnonymous\":false}}],\
         \"services\":[{{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConnections\":110}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":{limit},\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"ward\",\"apiKeys\":[\"secret\"]}}]}}"
    )
}
