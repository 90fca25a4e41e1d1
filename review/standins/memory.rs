//! Case `memory`: many consumers send long bodies at once, and the platform holds a front to its
//! memory.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{self, Kind, Runs};
use crate::http::Connection;
use crate::site::{self, Record, Site};
use crate::Verdict;

/// `limits.memoryMb` of the settings, in bytes.
const MEMORY: u64 = 260 * 1024 * 1024;
/// Bytes per second that arrive at a front: four fifths of its link (`limits.linkMbps` = 1000), so
/// that no packet waits there.
const ARRIVALS: f64 = 100e6;
/// Longest body that the manifest allows, which each long request has.
const BODY: usize = 4_194_304;
/// Consumers that send a long request at the same time.
const USUAL: usize = 48;
/// The same in a burst, 1.7 times as many (`burst`, x = 1.7).
const BURST: usize = 81;
/// Consumers that send short orders on kept channels, one after the other.
const STEADY: usize = 12;
/// Requests that a machine may lose on kept channels.
const ALLOWED: usize = 3;

/// What the consumers have seen.
#[derive(Default)]
struct Seen {
    /// Orders whose kept channel ended without an answer.
    unanswered: Mutex<Vec<String>>,
    answered: AtomicU32,
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start("")?;
    let runs = Arc::<Runs>::default();
    let work = Duration::from_millis(60);
    engine::start(&site.store, record, &runs, &Kind::sound("app", work), 3)?;
    site.store.set("config", "main", &manifest());
    site.launch()?;
    // After `contactMs` all machines are in touch.
    thread::sleep(Duration::from_secs(4));
    let (seen, done) = (Arc::<Seen>::default(), Arc::<AtomicBool>::default());
    let (to, pid) = (site.fronts[0].front, site.fronts[0].child.id());
    let watch = {
        let (record, done) = (record.clone(), done.clone());
        thread::spawn(move || hold_to_memory(pid, &record, &done))
    };
    let steady: Vec<_> = (0..STEADY)
        .map(|number| {
            let (record, seen, done) = (record.clone(), seen.clone(), done.clone());
            thread::spawn(move || order(to, number, &record, &seen, &done))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let count = if has_trouble { BURST } else { USUAL };
    record.add(&format!("{count} consumers send {BODY} bytes each"));
    let uploads: Vec<_> = (0..count)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || upload(to, number, count, &record))
        })
        .collect();
    for upload in uploads {
        // A consumer whose channel ends has recorded it.
        let _ = upload.join();
    }
    thread::sleep(Duration::from_secs(2));
    done.store(true, Ordering::Relaxed);
    for consumer in steady {
        let _ = consumer.join();
    }
    let peak = watch.join().unwrap_or_default();
    let ran: BTreeSet<_> = runs.all().into_iter().map(|run| run.id).collect();
    let unanswered = seen.unanswered.lock().expect("no consumer panics");
    let lost = unanswered.iter().filter(|id| ran.contains(*id)).count();
    let line = format!(
        "LOST: {lost} orders were passed on to sound engines and their kept channel ended without \
         an answer ({ALLOWED} are allowed); {} answered; peak memory {} MiB of 260",
        seen.answered.load(Ordering::Relaxed),
        peak >> 20
    );
    record.add(&line);
    println!("{line}");
    if has_trouble && site.fronts[0].child.try_wait()?.is_some() {
        site.restart(0)?;
    }
    Ok(match lost > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Kills a front whose memory exceeds its limit, as the platform does; returns its peak.
fn hold_to_memory(pid: u32, record: &Record, done: &AtomicBool) -> u64 {
    let mut peak = 0;
    while !done.load(Ordering::Relaxed) {
        let used = resident(pid);
        peak = peak.max(used);
        if used > MEMORY {
            record.add(&format!(
                "front-1 uses {used} bytes, over its memory: killed"
            ));
            // A front that has ended needs no signal.
            let _ = site::signal(pid, "KILL");
            return peak;
        }
        thread::sleep(Duration::from_millis(10));
    }
    peak
}

/// Returns the resident bytes of a process, without what its sockets hold.
fn resident(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Sends short orders on one channel until the end of the case or of the channel.
fn order(to: SocketAddr, number: usize, record: &Record, seen: &Seen, done: &AtomicBool) {
    let Ok(mut channel) = Connection::open(to, Duration::from_secs(8)) else {
        return;
    };
    for turn in 0.. {
        if done.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("order{number}x{turn}");
        let text = format!(
            "POST /pay/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 3000\r\nX-Api-Key: secret\r\nContent-Length: 5\r\n\r\norder"
        );
        if channel.write(text.as_bytes()).is_err() {
            return;
        }
        record.add(&format!("sent {id}"));
        match channel.response() {
            Ok(answer) => {
                seen.answered.fetch_add(1, Ordering::Relaxed);
                record.add(&format!("answer {id}: {}", answer.status));
            }
            Err(fault) => {
                record.add(&format!("no answer {id}: {fault}"));
                seen.unanswered.lock().expect("no consumer panics").push(id);
                return;
            }
        }
    }
}

/// Sends one long request at this consumer's share of the arrivals.
fn upload(to: SocketAddr, number: usize, count: usize, record: &Record) -> io::Result<()> {
    const PIECE: usize = 32 * 1024;
    let id = format!("long{number}");
    let mut channel = Connection::open(to, Duration::from_secs(16))?;
    let head = format!(
        "POST /long/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 15000\r\nX-Api-Key: secret\r\nContent-Length: {BODY}\r\n\r\n"
    );
    channel.write(head.as_bytes())?;
    let (start, rate) = (Instant::now(), ARRIVALS / count as f64);
    let piece = vec![b'x'; PIECE];
    let mut sent = 0;
    while sent < BODY {
        let length = PIECE.min(BODY - sent);
        if let Err(fault) = channel.write(&piece[..length]) {
            record.add(&format!("{id} cut after {sent} bytes: {fault}"));
            return Err(fault);
        }
        sent += length;
        let due = start + Duration::from_secs_f64(sent as f64 / rate);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    match channel.response() {
        Ok(answer) => record.add(&format!("answer {id}: {}", answer.status)),
        Err(fault) => record.add(&format!("no answer {id}: {fault}")),
    }
    Ok(())
}

fn manifest() -> String {
    let route = |name: &str, timeout: u32, goal: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"site.example\",\"pathPrefix\":\"/{name}/\",\
             \"kind\":\"unsafe\",\"timeoutMs\":{timeout},\"goalMs\":{goal},\"priority\":0,\
             \"service\":\"app\",\"maxAttempts\":1,\"allowAnonymous\":false}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\
         \"services\":[{{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConnections\":370}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":{BODY},\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"ward\",\"apiKeys\":[\"secret\"]}}]}}",
        route("pay", 3000, 1000),
        route("long", 15_000, 5000)
    )
}
