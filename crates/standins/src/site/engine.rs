//! An engine of a site.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use guavausher_platform::names;
use hyper::body;
use tokio::sync::mpsc;

use crate::body as out;
use crate::handle;
use crate::reply;
use crate::request;
use crate::server;

/// Tokens in one event of a stream.
const STRIDE: u32 = 4;
/// Time between two events.
const PACE: time::Duration = time::Duration::from_millis(15);
/// Prompt tokens that are read in a millisecond.
const READING: u32 = 80;
/// The word in a body under which an engine ends once it has made an event.
const POISON: &[u8] = b"CRASH";
/// Requests that are remembered.
const MAX_RUNS: usize = 100_000;

/// Requests that reached engines.
pub struct Log {
    start: time::Instant,
    /// Engines that ran each request, by the caller's id.
    runs: sync::Mutex<collections::BTreeMap<String, Vec<String>>>,
    /// Milliseconds from the start to each request, by engine.
    arrivals: sync::Mutex<collections::BTreeMap<String, Vec<u64>>>,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            start: time::Instant::now(),
            runs: sync::Mutex::default(),
            arrivals: sync::Mutex::default(),
        }
    }
}

impl Log {
    /// Returns the engines that ran each request.
    pub fn runs(&self) -> collections::BTreeMap<String, Vec<String>> {
        super::lock(&self.runs).clone()
    }

    /// Returns the milliseconds from the start to each request, by engine.
    pub fn arrivals(&self) -> collections::BTreeMap<String, Vec<u64>> {
        super::lock(&self.arrivals).clone()
    }

    fn arrived(&self, engine: &str) {
        let at = self.start.elapsed().as_millis() as u64;
        let mut arrivals = super::lock(&self.arrivals);
        let arrivals = arrivals.entry(engine.to_owned()).or_default();
        if arrivals.len() < MAX_RUNS {
            arrivals.push(at);
        }
    }

    fn ran(&self, id: &str, engine: &str) {
        let mut runs = super::lock(&self.runs);
        if runs.len() < MAX_RUNS {
            runs.entry(id.to_owned())
                .or_default()
                .push(engine.to_owned());
        }
    }
}

/// What an engine says of itself in its answers.
#[derive(Default)]
pub struct Words {
    leaving: sync::atomic::AtomicBool,
    /// Until when it turns requests away.
    hold: sync::Mutex<Option<time::Instant>>,
    /// Requests per second that it states to take.
    limit: sync::Mutex<Option<f64>>,
}

impl Words {
    /// Lets it say from now on that it leaves.
    pub fn leave(&self) {
        self.leaving.store(true, sync::atomic::Ordering::Relaxed);
    }

    /// Lets it turn requests away for a while.
    pub fn hold(&self, span: time::Duration) {
        *super::lock(&self.hold) = time::Instant::now().checked_add(span);
    }

    /// Lets it state from now on how many requests per second it takes, or nothing of it.
    pub fn limit(&self, rate: Option<f64>) {
        *super::lock(&self.limit) = rate;
    }

    fn stated_limit(&self) -> Option<f64> {
        *super::lock(&self.limit)
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(sync::atomic::Ordering::Relaxed)
    }

    /// Returns for how long it still turns requests away.
    fn held(&self) -> Option<time::Duration> {
        let hold = (*super::lock(&self.hold))?;
        hold.checked_duration_since(time::Instant::now())
    }
}

struct Engine {
    name: String,
    slots: u32,
    log: sync::Arc<Log>,
    running: sync::atomic::AtomicU32,
    words: sync::Arc<Words>,
    /// Takes the name of an engine that ends by itself.
    crashes: sync::mpsc::Sender<String>,
}

/// Starts an engine on a free port.
pub(super) fn start(
    name: String,
    slots: u32,
    log: sync::Arc<Log>,
    words: sync::Arc<Words>,
    crashes: sync::mpsc::Sender<String>,
) -> io::Result<handle::Handle> {
    let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let server = server::Server::bind(any, 1)?;
    let engine = sync::Arc::new(Engine {
        name,
        slots,
        log,
        running: sync::atomic::AtomicU32::new(0),
        words,
        crashes,
    });
    server.run(move |request| respond(engine.clone(), request))
}

