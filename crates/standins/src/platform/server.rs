//! The platform's HTTP interface.

use std::io;
use std::sync;
use std::time;

use bytes::Bytes;
use hyper::body;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use tokio::sync::watch;

use super::calls;
use super::cloud;
use super::config;
use super::instances;
use super::objects;
use super::weights;
use crate::faults;
use crate::handle;
use crate::reply;
use crate::request;
use crate::server;

/// The longest wait of a watch in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;

/// The most bytes that one read of weights returns.
const MAX_WEIGHT_BYTES: u64 = 16 << 20;

/// The faults that apply to a platform.
const FAULTS: &[&str] = &[
    "fail",
    "delay_ms",
    "lose_next",
    "freeze",
    "reset_at",
    "error_rate",
    "slow_factor",
    "list_lag_ms",
    "refuse_rate",
];

/// Starts a platform.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start(config: config::Config) -> io::Result<handle::Handle> {
    let server = server::Server::bind(config.listen, config.threads)?;
    let platform = sync::Arc::new(Platform::new(config));
    server.run(move |request| {
        let platform = platform.clone();
        async move { platform.respond(request).await }
    })
}

#[derive(Debug)]
struct Platform {
    config: config::Config,
    switch: faults::Switch,
    changes: watch::Sender<u64>,
    state: sync::Mutex<State>,
}

#[derive(Debug)]
struct State {
    objects: objects::Objects,
    instances: instances::Instances,
    cloud: cloud::Cloud,
    bucket: weights::Bucket,
    calls: calls::Calls,
    rng: rngs::SmallRng,
}

impl Platform {
    fn new(config: config::Config) -> Self {
        let first = faults::Faults {
            list_lag_ms: config.list_lag_ms,
            refuse_rate: config.refuse_rate,
            ..faults::Faults::default()
        };
        let state = State {
            objects: objects::Objects::default(),
            instances: instances::Instances::default(),
            cloud: cloud::Cloud::default(),
            bucket: weights::Bucket::new(config.weight_rate),
            calls: calls::Calls::default(),
            rng: rngs::SmallRng::seed_from_u64(config.seed),
        };
        let switch = faults::Switch::new(first, FAULTS);
        Self {
            config,
            switch,
            changes: watch::Sender::new(0),
            state: sync::Mutex::new(state),
        }
    }

    async fn respond(&self, request: http::Request<body::Incoming>) -> reply::Outcome {
        if !request.uri().path().starts_with("/standin/") {
            self.count(&request);
            self.hold().await;
            if self.switch.get().reset_at == Some(faults::ResetAt::BeforeBody) {
                return Err(reply::cut());
            }
        }
        let request = match request::read(request).await {
            Ok(request) => request,
            Err(response) => return Ok(*response),
        };
        if request.uri().path().starts_with("/standin/") {
            return Ok(self.standin(&request));
        }
        if self.failing() {
            return Ok(reply::failed());
        }
        let response = self.route(&request).await;
        self.switch.thaw().await;
        let write = *request.method() != http::Method::GET;
        let lost = write && self.switch.lose();
        if lost || self.switch.get().reset_at.is_some() {
            return Err(reply::cut());
        }
        Ok(response)
    }

    fn count(&self, request: &http::Request<body::Incoming>) {
        let mut state = self.lock();
        let path = request.uri().path();
        if let Some(counter) = state.calls.counter(request.method().as_str(), path) {
            *counter += 1;
        }
    }

    async fn hold(&self) {
        let slow = self.switch.get().slow_factor;
        let call = time::Duration::from_millis(self.config.call_ms).saturating_mul(slow);
        if !call.is_zero() {
            tokio::time::sleep(call).await;
        }
        self.switch.hold().await;
    }

    fn failing(&self) -> bool {
        let faults = self.switch.get();
        faults.fail || self.chance(faults.error_rate)
    }

    fn standin(&self, request: &request::Request) -> reply::Response {
        match request.uri().path() {
            "/standin/faults" => self.switch.respond(request),
            "/standin/calls" => reply::json(http::StatusCode::OK, &self.lock().calls),
            "/standin/notices" => self.notify(request),
            _ => reply::missing(),
        }
    }

