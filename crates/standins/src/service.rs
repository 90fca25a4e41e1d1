//! The stand-in for a plain service.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use hyper::body;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;

use crate::faults;
use crate::handle;
use crate::load;
use crate::reply;
use crate::request;
use crate::runs;
use crate::server;

/// How many first answers are kept for deduplication.
const MAX_RECEIPTS: usize = 1 << 16;

/// The faults that apply to a service.
const FAULTS: &[&str] = &[
    "fail",
    "delay_ms",
    "lose_next",
    "freeze",
    "leave",
    "reset_at",
    "wrong_attempt",
    "error_rate",
    "slow_factor",
];

/// Settings of a service.
#[derive(Clone, Debug)]
pub struct Config {
    /// Listening address.
    pub listen: net::SocketAddr,
    /// Whether a known key gets its first answer again.
    pub deduplicate: bool,
    /// How long one run takes, in milliseconds.
    pub run_ms: u64,
    /// Requests that are reported as the capacity.
    pub slots: usize,
    /// The version that is served.
    pub version: String,
    /// Incarnation; 0 takes the start time.
    pub incarnation: u64,
    /// Seed of the error rate.
    pub seed: u64,
    /// Runtime threads.
    pub threads: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            deduplicate: false,
            run_ms: 0,
            slots: 64,
            version: "v1".to_owned(),
            incarnation: 0,
            seed: 1,
            threads: 1,
        }
    }
}

/// Starts a service.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start(config: Config) -> io::Result<handle::Handle> {
    let server = server::Server::bind(config.listen, config.threads)?;
    let service = sync::Arc::new(Service::new(config));
    server.run(move |request| respond(service.clone(), request))
}

async fn respond(
    service: sync::Arc<Service>,
    request: http::Request<body::Incoming>,
) -> reply::Outcome {
    service.respond(request).await
}

#[derive(Debug)]
struct Service {
    config: Config,
    incarnation: u64,
    switch: faults::Switch,
    state: sync::Mutex<State>,
}

#[derive(Debug)]
struct State {
    runs: runs::Runs,
    receipts: collections::HashMap<String, serde_json::Value>,
    running: usize,
    serial: u64,
    rng: rngs::SmallRng,
}

impl Service {
    fn new(config: Config) -> Self {
        let state = State {
            runs: runs::Runs::default(),
            receipts: collections::HashMap::new(),
            running: 0,
            serial: 0,
            rng: rngs::SmallRng::seed_from_u64(config.seed),
        };
        let incarnation = load::incarnation(config.incarnation);
        let switch = faults::Switch::new(faults::Faults::default(), FAULTS);
        Self {
            config,
            incarnation,
            switch,
            state: sync::Mutex::new(state),
        }
    }

    async fn respond(&self, request: http::Request<body::Incoming>) -> reply::Outcome {
        let standin = request.uri().path().starts_with("/standin/");
        if !standin {
            self.switch.hold().await;
        }
        let early = !standin && self.switch.get().reset_at == Some(faults::ResetAt::BeforeBody);
        if early {
            return Err(reply::cut());
        }
        let request = match request::read(request).await {
            Ok(request) => request,
            Err(response) => return Ok(*response),
        };
        match (request.method().as_str(), request.uri().path()) {
            (_, "/standin/faults") => Ok(self.switch.respond(&request)),
            ("GET", "/standin/runs") => Ok(reply::json(http::StatusCode::OK, &self.lock().runs)),
            ("GET", "/load") => Ok(reply::json(http::StatusCode::OK, &self.load())),
            ("POST", _) => self.call(&request).await,
            _ => Ok(reply::missing()),
        }
    }

    async fn call(&self, request: &request::Request) -> reply::Outcome {
        let faults = self.switch.get();
        if faults.fail {
            return Ok(reply::failed());
        }
        if faults.leave {
            return Ok(reply::refused("leaving"));
        }
        if let Err(response) = request::json::<serde_json::Value>(request) {
            return Ok(*response);
        }
        let key = request::header(request, "idempotency-key").to_owned();
        let answer = match self.known(&key) {
            Some(answer) => answer,
            None => self.run(key, &faults).await,
        };
        self.switch.thaw().await;
        if self.switch.lose() || faults.reset_at.is_some() {
            return Err(reply::cut());
        }
        let failed = self
            .lock()
            .rng
            .random_ratio(u32::from(faults.error_rate.min(1_000)), 1_000);
        if failed {
            let status = http::StatusCode::INTERNAL_SERVER_ERROR;
            return Ok(reply::error(status, "told to answer with an error"));
        }
        Ok(self.decorate(reply::json(http::StatusCode::OK, &answer), request, &faults))
    }

    fn known(&self, key: &str) -> Option<serde_json::Value> {
        let known = self.config.deduplicate && !key.is_empty();
        known
            .then(|| self.lock().receipts.get(key).cloned())
            .flatten()
    }

    async fn run(&self, key: String, faults: &faults::Faults) -> serde_json::Value {
        let running = Running::start(self);
        let answer = self.record(key);
        let run_ms = self.config.run_ms * u64::from(faults.slow_factor);
        if run_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(run_ms)).await;
        }
        drop(running);
        answer
    }

    fn record(&self, key: String) -> serde_json::Value {
        let mut state = self.lock();
        state.serial += 1;
        let run = state.runs.count(&key);
        let receipt = format!("r-{}-{}", self.incarnation, state.serial);
        let answer = serde_json::json!({ "receipt": receipt, "key": key, "run": run });
        if state.receipts.len() < MAX_RECEIPTS {
            state.receipts.entry(key).or_insert_with(|| answer.clone());
        }
        answer
    }

    fn decorate(
        &self,
        mut response: reply::Response,
        request: &request::Request,
        faults: &faults::Faults,
    ) -> reply::Response {
        let attempt = request::header(request, "x-attempt-id");
        let other = if faults.wrong_attempt { "other-" } else { "" };
        if !attempt.is_empty() {
            reply::set(&mut response, "x-attempt-id", &format!("{other}{attempt}"));
        }
        reply::set(&mut response, "x-load", &self.load().to_string());
        reply::set(&mut response, "x-version", &self.config.version);
        response
    }

    fn load(&self) -> load::Load {
        load::Load {
            incarnation: self.incarnation,
            queue: 0,
            running: self.lock().running,
            slots: self.config.slots,
            version: self.config.version.clone(),
            at_ms: load::unix_ms(),
            leaving: self.switch.get().leave,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Counts one running request until it is dropped.
struct Running<'a>(&'a Service);

impl<'a> Running<'a> {
    fn start(service: &'a Service) -> Self {
        service.lock().running += 1;
        Self(service)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}
