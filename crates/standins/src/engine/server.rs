//! The engine's HTTP interface.

use std::collections;
use std::io;
use std::sync;
use std::time;

use hyper::body;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::batch;
use super::cache;
use super::config;
use super::kv;
use super::orders;
use super::prompt;
use super::stream;
use crate::body as reply_body;
use crate::faults;
use crate::handle;
use crate::lagged;
use crate::load;
use crate::reply;
use crate::request;
use crate::runs;
use crate::server;

/// The most tokens that one request may ask for.
const MAX_TOKENS: u64 = 100_000;

/// Pieces of one answer that may wait for a slow caller.
const MAX_PIECES: usize = 64;

/// The word that crashes an engine that is told to crash on poison.
const POISON: &[u8] = b"CRASH";

/// The faults that apply to an engine.
const FAULTS: &[&str] = &[
    "fail",
    "delay_ms",
    "lose_next",
    "freeze",
    "leave",
    "reset_at",
    "duplicate_tokens",
    "wrong_attempt",
    "truncate_at",
    "error_rate",
    "slow_factor",
    "load_lag_ms",
    "cache_lag_ms",
    "cache_gap_rate",
];

/// Starts an engine.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start(config: config::Config) -> io::Result<handle::Handle> {
    let server = server::Server::bind(config.listen, config.threads)?;
    let engine = sync::Arc::new(Engine::new(config, server.phase()));
    server.run(move |request| {
        let engine = engine.clone();
        async move { engine.respond(request).await }
    })
}

/// An engine's settings and state.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) switch: faults::Switch,
    config: config::Config,
    incarnation: u64,
    phase: watch::Sender<handle::Phase>,
    state: sync::Mutex<State>,
}

/// What changes while an engine runs.
#[derive(Debug)]
pub(super) struct State {
    pub(super) kv: kv::Kv,
    batch: batch::Batch,
    cache: cache::Cache,
    orders: orders::Orders,
    runs: runs::Runs,
    load: lagged::Lagged<load::Load>,
    streams: collections::HashMap<String, sync::Arc<Notify>>,
    rng: rngs::SmallRng,
    serial: u64,
}

/// The body of a request for tokens.
#[derive(Debug, serde::Deserialize)]
struct Ask {
    prompt: String,
    max_tokens: u64,
}

impl Engine {
    fn new(config: config::Config, phase: watch::Sender<handle::Phase>) -> Self {
        let first = faults::Faults {
            load_lag_ms: config.load_lag_ms,
            cache_lag_ms: config.cache_lag_ms,
            cache_gap_rate: config.cache_gap_rate,
            ..faults::Faults::default()
        };
        let state = State {
            kv: kv::Kv::default(),
            batch: batch::Batch::new(config.slots, config.queue),
            cache: cache::Cache::new(config.cache_blocks, config.seed),
            orders: orders::Orders::new(config.fencing, config.version.clone()),
            runs: runs::Runs::default(),
            load: lagged::Lagged::new(load::Load {
                slots: config.slots,
                version: config.version.clone(),
                ..load::Load::default()
            }),
            streams: collections::HashMap::new(),
            rng: rngs::SmallRng::seed_from_u64(config.seed),
            serial: 0,
        };
        let incarnation = load::incarnation(config.incarnation);
        let switch = faults::Switch::new(first, FAULTS);
        Self {
            switch,
            config,
            incarnation,
            phase,
            state: sync::Mutex::new(state),
        }
    }

    /// Returns the gap between two tokens.
    pub(super) fn gap(&self) -> time::Duration {
        self.slowed(time::Duration::from_millis(self.config.token_ms))
    }

    /// Returns how long the prefill of some tokens takes.
    pub(super) fn prefill(&self, tokens: u64) -> time::Duration {
        self.slowed(time::Duration::from_micros(
            self.config.prefill_us.saturating_mul(tokens),
        ))
    }

