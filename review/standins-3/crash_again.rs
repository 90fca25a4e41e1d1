//! A request that crashes engines comes again, and all fronts are killed between its second and its third copy,
//! again and again. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//!
//! The deployment and its stand-ins are those of the first review.
#![allow(dead_code)]

#[path = "../standins/engine.rs"]
mod engine;
#[path = "../standins/http.rs"]
mod http;
#[path = "../standins/json.rs"]
mod json;
#[path = "../standins/site.rs"]
mod site;
#[path = "../standins/store.rs"]
mod store;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{Engine, Kind, Runs};
use crate::http::Connection;
use crate::site::{Record, Site, is_ready};

/// Engines of the service.
const ENGINES: u32 = 9;
/// Time for which an engine is down after a crash.
const DOWN: Duration = Duration::from_secs(3);
/// Time between two copies of the crashing request, each at the next front.
const INTERVAL: Duration = Duration::from_secs(8);
/// Copies after which all fronts are killed, and so on until the last ones.
const COPIES: usize = 2;
/// Times that all fronts are killed.
const KILLS: usize = 4;
/// Time from a copy until all fronts are killed, so that they are in touch at the next one.
const KILL_DELAY: Duration = Duration::from_secs(2);
/// `contactMs`.
const CONTACT: Duration = Duration::from_secs(3);
/// Retries that may reach engines later than `contactMs` after the third crash.
const ALLOWED: usize = 3;
/// Consumers of sound requests.
const CONSUMERS: usize = 8;
/// Path of the request that crashes engines.
const CRASHING: &str = "/book/crash";

/// Result of the case.
enum Verdict {
    Held,
    Broken,
}

/// Times at which fronts were started last.
type Starts = BTreeMap<SocketAddr, Instant>;

/// A copy of the crashing request.
struct Copy {
    id: String,
    sent: Instant,
    /// Whether the front was in touch.
    in_touch: bool,
}

fn main() -> ExitCode {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = Record::create().and_then(|record| run(&record, has_trouble));
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(fault) => {
            eprintln!("the case could not run: {fault}");
            ExitCode::from(2)
        }
    }
}

