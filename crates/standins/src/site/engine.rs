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

use super::script;

/// Tokens in one event of a stream.
const EVENT_TOKENS: u32 = 4;
/// Time between two events.
const EVENT_INTERVAL: time::Duration = time::Duration::from_millis(15);
/// Prompt tokens that are prefilled in a millisecond.
const PREFILL_RATE: u32 = 80;
/// Maximum number of requests that are recorded.
const MAX_RUNS: usize = 100_000;

/// Requests that reached engines.
pub struct Log {
    start: time::Instant,
    /// Engines that ran each request, by the caller's id.
    runs: sync::Mutex<collections::BTreeMap<String, Vec<String>>>,
    /// Requests that were refused at first because their script says so.
    refused: sync::Mutex<collections::BTreeSet<String>>,
    /// Milliseconds from the start to each request, by engine.
    arrivals: sync::Mutex<collections::BTreeMap<String, Vec<u64>>>,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            start: time::Instant::now(),
            runs: sync::Mutex::default(),
            refused: sync::Mutex::default(),
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

    fn record_arrival(&self, engine: &str) {
        let at = self.start.elapsed().as_millis() as u64;
        let mut arrivals = super::lock(&self.arrivals);
        let arrivals = arrivals.entry(engine.to_owned()).or_default();
        if arrivals.len() < MAX_RUNS {
            arrivals.push(at);
        }
    }

    /// Returns `true` if an engine has run a request.
    fn has_run(&self, id: &str) -> bool {
        super::lock(&self.runs).contains_key(id)
    }

    /// Records the first refusal of a request; returns `true` if there was none before.
    fn record_refusal(&self, id: &str) -> bool {
        super::lock(&self.refused).insert(id.to_owned())
    }

    fn record_run(&self, id: &str, engine: &str) {
        let mut runs = super::lock(&self.runs);
        if runs.len() < MAX_RUNS {
            runs.entry(id.to_owned())
                .or_default()
                .push(engine.to_owned());
        }
    }
}

/// Notices that an engine adds to its responses.
#[derive(Default)]
pub struct Notices {
    leaving: sync::atomic::AtomicBool,
    /// Until when it rejects requests.
    hold: sync::Mutex<Option<time::Instant>>,
    /// Rate limit that it states, in requests per second.
    limit: sync::Mutex<Option<f64>>,
}

impl Notices {
    /// Makes the engine state that it is leaving.
    pub fn leave(&self) {
        self.leaving.store(true, sync::atomic::Ordering::Relaxed);
    }

    /// Makes the engine reject requests for a while.
    pub fn hold(&self, span: time::Duration) {
        *super::lock(&self.hold) = time::Instant::now().checked_add(span);
    }

    /// Makes the engine state a rate limit in requests per second, or none.
    pub fn limit(&self, rate: Option<f64>) {
        *super::lock(&self.limit) = rate;
    }

    fn stated_limit(&self) -> Option<f64> {
        *super::lock(&self.limit)
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(sync::atomic::Ordering::Relaxed)
    }

    /// Returns the remaining time for which it rejects requests.
    fn remaining_hold(&self) -> Option<time::Duration> {
        let hold = (*super::lock(&self.hold))?;
        hold.checked_duration_since(time::Instant::now())
    }
}

struct Engine {
    name: String,
    slots: u32,
    log: sync::Arc<Log>,
    running: sync::atomic::AtomicU32,
    notices: sync::Arc<Notices>,
    /// Receives the name of an engine that crashes by itself.
    crashes: sync::mpsc::Sender<String>,
}

/// Starts an engine on a free port.
pub(super) fn start(
    name: String,
    slots: u32,
    log: sync::Arc<Log>,
    notices: sync::Arc<Notices>,
    crashes: sync::mpsc::Sender<String>,
) -> io::Result<handle::Handle> {
    let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let server = server::Server::bind(any, 1)?;
    let engine = sync::Arc::new(Engine {
        name,
        slots,
        log,
        running: sync::atomic::AtomicU32::new(0),
        notices,
        crashes,
    });
    server.run(move |request| respond(engine.clone(), request))
}