    /// Stores a chain of blocks in the prefix cache.
    pub(super) fn store(&self, chain: &[u64]) {
        let gap_rate = self.switch.get().cache_gap_rate;
        self.lock().cache.store(chain, gap_rate);
    }

    /// Locks the state.
    pub(super) fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn slowed(&self, base: time::Duration) -> time::Duration {
        base.saturating_mul(self.switch.get().slow_factor)
    }

    async fn respond(
        self: sync::Arc<Self>,
        request: http::Request<body::Incoming>,
    ) -> reply::Outcome {
        if !request.uri().path().starts_with("/standin/") {
            self.switch.hold().await;
            if self.switch.get().reset_at == Some(faults::ResetAt::BeforeBody) {
                return Err(reply::cut());
            }
        }
        let request = match request::read(request).await {
            Ok(request) => request,
            Err(response) => return Ok(*response),
        };
        self.route(request).await
    }

    async fn route(self: sync::Arc<Self>, request: request::Request) -> reply::Outcome {
        let path = request.uri().path().to_owned();
        if path.starts_with("/standin/") {
            return Ok(self.standin(&request, &path));
        }
        if self.switch.get().fail {
            return Ok(reply::failed());
        }
        match (request.method().as_str(), path.as_str()) {
            ("GET", "/load") => Ok(reply::json(http::StatusCode::OK, &self.load())),
            ("GET", "/cache/events") => Ok(self.events(&request)),
            ("POST", "/orders") => Ok(self.order(&request)),
            ("POST", "/kv/import") => Ok(self.import(&request)),
            ("GET", _) if path.starts_with("/kv/") => Ok(self.export(&path["/kv/".len()..])),
            ("DELETE", _) if path.starts_with("/v1/streams/") => {
                Ok(self.cancel(&path["/v1/streams/".len()..]))
            }
            ("POST", _) if path.starts_with("/v1/") => self.ask(&request).await,
            _ => Ok(reply::missing()),
        }
    }

    fn standin(&self, request: &request::Request, path: &str) -> reply::Response {
        match path {
            "/standin/faults" => {
                let response = self.switch.respond(request);
                self.refuse_waiting();
                response
            }
            "/standin/runs" => reply::json(http::StatusCode::OK, &self.lock().runs),
            "/standin/orders" => reply::json(http::StatusCode::OK, &self.lock().orders.log()),
            _ => reply::missing(),
        }
    }

    fn refuse_waiting(&self) {
        let mut state = self.lock();
        if self.switch.get().leave {
            state.batch.clear();
        }
        self.note(&mut state);
    }

    async fn ask(self: sync::Arc<Self>, request: &request::Request) -> reply::Outcome {
        let ask = match request::json::<Ask>(request) {
            Ok(ask) if ask.max_tokens <= MAX_TOKENS => ask,
            Ok(_) => return Ok(reply::bad(format!("max_tokens: use at most {MAX_TOKENS}"))),
            Err(response) => return Ok(*response),
        };
        let (first, deadline) = match numbers(request) {
            Ok(numbers) => numbers,
            Err(response) => return Ok(*response),
        };
        let slot = match self.slot(request, deadline).await {
            Ok(slot) => slot,
            Err(message) => return Ok(reply::refused(message)),
        };
        if self.config.crash_on_poison && contains(request.body(), POISON) {
            self.phase
                .send_if_modified(|phase| handle::end(phase, handle::Phase::Crashed));
            return Err(reply::cut());
        }
        if self.switch.lose() {
            return Err(reply::cut());
        }
        if self.chance(self.switch.get().error_rate) {
            let status = http::StatusCode::INTERNAL_SERVER_ERROR;
            return Ok(reply::error(status, "told to answer with an error"));
        }
        Ok(self.answer(&ask, first, slot))
    }