fn run(record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start("")?;
    let runs = Arc::<Runs>::default();
    let kind = Kind {
        crash: |request| request.path() == CRASHING,
        ..Kind::sound("app", Duration::from_millis(60))
    };
    let engines = engine::start(&site.store, record, &runs, &kind, ENGINES)?;
    site.store.set("config", "main", &manifest());
    site.launch()?;
    let started = Instant::now();
    let fronts: Vec<_> = site.fronts.iter().map(|front| front.front).collect();
    let mut starts: Starts = fronts.iter().map(|front| (*front, started)).collect();
    let done = Arc::<AtomicBool>::default();
    // After `contactMs` all machines are in touch.
    thread::sleep(Duration::from_secs(4));
    let sound: Vec<_> = (0..CONSUMERS)
        .map(|number| {
            let (fronts, done, record) = (fronts.clone(), done.clone(), record.clone());
            thread::spawn(move || send_sound(number, &fronts, &record, &done))
        })
        .collect();
    let restarts = {
        let (store, record, runs) = (site.store.clone(), record.clone(), runs.clone());
        let (done, kind) = (done.clone(), kind);
        thread::spawn(move || restart_engines(engines, &store, &record, &runs, &kind, &done))
    };
    let mut copies = Vec::new();
    let begin = Instant::now();
    for turn in 0..COPIES * (KILLS + 1) {
        let due = begin + INTERVAL * turn as u32;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let to = fronts[turn % fronts.len()];
        copies.push(send_copy(to, turn, starts[&to], record));
        let is_last_of_group = turn % COPIES == COPIES - 1;
        if has_trouble && is_last_of_group && turn / COPIES < KILLS {
            thread::sleep(KILL_DELAY);
            kill_all(&mut site, record, &mut starts)?;
        }
    }
    thread::sleep(DOWN);
    done.store(true, Ordering::Relaxed);
    let cut = sound.into_iter().map(|sound| sound.join().unwrap_or(0));
    let cut: u32 = cut.sum();
    let _ = restarts.join();
    let mut crashes: Vec<_> = runs.all();
    crashes.retain(|run| run.status == 0);
    crashes.sort_by_key(|run| run.ended);
    let limit = crashes.get(2).map(|run| run.ended + CONTACT);
    let is_late = |copy: &&Copy| copy.in_touch && limit.is_some_and(|limit| copy.sent > limit);
    let late = copies.iter().filter(is_late);
    let late = late.filter(|copy| crashes.iter().any(|run| run.id == copy.id));
    let late = late.count();
    let line = format!(
        "BUDGET: {} engines were crashed by copies of one request; {late} copies that machines in \
         touch sent more than 3 s after the third crash reached engines ({ALLOWED} may); {cut} sound \
         requests ended with 502",
        crashes.len(),
    );
    record.add(&line);
    println!("{line}");
    Ok(match late > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Kills all fronts at once and starts them again.
fn kill_all(site: &mut Site, record: &Record, starts: &mut Starts) -> io::Result<()> {
    record.add("all fronts are killed");
    for front in &mut site.fronts {
        front.child.kill()?;
    }
    thread::sleep(Duration::from_secs(1));
    for index in 0..site.fronts.len() {
        site.restart(index)?;
        starts.insert(site.fronts[index].front, Instant::now());
    }
    while !site.fronts.iter().all(|front| is_ready(front.ready)) {
        thread::sleep(Duration::from_millis(50));
    }
    record.add("all fronts are ready again");
    Ok(())
}

/// Starts each engine that has crashed again, under its name, a while after its crash.
fn restart_engines(
    mut engines: Vec<Engine>,
    store: &crate::store::Store,
    record: &Arc<Record>,
    runs: &Arc<Runs>,
    kind: &Kind,
    done: &AtomicBool,
) -> io::Result<()> {
    let mut down: BTreeMap<String, Instant> = BTreeMap::new();
    while !done.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(20));
        for engine in &mut engines {
            if !engine.has_stopped() {
                continue;
            }
            let since = *down.entry(engine.name.clone()).or_insert_with(Instant::now);
            if since.elapsed() < DOWN {
                continue;
            }
            down.remove(&engine.name);
            *engine = engine::start_one(store, record, runs, kind, &engine.name)?;
            record.add(&format!("{} is back", engine.name));
        }
    }
    Ok(())
}

/// Sends one copy of the crashing request to a front that was started at `started`.
fn send_copy(to: SocketAddr, turn: usize, started: Instant, record: &Record) -> Copy {
    let copy = Copy {
        id: format!("crash{turn}"),
        sent: Instant::now(),
        in_touch: started.elapsed() > CONTACT,
    };
    let status = ask(to, CRASHING, &copy.id).unwrap_or(0);
    let in_touch = copy.in_touch;
    record.add(&format!(
        "answer {}: {status}, in touch: {in_touch}",
        copy.id
    ));
    copy
}

/// Sends sound requests, one after the other; returns how many ended with 502.
fn send_sound(number: usize, fronts: &[SocketAddr], record: &Record, done: &AtomicBool) -> u32 {
    let mut cut = 0;
    for turn in 0.. {
        if done.load(Ordering::Relaxed) {
            break;
        }
        let id = format!("sound{number}x{turn}");
        let to = fronts[(number + turn) % fronts.len()];
        let status = ask(to, "/book/1", &id).unwrap_or(0);
        if status != 200 {
            record.add(&format!("answer {id}: {status}"));
        }
        cut += u32::from(status == 502);
        thread::sleep(Duration::from_millis(40));
    }
    cut
}

fn ask(to: SocketAddr, path: &str, id: &str) -> io::Result<u16> {
    let mut channel = Connection::open(to, Duration::from_secs(4))?;
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n\
         X-Api-Key: secret\r\nContent-Length: 4\r\n\r\nbook"
    );
    channel.write(text.as_bytes())?;
    Ok(channel.response()?.status)
}

fn manifest() -> String {
    String::from(
        "{\"version\":1,\"routes\":[{\"name\":\"book\",\"host\":\"site.example\",\
         \"pathPrefix\":\"/book/\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\"goalMs\":600,\
         \"priority\":0,\"service\":\"app\",\"maxAttempts\":1,\"allowAnonymous\":false}],\
         \"services\":[{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConnections\":110}],\
         \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\
         \"tenants\":[{\"name\":\"ward\",\"apiKeys\":[\"secret\"]}]}",
    )
}