async fn respond(
    engine: sync::Arc<Engine>,
    request: http::Request<body::Incoming>,
) -> reply::Outcome {
    engine.log.record_arrival(&engine.name);
    let is_leaving = engine.notices.is_leaving();
    let limit = engine.notices.stated_limit();
    let mut outcome = process(engine, request).await;
    let Ok(response) = outcome.as_mut() else {
        return outcome;
    };
    if is_leaving {
        insert(response, names::protocol().leaving, "1");
    }
    if let Some(limit) = limit {
        insert(response, names::protocol().rate_limit, &limit.to_string());
    }
    outcome
}

async fn process(
    engine: sync::Arc<Engine>,
    request: http::Request<body::Incoming>,
) -> reply::Outcome {
    /// Longest body that an engine accepts, which is the longest that fronts forward by default.
    const MAX_BODY: usize = 4 << 20;
    let request = match request::read_limited(request, MAX_BODY).await {
        Ok(request) => request,
        Err(response) => return Ok(*response),
    };
    let names = names::protocol();
    let id = request::header(&request, names.id).to_owned();
    let intended = request::header(&request, names.instance);
    if !intended.is_empty() && intended != engine.name {
        return Ok(refuse(http::StatusCode::MISDIRECTED_REQUEST, &id));
    }
    if id.is_empty() {
        return Ok(refuse(http::StatusCode::BAD_REQUEST, &id));
    }
    if let Some(hold) = engine.notices.remaining_hold() {
        let mut response = refuse(http::StatusCode::SERVICE_UNAVAILABLE, &id);
        insert(
            &mut response,
            "retry-after",
            &format!("{:.3}", hold.as_secs_f64()),
        );
        return Ok(response);
    }
    let Some(slot) = Slot::acquire(&engine) else {
        return Ok(refuse(http::StatusCode::SERVICE_UNAVAILABLE, &id));
    };
    let mut script = script::Script::read(request.body());
    let prompt = request::header(&request, names::PROMPT_PREFIX);
    script.crash = script.crash.or(script::CrashPoint::of_prompt(prompt));
    let is_repeat = engine.log.has_run(&id);
    if is_repeat && script.repeat == script::Repeat::Refuse {
        return Ok(refuse(http::StatusCode::SERVICE_UNAVAILABLE, &id));
    }
    if script.first_refuses && !is_repeat && engine.log.record_refusal(&id) {
        return Ok(refuse(http::StatusCode::SERVICE_UNAVAILABLE, &id));
    }
    if is_repeat {
        script = script.of_repeat();
    }
    engine.log.record_run(&id, &engine.name);
    tokio::time::sleep(script.head).await;
    if script.crash == Some(script::CrashPoint::BeforeHead) {
        engine.crash();
        return Err(reply::cut());
    }
    if script.breaks == Some(0) {
        return Err(reply::cut());
    }
    let counts = request::header(&request, names::TOKEN_COUNTS);
    let response = match counts.split_once(',') {
        _ if is_repeat && script.repeat == script::Repeat::Break => broken(),
        Some((prompt, output)) => {
            let prompt = prompt.parse().unwrap_or(0);
            let events = output
                .parse()
                .unwrap_or(EVENT_TOKENS)
                .div_ceil(EVENT_TOKENS);
            let after = request::header(&request, names.last_event)
                .parse()
                .unwrap_or(0);
            stream(slot, prompt, after..events, script)
        }
        None => reply::json(http::StatusCode::OK, &serde_json::json!({ "done": id })),
    };
    Ok(stamp(response, &id, &engine.name))
}

impl Engine {
    /// Ends this engine, as a crash does.
    fn crash(&self) {
        // The site may be shutting down.
        let _ = self.crashes.send(self.name.clone());
    }
}

/// A slot of an engine, which is released when this is dropped.
struct Slot {
    engine: sync::Arc<Engine>,
}