    async fn slot(
        self: &sync::Arc<Self>,
        request: &request::Request,
        deadline: u64,
    ) -> Result<Slot, &'static str> {
        let priority = match request::header(request, "x-priority") {
            "long" => batch::Priority::Long,
            _ => batch::Priority::Quick,
        };
        let mut waiting = self.enter(priority)?;
        let left = time::Duration::from_millis(deadline.saturating_sub(load::unix_ms()));
        match tokio::time::timeout(left, waiting.granted()).await {
            Ok(true) => {}
            Ok(false) => return Err("leaving"),
            Err(_) => return Err("the deadline passed in the queue"),
        }
        Ok(self.begin(request))
    }

    fn enter(self: &sync::Arc<Self>, priority: batch::Priority) -> Result<Waiting, &'static str> {
        let mut state = self.lock();
        if self.switch.get().leave {
            return Err("leaving");
        }
        let place = state
            .batch
            .enter(priority)
            .map_err(|batch::Full| "the queue is full")?;
        self.note(&mut state);
        Ok(Waiting {
            engine: self.clone(),
            place: Some(place),
        })
    }

    fn begin(self: &sync::Arc<Self>, request: &request::Request) -> Slot {
        let mut state = self.lock();
        state.serial += 1;
        let mut attempt = request::header(request, "x-attempt-id").to_owned();
        if attempt.is_empty() {
            attempt = format!("e{}", state.serial);
        }
        let key = ["idempotency-key", "x-request-id"].map(|name| request::header(request, name));
        let key = key
            .into_iter()
            .find(|key| !key.is_empty())
            .unwrap_or(&attempt);
        state.runs.count(key);
        let cancel = sync::Arc::new(Notify::new());
        state.streams.insert(attempt.clone(), cancel.clone());
        Slot {
            engine: self.clone(),
            attempt,
            cancel,
        }
    }

    fn answer(self: &sync::Arc<Self>, ask: &Ask, first: u64, slot: Slot) -> reply::Response {
        let plan = self.plan(ask, first, &slot.attempt);
        let other = if self.switch.get().wrong_attempt {
            "other-"
        } else {
            ""
        };
        let attempt = format!("{other}{}", slot.attempt);
        let (sender, pieces) = mpsc::channel(MAX_PIECES);
        tokio::spawn(stream::Stream::new(self.clone(), plan, sender, slot).run());
        let mut response = http::Response::new(reply_body::Body::Pieces(pieces));
        reply::set(&mut response, "content-type", "text/event-stream");
        reply::set(&mut response, "cache-control", "no-cache");
        reply::set(&mut response, "x-attempt-id", &attempt);
        reply::set(&mut response, "x-load", &self.load().to_string());
        reply::set(&mut response, "x-version", self.lock().orders.version());
        response
    }

    fn plan(&self, ask: &Ask, first: u64, attempt: &str) -> stream::Plan {
        let chain = prompt::blocks(ask.prompt.split_whitespace());
        let words = ask.prompt.split_whitespace().count() as u64;
        let fingerprint = prompt::fingerprint(&ask.prompt);
        let tokens = words + first;
        let mut state = self.lock();
        let hits = state.cache.hit(&chain) * prompt::BLOCK_WORDS;
        let cached = state.kv.imported(fingerprint).max(hits as u64).min(tokens);
        state.kv.begin(kv::Export {
            attempt: attempt.to_owned(),
            fingerprint,
            prompt: words,
            offset: first,
        });
        stream::Plan {
            attempt: attempt.to_owned(),
            text: ask.prompt.clone(),
            chain,
            fingerprint,
            prompt: tokens,
            cached,
            first,
            end: ask.max_tokens.max(first),
        }
    }

    fn load(&self) -> load::Load {
        let lag_ms = self.switch.get().load_lag_ms;
        let mut load = self
            .lock()
            .load
            .get(time::Duration::from_millis(lag_ms))
            .clone();
        load.incarnation = self.incarnation;
        load.at_ms = load::unix_ms().saturating_sub(lag_ms);
        load
    }

    fn note(&self, state: &mut State) {
        state.load.set(load::Load {
            queue: state.batch.queued(),
            running: state.batch.running(),
            slots: self.config.slots,
            version: state.orders.version().to_owned(),
            leaving: self.switch.get().leave,
            ..load::Load::default()
        });
    }

    fn events(&self, request: &request::Request) -> reply::Response {
        let lag = time::Duration::from_millis(self.switch.get().cache_lag_ms);
        match request::query_number(request, "since", 0) {
            Ok(since) => reply::json(http::StatusCode::OK, &self.lock().cache.events(since, lag)),
            Err(response) => *response,
        }
    }

    fn order(&self, request: &request::Request) -> reply::Response {
        let fenced = match request::json::<orders::Fenced>(request) {
            Ok(fenced) => fenced,
            Err(response) => return *response,
        };
        let mut state = self.lock();
        let taken = state.orders.take(fenced);
        self.note(&mut state);
        match taken {
            Ok(()) => reply::json(http::StatusCode::OK, &serde_json::json!({})),
            Err(fence) => {
                let body = serde_json::json!({ "fence": fence });
                reply::json(http::StatusCode::CONFLICT, &body)
            }
        }
    }

    fn export(&self, attempt: &str) -> reply::Response {
        match self.lock().kv.export(attempt) {
            Some(export) => reply::json(http::StatusCode::OK, export),
            None => reply::missing(),
        }
    }

    fn import(&self, request: &request::Request) -> reply::Response {
        match request::json::<kv::Export>(request) {
            Ok(export) => {
                self.lock().kv.import(&export);
                reply::json(http::StatusCode::OK, &serde_json::json!({}))
            }
            Err(response) => *response,
        }
    }

    fn cancel(&self, attempt: &str) -> reply::Response {
        match self.lock().streams.get(attempt) {
            Some(cancel) => {
                cancel.notify_one();
                reply::json(http::StatusCode::OK, &serde_json::json!({}))
            }
            None => reply::missing(),
        }
    }

    fn chance(&self, rate: u16) -> bool {
        self.lock()
            .rng
            .random_ratio(u32::from(rate.min(1_000)), 1_000)
    }
}