    async fn route(&self, request: &request::Request) -> reply::Response {
        let path = request.uri().path();
        match (request.method().as_str(), path) {
            ("GET", "/objects") => self.list(request),
            ("GET", "/watch") => self.watch(request).await,
            ("GET", "/instances") => self.instances(),
            ("POST", "/instances") => self.register(request),
            ("GET", "/cloud/notices") => self.notices(request).await,
            ("GET", "/cloud/instances") => {
                reply::json(http::StatusCode::OK, self.lock().cloud.rented())
            }
            ("POST", "/cloud/instances") => self.rent(request),
            _ => self.named(request, path),
        }
    }

    fn named(&self, request: &request::Request, path: &str) -> reply::Response {
        let (base, name) = match path.char_indices().filter(|(_, c)| *c == '/').nth(1) {
            Some((cut, _)) => path.split_at(cut),
            None => return reply::missing(),
        };
        let name = request::decode(&name[1..]);
        match (request.method().as_str(), base) {
            ("GET", "/objects") => self.read(&name),
            ("PUT", "/objects") => self.write(request, &name),
            ("DELETE", "/objects") => self.delete(request, &name),
            ("DELETE", "/instances") => found(self.lock().instances.remove(&name)),
            ("DELETE", "/cloud") => self.release(&name),
            ("GET", "/weights") => self.weights(request),
            _ => reply::missing(),
        }
    }

    fn read(&self, key: &str) -> reply::Response {
        match self.lock().objects.read(key) {
            Some((version, body)) => {
                let mut response = http::Response::new(crate::body::Body::whole(body));
                tag(&mut response, version);
                response
            }
            None => reply::missing(),
        }
    }

    fn write(&self, request: &request::Request, key: &str) -> reply::Response {
        let condition = match condition(request) {
            Ok(condition) => condition,
            Err(response) => return *response,
        };
        let written = self
            .lock()
            .objects
            .write(key, condition, request.body().clone());
        self.answer(written)
    }

    fn delete(&self, request: &request::Request, key: &str) -> reply::Response {
        let condition = match condition(request) {
            Ok(condition) => condition,
            Err(response) => return *response,
        };
        let deleted = self.lock().objects.delete(key, condition);
        self.answer(deleted.map(|()| 0))
    }

    fn answer(&self, outcome: Result<u64, objects::Refusal>) -> reply::Response {
        match outcome {
            Ok(version) => {
                self.changes.send_modify(|count| *count += 1);
                let mut response = done();
                if version > 0 {
                    tag(&mut response, version);
                }
                response
            }
            Err(objects::Refusal::Conflict(current)) => conflict(current),
            Err(objects::Refusal::Limit) => {
                let status = http::StatusCode::INSUFFICIENT_STORAGE;
                reply::error(status, "too many objects or too long a key")
            }
        }
    }

    fn list(&self, request: &request::Request) -> reply::Response {
        let prefix = request::query(request, "prefix");
        reply::json(http::StatusCode::OK, &self.lock().objects.list(&prefix))
    }

    async fn watch(&self, request: &request::Request) -> reply::Response {
        let prefix = request::query(request, "prefix");
        let since = match request::query_number(request, "since", 0) {
            Ok(since) => since,
            Err(response) => return *response,
        };
        let page = || {
            let listing = self.lock().objects.changed(&prefix, since);
            (!listing.objects.is_empty(), listing)
        };
        self.wait(request, page).await
    }

    async fn notices(&self, request: &request::Request) -> reply::Response {
        let since = match request::query_number(request, "since", 0) {
            Ok(since) => since,
            Err(response) => return *response,
        };
        let page = || {
            let page = self.lock().cloud.notices(since);
            (!page.notices.is_empty(), page)
        };
        self.wait(request, page).await
    }

    /// Answers with a page once it is not empty, after the wait, or with the fault that is set.
    async fn wait<T: serde::Serialize>(
        &self,
        request: &request::Request,
        page: impl Fn() -> (bool, T),
    ) -> reply::Response {
        let wait_ms = match request::query_number(request, "wait_ms", 0) {
            Ok(wait_ms) => wait_ms.min(MAX_WAIT_MS),
            Err(response) => return *response,
        };
        let end = tokio::time::Instant::now() + time::Duration::from_millis(wait_ms);
        let mut changes = self.changes.subscribe();
        let mut faults = self.switch.subscribe();
        loop {
            changes.mark_unchanged();
            let (full, page) = page();
            if full || tokio::time::Instant::now() >= end {
                return reply::json(http::StatusCode::OK, &page);
            }
            tokio::select! {
                _ = changes.changed() => {}
                _ = faults.wait_for(|faults| faults.fail) => return reply::failed(),
                () = tokio::time::sleep_until(end) => {}
            }
        }
    }