impl Slot {
    fn acquire(engine: &sync::Arc<Engine>) -> Option<Self> {
        let before = engine.running.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let slot = Self {
            engine: engine.clone(),
        };
        (before < engine.slots).then_some(slot)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let running = &self.engine.running;
        running.fetch_sub(1, sync::atomic::Ordering::Relaxed);
    }
}

fn stream(
    slot: Slot,
    prompt: u32,
    events: std::ops::Range<u32>,
    script: script::Script,
) -> reply::Response {
    let (pieces, body) = mpsc::channel(8);
    let is_delimited = script.crash != Some(script::CrashPoint::CleanClose);
    tokio::spawn(async move {
        let prefill = time::Duration::from_millis(u64::from(prompt / PREFILL_RATE));
        tokio::time::sleep(prefill).await;
        let last = events.end;
        for id in events.map(|event| event + 1) {
            if let Some(pause) = script.pause.filter(|pause| pause.before == id) {
                tokio::time::sleep(pause.length).await;
            }
            if script.breaks == Some(id) {
                // The front may have closed the connection.
                let _ = pieces.send(Err(reply::cut())).await;
                return;
            }
            let length = if id == last { script.last } else { 0 };
            if let Some(point) = script.crash {
                return crash_within(&slot, &pieces, point, event(id, length)).await;
            }
            if pieces.send(Ok(event(id, length).into())).await.is_err() {
                return;
            }
            tokio::time::sleep(EVENT_INTERVAL).await;
        }
    });
    let mut response = events_from(body);
    if !is_delimited {
        *response.version_mut() = http::Version::HTTP_10;
    }
    response
}

/// Sends what comes before a crash of the engine, and crashes it.
async fn crash_within(
    slot: &Slot,
    pieces: &mpsc::Sender<io::Result<bytes::Bytes>>,
    point: script::CrashPoint,
    event: String,
) {
    let sent = match point {
        script::CrashPoint::BeforeHead | script::CrashPoint::AfterHead => "",
        script::CrashPoint::WithinEvent => &event[..event.len() / 2],
        script::CrashPoint::AfterEvent | script::CrashPoint::CleanClose => &event,
    };
    // The front may have closed the connection.
    let _ = pieces.send(Ok(sent.to_owned().into())).await;
    tokio::time::sleep(EVENT_INTERVAL).await;
    if point != script::CrashPoint::CleanClose {
        let _ = pieces.send(Err(reply::cut())).await;
    }
    slot.engine.crash();
}

/// Returns an event with at least `length` bytes of data.
fn event(id: u32, length: usize) -> String {
    let data = format!("t{}", id - 1);
    let filler = ".".repeat(length.saturating_sub(data.len()));
    format!("id: {id}\ndata: {data}{filler}\n\n")
}

/// Returns a stream that ends in the middle, without an event.
fn broken() -> reply::Response {
    let (pieces, body) = mpsc::channel(1);
    // The channel has room for one piece.
    let _ = pieces.try_send(Err(reply::cut()));
    events_from(body)
}

fn events_from(pieces: mpsc::Receiver<io::Result<bytes::Bytes>>) -> reply::Response {
    let mut response = http::Response::new(out::Body::Pieces(pieces));
    reply::set(&mut response, "content-type", "text/event-stream");
    response
}

fn stamp(mut response: reply::Response, id: &str, engine: &str) -> reply::Response {
    let names = names::protocol();
    insert(&mut response, names.id, id);
    insert(&mut response, names.stamp, engine);
    response
}

fn refuse(status: http::StatusCode, id: &str) -> reply::Response {
    let names = names::protocol();
    let mut response = reply::error(status, "not run");
    insert(&mut response, names.id, id);
    insert(&mut response, names.refusal, "1");
    response
}

fn insert(response: &mut reply::Response, name: &str, value: &str) {
    let name = http::header::HeaderName::from_bytes(name.as_bytes());
    let value = http::header::HeaderValue::from_str(value);
    if let (Ok(name), Ok(value)) = (name, value) {
        response.headers_mut().insert(name, value);
    }
}
