//! Case `grace`: the settings allow a longer stop, and a front is stopped while streams run.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{self, Kind, Runs};
use crate::http::Connection;
use crate::site::{signal, Record, Site};
use crate::Verdict;

/// `bounds.graceS` at the start of the processes, in seconds.
const OLD_GRACE: u64 = 4;
/// `bounds.graceS` of the changed settings, in seconds.
const NEW_GRACE: u64 = 12;
/// Streams in progress when the front is stopped.
const STREAMS: usize = 12;
/// Events of each stream.
const EVENTS: u32 = 18;
/// Time between two events, within `gapGoalMs`.
const GAP: Duration = Duration::from_millis(400);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let first = if has_trouble { OLD_GRACE } else { NEW_GRACE };
    let mut site = Site::start(&format!("bounds.graceS={first}"))?;
    let runs = Arc::<Runs>::default();
    let kind = Kind {
        events: Some(engine::Events {
            count: EVENTS,
            gap: GAP,
        }),
        ..Kind::sound("model", Duration::from_millis(50))
    };
    engine::start(&site.store, record, &runs, &kind, 3)?;
    site.store.set("config", "main", &manifest());
    site.launch()?;
    if has_trouble {
        site.change_settings(&format!("bounds.graceS={NEW_GRACE}"))?;
        for front in &site.fronts {
            signal(front.child.id(), "HUP")?;
        }
        record.add(&format!(
            "settings changed to graceS {NEW_GRACE}, SIGHUP sent"
        ));
    }
    // After `contactMs` and `configApplyMs` the change is over.
    thread::sleep(Duration::from_secs(6));
    let to = site.fronts[0].front;
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || stream(to, number, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let stopped = Instant::now();
    signal(site.fronts[0].child.id(), "TERM")?;
    record.add("SIGTERM sent to front-1");
    let grace = Duration::from_secs(NEW_GRACE);
    while stopped.elapsed() < grace && site.fronts[0].child.try_wait()?.is_none() {
        thread::sleep(Duration::from_millis(20));
    }
    let took = stopped.elapsed();
    record.add(&format!("front-1 ended after {:.2} s", took.as_secs_f64()));
    // The platform kills a process that still runs then.
    let _ = site.fronts[0].child.kill();
    let mut lost = 0;
    for stream in streams {
        lost += usize::from(!stream.join().unwrap_or(false));
    }
    let line = format!(
        "LOST: {lost} of {STREAMS} streams ended without their end around a planned stop (none may); \
         the process ended {:.2} s after SIGTERM, graceS is {NEW_GRACE}",
        took.as_secs_f64()
    );
    record.add(&line);
    println!("{line}");
    Ok(match lost > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Reads one stream; returns `true` if it is complete.
fn stream(to: SocketAddr, number: usize, record: &Record) -> bool {
    let id = format!("stream{number}");
    let answer = ask(to, &id);
    let Ok((status, complete, events)) = answer else {
        record.add(&format!("no answer {id}"));
        return false;
    };
    record.add(&format!(
        "answer {id}: {status}, {events} of {EVENTS} events, complete: {complete}"
    ));
    complete
}

fn ask(to: SocketAddr, id: &str) -> io::Result<(u16, bool, usize)> {
    let mut channel = Connection::open(to, Duration::from_secs(15))?;
    let text = format!(
        "POST /chat/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Counts: 100,{EVENTS}\r\nDeadline-Ms: 15000\r\nX-Api-Key: secret\r\n\
         Content-Length: 3\r\n\r\nask"
    );
    channel.write(text.as_bytes())?;
    let answer = channel.response()?;
    let body = String::from_utf8_lossy(&answer.body);
    let events = body.lines().filter(|line| line.starts_with("id: ")).count();
    Ok((answer.status, answer.complete, events))
}

fn manifest() -> String {
    String::from(
        "{\"version\":1,\"routes\":[{\"name\":\"chat\",\"host\":\"site.example\",\
         \"pathPrefix\":\"/chat/\",\"kind\":\"streaming\",\"timeoutMs\":15000,\"goalMs\":1000,\
         \"priority\":1,\"service\":\"model\",\"maxAttempts\":1,\"allowAnonymous\":false,\
         \"sticky\":true,\"resumable\":false,\"gapGoalMs\":500}],\
         \"services\":[{\"name\":\"model\",\"healthPath\":\"/health\",\"maxConnections\":370,\
         \"engine\":{\"slots\":64}}],\
         \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\
         \"tenants\":[{\"name\":\"ward\",\"apiKeys\":[\"secret\"]}]}",
    )
}