    fn instances(&self) -> reply::Response {
        let lag = time::Duration::from_millis(self.switch.get().list_lag_ms);
        reply::json(http::StatusCode::OK, &self.lock().instances.list(lag))
    }

    fn register(&self, request: &request::Request) -> reply::Response {
        let instance = match request::json::<instances::Instance>(request) {
            Ok(instance) => instance,
            Err(response) => return *response,
        };
        if self.lock().instances.register(instance) {
            return done();
        }
        reply::error(http::StatusCode::INSUFFICIENT_STORAGE, "too many instances")
    }

    fn rent(&self, request: &request::Request) -> reply::Response {
        let start = match request::json::<cloud::Start>(request) {
            Ok(start) => start,
            Err(response) => return *response,
        };
        let refused = self.chance(self.switch.get().refuse_rate);
        let name = if refused {
            None
        } else {
            self.lock().cloud.start(start)
        };
        match name {
            Some(name) => reply::json(
                http::StatusCode::CREATED,
                &serde_json::json!({ "name": name }),
            ),
            None => reply::error(http::StatusCode::CONFLICT, "no such instance is free"),
        }
    }

    fn release(&self, path: &str) -> reply::Response {
        let Some(name) = path.strip_prefix("instances/") else {
            return reply::missing();
        };
        let mut state = self.lock();
        state.instances.remove(name);
        found(state.cloud.stop(name))
    }

    fn notify(&self, request: &request::Request) -> reply::Response {
        match request::json::<cloud::Draft>(request) {
            Ok(draft) => {
                self.lock().cloud.notify(draft);
                self.changes.send_modify(|count| *count += 1);
                done()
            }
            Err(response) => *response,
        }
    }

    fn weights(&self, request: &request::Request) -> reply::Response {
        let bytes = match request::query_number(request, "bytes", 0) {
            Ok(bytes) if bytes <= MAX_WEIGHT_BYTES => bytes,
            Ok(_) => return reply::bad(format!("query bytes: use at most {MAX_WEIGHT_BYTES}")),
            Err(response) => return *response,
        };
        match self.lock().bucket.take(bytes, time::Instant::now()) {
            Ok(()) => {
                let body = vec![0; usize::try_from(bytes).unwrap_or(0)];
                http::Response::new(crate::body::Body::whole(Bytes::from(body)))
            }
            Err(seconds) => {
                let status = http::StatusCode::TOO_MANY_REQUESTS;
                let mut response = reply::error(status, "the rate of the weight store");
                reply::set(&mut response, "retry-after", &seconds.to_string());
                response
            }
        }
    }

    fn chance(&self, rate: u16) -> bool {
        self.lock()
            .rng
            .random_ratio(u32::from(rate.min(1_000)), 1_000)
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn condition(request: &request::Request) -> Result<objects::Condition, Box<reply::Response>> {
    let version = request::header(request, "if-match");
    if request::header(request, "if-none-match") == "*" {
        return Ok(objects::Condition::Absent);
    }
    if version.is_empty() {
        let status = http::StatusCode::PRECONDITION_REQUIRED;
        return Err(Box::new(reply::error(
            status,
            "give if-match or if-none-match: *",
        )));
    }
    let bad = |_| {
        Box::new(reply::bad(format!(
            "if-match: {version} is not a quoted version"
        )))
    };
    version
        .trim_matches('"')
        .parse()
        .map(objects::Condition::Version)
        .map_err(bad)
}

fn conflict(current: Option<u64>) -> reply::Response {
    let status = http::StatusCode::PRECONDITION_FAILED;
    let mut response = reply::error(status, "the condition does not hold");
    if let Some(version) = current {
        tag(&mut response, version);
    }
    response
}

fn tag(response: &mut reply::Response, version: u64) {
    reply::set(response, "etag", &format!("\"{version}\""));
}

fn done() -> reply::Response {
    reply::json(http::StatusCode::OK, &serde_json::json!({}))
}

fn found(found: bool) -> reply::Response {
    if found { done() } else { reply::missing() }
}