/// A place in the queue that is given up when it is dropped.
struct Waiting {
    engine: sync::Arc<Engine>,
    place: Option<batch::Place>,
}

impl Waiting {
    /// Waits for a slot; returns false if the request is refused instead.
    async fn granted(&mut self) -> bool {
        let Some(place) = &mut self.place else {
            return false;
        };
        let granted = (&mut place.slot).await.is_ok();
        self.place = None;
        granted
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let Some(place) = self.place.take() else {
            return;
        };
        let mut state = self.engine.lock();
        state.batch.abandon(place);
        self.engine.note(&mut state);
    }
}

/// A slot of the batch, which is given back when it is dropped.
#[derive(Debug)]
pub(super) struct Slot {
    engine: sync::Arc<Engine>,
    attempt: String,
    cancel: sync::Arc<Notify>,
}

impl Slot {
    /// Returns the signal of a cancel.
    pub(super) fn cancel(&self) -> sync::Arc<Notify> {
        self.cancel.clone()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        let own = state
            .streams
            .get(&self.attempt)
            .is_some_and(|c| sync::Arc::ptr_eq(c, &self.cancel));
        if own {
            state.streams.remove(&self.attempt);
        }
        state.batch.release();
        self.engine.note(&mut state);
    }
}

fn numbers(request: &request::Request) -> Result<(u64, u64), Box<reply::Response>> {
    let first = request::number(request, "x-resume-offset")?.unwrap_or(0);
    let deadline = request::number(request, "x-deadline-ms")?.unwrap_or(u64::MAX);
    if first > MAX_TOKENS {
        return Err(Box::new(reply::bad(format!(
            "x-resume-offset: use at most {MAX_TOKENS}"
        ))));
    }
    Ok((first, deadline))
}

fn contains(body: &[u8], word: &[u8]) -> bool {
    body.windows(word.len()).any(|window| window == word)
}
