//! All engines of a domain crash twice, the second time while the one request runs there that is to show
//! whether they still crash. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
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
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{Events, Kind, Runs};
use crate::http::Connection;
use crate::site::{Record, Site};

/// Engines of the model service, all in one domain.
const ENGINES: u32 = 6;
/// Consumers of streams; each sends its next request when the one before has ended.
const READERS: usize = 12;
/// Pause of a consumer after an answer, or after a refusal.
const PAUSE: Duration = Duration::from_secs(1);
/// Times from the first request to the crashes.
const CRASHES_AT: [Duration; 2] = [Duration::from_secs(14), Duration::from_secs(24)];
/// Time for which the engines are down (`srv_crash`, `for_s` = 4.5).
const DOWN: Duration = Duration::from_millis(4_500);
/// Time after a crash at which an engine's entry is removed: three intervals of `heartbeatMs`.
const LAPSE: Duration = Duration::from_millis(3_600);
/// Length of the case from the first request.
const LENGTH: Duration = Duration::from_secs(80);

/// Result of the case.
enum Verdict {
    Held,
    Broken,
}

/// Requests and those of them that were served.
#[derive(Clone, Copy, Default)]
struct Count {
    asked: u32,
    served: u32,
}

impl Count {
    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }
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
    let app = Kind::sound("app", Duration::from_millis(20));
    engine::start(&site.store, record, &runs, &app, 3)?;
    let model = Kind {
        events: Some(Events {
            count: 20,
            gap: Duration::from_millis(400),
        }),
        ..Kind::sound("model", Duration::from_millis(50))
    };
    let engines = engine::start(&site.store, record, &runs, &model, ENGINES)?;
    site.store.set("config", "main", &manifest());
    site.launch()?;
    // After `contactMs` all machines are in touch.
    thread::sleep(Duration::from_secs(4));
    let done = Arc::<AtomicBool>::default();
    let counts = [(); 2].map(|()| Arc::<Mutex<Count>>::default());
    let to: Vec<_> = site.fronts.iter().map(|front| front.front).collect();
    let mut consumers = Vec::new();
    for number in 0..READERS + 3 {
        let consumer = Consumer {
            to: to[number % to.len()],
            number,
            is_reader: number < READERS,
            count: counts[usize::from(number < READERS)].clone(),
            record: record.clone(),
            done: done.clone(),
        };
        consumers.push(thread::spawn(move || consumer.run()));
    }
    let start = Instant::now();
    let crashes = std::env::var("CRASHES")
        .ok()
        .and_then(|text| text.parse().ok());
    let crashes = if has_trouble {
        crashes.unwrap_or(CRASHES_AT.len())
    } else {
        0
    };
    let mut engines = engines;
    for (at, suffix) in CRASHES_AT.into_iter().zip(["b", "c"]).take(crashes) {
        thread::sleep(at.saturating_sub(start.elapsed()));
        engines.iter().for_each(engine::Engine::stop);
        record.add("all engines of the domain crash");
        thread::sleep(LAPSE);
        for engine in &engines {
            site.store.remove("servers", &engine.name);
        }
        thread::sleep(DOWN - LAPSE);
        let again = Kind {
            suffix,
            ..model.clone()
        };
        engines = engine::start(&site.store, record, &runs, &again, ENGINES)?;
        record.add("all engines are back");
    }
    thread::sleep(LENGTH.saturating_sub(start.elapsed()));
    done.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let [orders, streams] = counts.map(|count| *count.lock().expect("no consumer panics"));
    let all = Count {
        asked: orders.asked + streams.asked,
        served: orders.served + streams.served,
    };
    let line = format!(
        "Starved: {} of {} streams were served ({:.2}), of all requests {:.2}; a quarter of that is \
         owed to each kind",
        streams.served,
        streams.asked,
        streams.share(),
        all.share()
    );
    record.add(&line);
    println!("{line}");
    Ok(match streams.share() < all.share() / 4.0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

struct Consumer {
    to: SocketAddr,
    number: usize,
    is_reader: bool,
    count: Arc<Mutex<Count>>,
    record: Arc<Record>,
    done: Arc<AtomicBool>,
}

impl Consumer {
    fn run(self) {
        thread::sleep(Duration::from_millis(60) * self.number as u32);
        for turn in 0.. {
            if self.done.load(Ordering::Relaxed) {
                return;
            }
            let id = format!("c{}x{turn}", self.number);
            let answer = self.ask(&id);
            let is_served = matches!(answer, Ok((200, true)));
            self.record.add(&match answer {
                Ok((status, complete)) => format!("answer {id}: {status}, complete: {complete}"),
                Err(fault) => format!("no answer {id}: {fault}"),
            });
            let mut count = self.count.lock().expect("no consumer panics");
            count.asked += 1;
            count.served += u32::from(is_served);
            drop(count);
            thread::sleep(PAUSE);
        }
    }

    fn ask(&self, id: &str) -> io::Result<(u16, bool)> {
        let mut channel = Connection::open(self.to, Duration::from_secs(16))?;
        let number = self.number;
        let prompt = format!(
            "Model: m\r\nToken-Counts: 5900,80\r\n\
             Prompt-Prefix: 5c1e07a2:512,d0c{number:x}:4870,{own:08x}:518\r\n",
            own = number * 4096 + 1
        );
        let (path, prompt) = match self.is_reader {
            true => ("/chat/1", prompt.as_str()),
            false => ("/pay/1", ""),
        };
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\n{prompt}\
             Deadline-Ms: 15000\r\nX-Api-Key: secret\r\nContent-Length: {}\r\n\r\n{id}",
            id.len()
        );
        channel.write(text.as_bytes())?;
        let answer = channel.response()?;
        Ok((answer.status, answer.complete))
    }
}

fn manifest() -> String {
    String::from(
        "{\"version\":1,\"routes\":[{\"name\":\"chat\",\"host\":\"site.example\",\
         \"pathPrefix\":\"/chat/\",\"kind\":\"streaming\",\"timeoutMs\":15000,\"goalMs\":1000,\
         \"priority\":1,\"service\":\"model\",\"maxAttempts\":1,\"allowAnonymous\":false,\
         \"sticky\":true,\"resumable\":false,\"gapGoalMs\":500},\
         {\"name\":\"pay\",\"host\":\"site.example\",\"pathPrefix\":\"/pay/\",\"kind\":\"unsafe\",\
         \"timeoutMs\":1500,\"goalMs\":300,\"priority\":2,\"service\":\"app\",\"maxAttempts\":1,\
         \"allowAnonymous\":false}],\
         \"services\":[{\"name\":\"model\",\"healthPath\":\"/health\",\"maxConnections\":370,\
         \"engine\":{\"slots\":64}},\
         {\"name\":\"app\",\"healthPath\":\"/health\",\"maxConnections\":110}],\
         \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\
         \"tenants\":[{\"name\":\"ward\",\"apiKeys\":[\"secret\"]}]}",
    )
}