async fn respond(
    engine: sync::Arc<Engine>,
    request: http::Request<body::Incoming>,
) -> reply::Outcome {
    engine.log.arrived(&engine.name);
    let is_leaving = engine.words.is_leaving();
    let limit = engine.words.stated_limit();
    let mut outcome = answer(engine, request).await;
    let Ok(response) = outcome.as_mut() else {
        return outcome;
    };
    if is_leaving {
        put(response, names::dialect().leaving, "1");
    }
    if let Some(limit) = limit {
        put(response, names::dialect().rate_limit, &limit.to_string());
    }
    outcome
}

async fn answer(
    engine: sync::Arc<Engine>,
    request: http::Request<body::Incoming>,
) -> reply::Outcome {
    let request = match request::read(request).await {
        Ok(request) => request,
        Err(response) => return Ok(*response),
    };
    let names = names::dialect();
    let id = request::header(&request, names.id).to_owned();
    let meant = request::header(&request, names.instance);
    if !meant.is_empty() && meant != engine.name {
        return Ok(refuse(http::StatusCode::MISDIRECTED_REQUEST, &id));
    }
    if id.is_empty() {
        return Ok(refuse(http::StatusCode::BAD_REQUEST, &id));
    }
    if let Some(held) = engine.words.held() {
        let mut response = refuse(http::StatusCode::SERVICE_UNAVAILABLE, &id);
        put(
            &mut response,
            "retry-after",
            &format!("{:.3}", held.as_secs_f64()),
        );
        return Ok(response);
    }
    let Some(place) = Place::take(&engine) else {
        return Ok(refuse(http::StatusCode::SERVICE_UNAVAILABLE, &id));
    };
    engine.log.ran(&id, &engine.name);
    let counts = request::header(&request, names::TOKEN_COUNTS);
    let response = match counts.split_once(',') {
        Some((prompt, output)) => {
            let prompt = prompt.parse().unwrap_or(0);
            let events = output.parse().unwrap_or(STRIDE).div_ceil(STRIDE);
            let after = request::header(&request, names.last_event)
                .parse()
                .unwrap_or(0);
            let is_poison = request.body().windows(POISON.len()).any(|w| w == POISON);
            stream(place, prompt, after..events, is_poison)
        }
        None => reply::json(http::StatusCode::OK, &serde_json::json!({ "done": id })),
    };
    Ok(stamp(response, &id, &engine.name))
}

/// A slot of an engine, free again when it is dropped.
struct Place {
    engine: sync::Arc<Engine>,
}

impl Place {
    fn take(engine: &sync::Arc<Engine>) -> Option<Self> {
        let before = engine.running.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let place = Self {
            engine: engine.clone(),
        };
        (before < engine.slots).then_some(place)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let running = &self.engine.running;
        running.fetch_sub(1, sync::atomic::Ordering::Relaxed);
    }
}

fn stream(
    place: Place,
    prompt: u32,
    events: std::ops::Range<u32>,
    is_poison: bool,
) -> reply::Response {
    let (pieces, body) = mpsc::channel(8);
    tokio::spawn(async move {
        let reading = time::Duration::from_millis(u64::from(prompt / READING));
        tokio::time::sleep(reading).await;
        for event in events {
            let text = format!("id: {}\ndata: t{event}\n\n", event + 1);
            if pieces.send(Ok(text.into())).await.is_err() {
                return;
            }
            tokio::time::sleep(PACE).await;
            if is_poison {
                // The site may be ending as well.
                let _ = place.engine.crashes.send(place.engine.name.clone());
            }
        }
    });
    let mut response = http::Response::new(out::Body::Pieces(body));
    reply::set(&mut response, "content-type", "text/event-stream");
    response
}

fn stamp(mut response: reply::Response, id: &str, engine: &str) -> reply::Response {
    let names = names::dialect();
    put(&mut response, names.id, id);
    put(&mut response, names.stamp, engine);
    response
}

fn refuse(status: http::StatusCode, id: &str) -> reply::Response {
    let names = names::dialect();
    let mut response = reply::error(status, "not run");
    put(&mut response, names.id, id);
    put(&mut response, names.refusal, "1");
    response
}

fn put(response: &mut reply::Response, name: &str, value: &str) {
    let name = http::header::HeaderName::from_bytes(name.as_bytes());
    let value = http::header::HeaderValue::from_str(value);
    if let (Ok(name), Ok(value)) = (name, value) {
        response.headers_mut().insert(name, value);
    }
}
