//! A new version fails every third request of a route with few requests. Exit status: 1 if the rule was
//! broken, 0 if it held, 2 if the case could not run.
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

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{Engine, Kind, Runs};
use crate::http::Connection;
use crate::site::{Record, Site};
use crate::store::Store;

/// `durationS` of the order, as in the examples of `fleetbench wire`.
const DURATION: Duration = Duration::from_secs(12);
/// Orders a second on the route that both versions serve.
const PAY_RATE: f64 = 20.0;
/// Orders a second on the route of which the new version fails every third request.
const BOOK_RATE: f64 = 2.0;
/// `rollbackMs`.
const ROLLBACK: Duration = Duration::from_millis(5_000);
/// Bad answers after which no request may be sent later than `rollbackMs`.
const BAD_ANSWERS: usize = 50;
/// Length of the case after the order.
const LENGTH: Duration = Duration::from_secs(98);

/// Requests of the quiet route that the new version has run.
static BOOKED: AtomicU32 = AtomicU32::new(0);

/// Result of the case.
enum Verdict {
    Held,
    Broken,
}

/// Requests by their ids, with the time at which the consumer sent each.
type Sent = Arc<Mutex<Vec<(String, Instant)>>>;

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
    let work = Duration::from_millis(15);
    let old = Kind::sound("app", work);
    let new = Kind {
        version: String::from("v2"),
        status: match has_trouble {
            true => |request| match request.path() {
                "/book/1" if BOOKED.fetch_add(1, Ordering::Relaxed) % 3 == 1 => 500,
                _ => 200,
            },
            false => |_| 200,
        },
        ..old.clone()
    };
    let old = engine::start(&site.store, record, &runs, &old, 3)?;
    site.store.set("config", "main", &manifest());
    site.launch()?;
    let (sent, done) = (Sent::default(), Arc::<AtomicBool>::default());
    let to: Vec<_> = site.fronts.iter().map(|front| front.front).collect();
    let mut consumers = Vec::new();
    for (path, rate, count) in [("/pay/1", PAY_RATE, 6), ("/book/1", BOOK_RATE, 3)] {
        for number in 0..count {
            let pause = Duration::from_secs_f64(count as f64 / rate);
            let consumer = Consumer {
                to: to[number % to.len()],
                path,
                pause,
                delay: pause.mul_f64(number as f64 / count as f64),
                name: format!("{}{number}", &path[1..4]),
                record: record.clone(),
                sent: sent.clone(),
                done: done.clone(),
            };
            consumers.push(thread::spawn(move || consumer.run()));
        }
    }
    // After `contactMs` all machines are in touch.
    thread::sleep(Duration::from_secs(5));
    let new = engine::start(&site.store, record, &runs, &new, 3)?;
    let order = format!(
        "{{\"service\":\"app\",\"target\":\"v2\",\"durationS\":{}}}",
        DURATION.as_secs()
    );
    site.store.set("rollouts", "app", &order);
    let ordered = Instant::now();
    record.add("rollout of v2 ordered");
    follow(&site.store, record, &old, &new, ordered);
    done.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let sent = sent.lock().expect("no consumer panics").clone();
    let judgement = judge(&runs, &sent);
    record.add(&judgement.text);
    println!("{}", judgement.text);
    Ok(match judgement.is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

struct Judgement {
    text: String,
    is_broken: bool,
}

/// Counts the requests that reached the new version too late after its bad answers.
fn judge(runs: &Runs, sent: &[(String, Instant)]) -> Judgement {
    let mut new = runs.all();
    new.retain(|run| run.version == "v2");
    let mut bad: Vec<_> = new.iter().filter(|run| run.status >= 500).collect();
    bad.sort_by_key(|run| run.ended);
    let limit = bad.get(BAD_ANSWERS - 1).map(|run| run.ended + ROLLBACK);
    let sent_late = |id: &str| {
        let at = sent.iter().find(|(sent, _)| sent == id).map(|(_, at)| *at);
        at.zip(limit).is_some_and(|(at, limit)| at > limit)
    };
    let late = new.iter().filter(|run| sent_late(&run.id)).count();
    Judgement {
        text: format!(
            "EXPOSURE: v2 gave {} bad answers; {late} requests that were sent more than 5 s after \
             the 50th reached it (none is allowed)",
            bad.len()
        ),
        is_broken: late > 0,
    }
}

/// Does as the platform: stops the old engines once the rollout is completed, and drains the new ones
/// once it is rolled back.
fn follow(store: &Store, record: &Record, old: &[Engine], new: &[Engine], ordered: Instant) {
    let mut known = String::new();
    while ordered.elapsed() < LENGTH {
        thread::sleep(Duration::from_millis(20));
        let status = store.status("rollouts", "app").unwrap_or_default();
        let state = json::text(&status, "state").unwrap_or("").to_owned();
        if state == known {
            continue;
        }
        record.add(&format!("status of the rollout: {state}"));
        let gone = match state.as_str() {
            "completed" => old,
            "rolled_back" => {
                thread::sleep(Duration::from_secs(3));
                new
            }
            _ => &[],
        };
        for engine in gone {
            engine.stop();
            store.remove("servers", &engine.name);
            record.add(&format!("{} of {} stops", engine.name, engine.version));
        }
        known = state;
    }
}

struct Consumer {
    to: SocketAddr,
    path: &'static str,
    pause: Duration,
    /// Time before the first request, so that consumers send evenly.
    delay: Duration,
    name: String,
    record: Arc<Record>,
    sent: Sent,
    done: Arc<AtomicBool>,
}

impl Consumer {
    /// Sends requests at a steady rate until the end of the case, on kept channels.
    fn run(self) {
        let mut channel = None;
        thread::sleep(self.delay);
        for turn in 0.. {
            if self.done.load(Ordering::Relaxed) {
                return;
            }
            let id = format!("{}x{turn}", self.name);
            let answer = self.ask(&mut channel, &id);
            let status = answer.as_ref().map_or(0, |status| *status);
            self.record.add(&format!("answer {id}: {status}"));
            if answer.is_err() {
                channel = None;
            }
            thread::sleep(self.pause);
        }
    }

    fn ask(&self, channel: &mut Option<Connection>, id: &str) -> io::Result<u16> {
        if channel.is_none() {
            *channel = Some(Connection::open(self.to, Duration::from_secs(4))?);
        }
        let text = format!(
            "POST {} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n\
             X-Api-Key: secret\r\nContent-Length: 5\r\n\r\norder",
            self.path
        );
        let channel = channel.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        let mut sent = self.sent.lock().expect("no consumer panics");
        sent.push((id.to_owned(), Instant::now()));
        drop(sent);
        channel.write(text.as_bytes())?;
        Ok(channel.response()?.status)
    }
}

fn manifest() -> String {
    let route = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"site.example\",\"pathPrefix\":\"/{name}/\",\
             \"kind\":\"unsafe\",\"timeoutMs\":1500,\"goalMs\":120,\"priority\":0,\
             \"service\":\"app\",\"maxAttempts\":1,\"allowAnonymous\":false}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\
         \"services\":[{{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConnections\":110}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"ward\",\"apiKeys\":[\"secret\"]}}]}}",
        route("pay"),
        route("book")
    )
}
