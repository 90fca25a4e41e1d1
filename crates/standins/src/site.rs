//! The stand-in for the users' platform: store of objects, engines, and the API of duties.
//!
//! It uses the types and names of `guavausher_platform`. Its store and its API listen on one
//! address, each engine on an address of its own. Requests can be inspected and faults injected
//! under `/standin/`. Words in a request's body make its engine pause, break or refuse.

mod crashes;
mod engine;
mod objects;
mod odd;
mod script;

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use guavausher_platform::names;
use guavausher_platform::servers;
use guavausher_platform::wire;
use hyper::body;
use serde_json::value;
use tokio::sync::watch;

use crate::handle;
use crate::reply;
use crate::request;
use crate::server;

pub use engine::Log;

/// Header with how often the store has returned from a copy; none before the first time.
const STORE_ERA: &str = "store-era";
/// Time without a heartbeat after which the entry of an engine is removed.
const ENTRY_EXPIRY: time::Duration = time::Duration::from_millis(3_600);
/// Longest time that a watch waits.
const MAX_WAIT: time::Duration = time::Duration::from_secs(30);
/// Maximum number of engines.
const MAX_ENGINES: u32 = 64;

/// Settings of a site.
#[derive(Clone, Debug)]
pub struct Config {
    /// Listening address of the store and the API of duties.
    pub listen: net::SocketAddr,
    /// Services and how many engines each has at first in each failure domain.
    pub services: Vec<Service>,
    /// Failure domains.
    pub domains: Vec<String>,
}

/// Engines of a service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Engines in each failure domain.
    pub count: u32,
    /// Number of requests that one of them runs concurrently.
    pub slots: u32,
}

/// Faults that apply until they are changed.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize, serde::Serialize)]
#[serde(default)]
struct Faults {
    /// The store responds with 503.
    down: bool,
    /// The store responds to nothing.
    mute: bool,
    /// The store performs writes but loses the responses.
    lose: bool,
    /// The store responds to no watch of the manifest.
    hang: bool,
    /// The store responds to no status write and executes it only at `/standin/late`.
    late: bool,
}

/// A status write that has not been executed yet.
struct LateWrite {
    kind: String,
    name: String,
    body: Vec<u8>,
}

struct Site {
    objects: sync::Mutex<objects::Objects>,
    odd: odd::OddContents,
    changes: watch::Sender<u64>,
    engines: sync::Mutex<collections::BTreeMap<String, Running>>,
    log: sync::Arc<engine::Log>,
    orders: sync::Mutex<Vec<wire::ScalingOrder>>,
    reports: sync::Mutex<collections::BTreeMap<u64, wire::UsageReport>>,
    /// Windows that were reported again with other counts.
    contradictions: sync::Mutex<collections::BTreeSet<u64>>,
    faults: sync::Mutex<Faults>,
    late: sync::Mutex<Vec<LateWrite>>,
    /// Lists and watches by kind, also those that failed.
    reads: sync::Mutex<collections::BTreeMap<String, u64>>,
    born: sync::atomic::AtomicU64,
    crashes: sync::mpsc::Sender<String>,
}

struct Running {
    handle: handle::Handle,
    entry: servers::Entry,
    notices: sync::Arc<engine::Notices>,
}

/// Starts a site with its engines.
///
/// # Errors
///
/// Fails if an address can't be bound.
pub fn start(config: Config) -> io::Result<handle::Handle> {
    let server = server::Server::bind(config.listen, 1)?;
    let (crashes, crashed) = sync::mpsc::channel();
    let site = sync::Arc::new(Site {
        objects: sync::Mutex::default(),
        odd: odd::OddContents::default(),
        changes: watch::Sender::new(0),
        engines: sync::Mutex::default(),
        log: sync::Arc::default(),
        orders: sync::Mutex::default(),
        reports: sync::Mutex::default(),
        contradictions: sync::Mutex::default(),
        faults: sync::Mutex::default(),
        late: sync::Mutex::default(),
        reads: sync::Mutex::default(),
        born: sync::atomic::AtomicU64::new(1),
        crashes,
    });
    let replaced = sync::Arc::downgrade(&site);
    std::thread::spawn(move || crashes::replace(&replaced, crashed));
    for service in &config.services {
        for domain in &config.domains {
            for _ in 0..service.count {
                site.add(&service.name, domain, service.slots, false)?;
            }
        }
    }
    server.run(move |request| respond(site.clone(), request))
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

async fn respond(site: sync::Arc<Site>, request: http::Request<body::Incoming>) -> reply::Outcome {
    let request = match request::read(request).await {
        Ok(request) => request,
        Err(response) => return Ok(*response),
    };
    let path = request.uri().path().to_owned();
    if let Some(what) = path.strip_prefix("/standin/") {
        return Ok(site.control(what, &request));
    }
    if path == names::USAGE_REPORTS || path == names::SCALING_ORDERS {
        return Ok(site.duty(&path, &request));
    }
    site.count_read(&path, &request);
    let faults = *lock(&site.faults);
    if faults.mute {
        tokio::time::sleep(MAX_WAIT).await;
        return Err(reply::cut());
    }
    if faults.down {
        return Ok(reply::failed());
    }
    if faults.late && site.delay_status(&path, &request) {
        return Err(reply::cut());
    }
    let mut response = site.object(&path, &request).await;
    let era = lock(&site.objects).era();
    if era > 0 {
        reply::set(&mut response, STORE_ERA, &era.to_string());
    }
    match faults.lose && request.method() != http::Method::GET {
        true => Err(reply::cut()),
        false => Ok(response),
    }
}

impl Site {
    /// Counts a list or a watch of a kind.
    fn count_read(&self, path: &str, request: &request::Request) {
        let kind = path.strip_prefix(names::OBJECTS).unwrap_or("");
        if request.method() == http::Method::GET {
            let kind = kind.trim_start_matches('/').to_owned();
            *lock(&self.reads).entry(kind).or_default() += 1;
        }
    }

    /// Handles a call to the store.
    async fn object(&self, path: &str, request: &request::Request) -> reply::Response {
        let rest = path.strip_prefix(names::OBJECTS).unwrap_or("");
        let mut parts = rest.trim_start_matches('/').splitn(3, '/');
        let (kind, name, part) = (parts.next(), parts.next(), parts.next());
        let Some(kind) = kind.filter(|kind| !kind.is_empty()) else {
            return reply::missing();
        };
        if name.is_none() && request.method() == http::Method::GET {
            let since = request::query(request, names::WATCH);
            return match since.parse() {
                Ok(since) => self.watch(kind, since, request).await,
                Err(_) => self.encode(&lock(&self.objects).list(kind)),
            };
        }
        let outcome = {
            let mut objects = lock(&self.objects);
            objects.call(request.method(), kind, name, part, request.body())
        };
        self.notify_watches();
        match outcome {
            objects::Outcome::Object(object) => reply::json(http::StatusCode::OK, &object),
            objects::Outcome::Conflict(object) => reply::json(http::StatusCode::CONFLICT, &object),
            objects::Outcome::Missing => reply::missing(),
            objects::Outcome::Bad(fault) => reply::bad(fault),
        }
    }

    /// Keeps a status write for later; returns `false` for any other call.
    fn delay_status(&self, path: &str, request: &request::Request) -> bool {
        let rest = path.strip_prefix(names::OBJECTS).unwrap_or("");
        let parts: Vec<_> = rest.trim_start_matches('/').split('/').collect();
        let [kind, name, "status"] = parts[..] else {
            return false;
        };
        lock(&self.late).push(LateWrite {
            kind: kind.to_owned(),
            name: name.to_owned(),
            body: request.body().to_vec(),
        });
        true
    }

    /// Executes the status writes that were kept.
    fn execute_late(&self) {
        for write in std::mem::take(&mut *lock(&self.late)) {
            let (kind, name) = (&write.kind, Some(write.name.as_str()));
            let put = http::Method::PUT;
            lock(&self.objects).call(&put, kind, name, Some("status"), &write.body);
        }
        self.notify_watches();
    }

    async fn watch(&self, kind: &str, since: u64, request: &request::Request) -> reply::Response {
        if !lock(&self.objects).has_history(since) {
            return reply::error(http::StatusCode::GONE, "no history since then");
        }
        if lock(&self.faults).hang && kind == names::CONFIG {
            tokio::time::sleep(MAX_WAIT).await;
        }
        let wait = request::query(request, names::WAIT).parse().unwrap_or(0);
        let wait = time::Duration::from_millis(wait).min(MAX_WAIT);
        let mut changes = self.changes.subscribe();
        let waiting = async {
            loop {
                let seen = lock(&self.objects).since(kind, since);
                if !seen.events.is_empty() || changes.changed().await.is_err() {
                    return seen;
                }
            }
        };
        let seen = tokio::time::timeout(wait, waiting).await;
        let seen = seen.unwrap_or_else(|_| lock(&self.objects).since(kind, since));
        self.encode(&seen)
    }

    fn encode(&self, reply: &impl serde::Serialize) -> reply::Response {
        reply::raw_json(http::StatusCode::OK, self.odd.encode(reply))
    }

    /// Replaces the content of an engine's entry by bytes that need not be JSON.
    fn set_odd(&self, name: &str, content: &[u8]) {
        let value = self.odd.add(content);
        lock(&self.objects).set(names::SERVERS, name, &value);
        self.notify_watches();
    }

    fn notify_watches(&self) {
        let revision = lock(&self.objects).revision();
        self.changes.send_replace(revision);
    }

    /// Handles a call of a duty; one with a lower fencing token than before is refused.
    fn duty(&self, path: &str, request: &request::Request) -> reply::Response {
        let fence = request::header(request, names::FENCING_TOKEN)
            .parse()
            .unwrap_or(0);
        if !lock(&self.objects).accept_fence(fence) {
            return reply::error(http::StatusCode::CONFLICT, "a higher fence was seen");
        }
        match path {
            names::USAGE_REPORTS => match request::json::<wire::UsageReport>(request) {
                Ok(usage) => {
                    self.report(usage);
                    reply::done()
                }
                Err(response) => *response,
            },
            _ => match request::json::<wire::ScalingOrder>(request) {
                Ok(order) => {
                    self.scale(&order);
                    lock(&self.orders).push(order);
                    reply::done()
                }
                Err(response) => *response,
            },
        }
    }

    /// Records an accepted usage report.
    fn report(&self, usage: wire::UsageReport) {
        let mut reports = lock(&self.reports);
        let known = reports.get(&usage.window);
        if known.is_some_and(|known| known.counts != usage.counts) {
            lock(&self.contradictions).insert(usage.window);
        }
        reports.insert(usage.window, usage);
    }

    /// Starts or drains engines until their number is the ordered one.
    fn scale(&self, order: &wire::ScalingOrder) {
        let is_ordered = |running: &Running| {
            let entry = &running.entry;
            entry.service == order.service.as_str()
                && entry.zone == order.zone.as_str()
                && entry.spot == order.spot
                && entry.state == servers::State::Ready
        };
        let present: Vec<_> = {
            let engines = lock(&self.engines);
            let ordered = engines.iter().filter(|(_, running)| is_ordered(running));
            ordered.map(|(name, _)| name.clone()).collect()
        };
        let slots = {
            let engines = lock(&self.engines);
            let of = |r: &&Running| r.entry.service == order.service.as_str();
            engines.values().find(of).map_or(8, |r| r.entry.slots)
        };
        let desired = order.desired.min(MAX_ENGINES);
        for _ in present.len() as u32..desired {
            if self
                .add(&order.service, &order.zone, slots, order.spot)
                .is_err()
            {
                return;
            }
        }
        for name in present.iter().skip(desired as usize) {
            self.drain(name);
        }
    }

    fn add(&self, service: &str, domain: &str, slots: u32, spot: bool) -> io::Result<()> {
        let born = self.born.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let name = format!("{service}-{born}");
        let notices = sync::Arc::<engine::Notices>::default();
        let handle = engine::start(
            name.clone(),
            slots,
            self.log.clone(),
            notices.clone(),
            self.crashes.clone(),
        )?;
        let entry = servers::Entry {
            service: service.to_owned(),
            address: handle.address(),
            zone: domain.to_owned(),
            version: String::from("v1"),
            slots,
            state: servers::State::Ready,
            cold_left_ms: 0.0,
            born,
            spot,
        };
        lock(&self.objects).set(names::SERVERS, &name, &raw(&entry));
        lock(&self.engines).insert(
            name,
            Running {
                handle,
                entry,
                notices,
            },
        );
        self.notify_watches();
        Ok(())
    }

    /// Writes the entries of all engines that run again, as they do within two seconds.
    fn rewrite_entries(&self) {
        let engines = lock(&self.engines);
        let present: Vec<_> = engines
            .iter()
            .map(|(name, running)| (name.clone(), running.entry.clone()))
            .collect();
        drop(engines);
        let mut objects = lock(&self.objects);
        for (name, entry) in present {
            if entry.state == servers::State::Ready {
                objects.set(names::SERVERS, &name, &raw(&entry));
            }
        }
        drop(objects);
        self.notify_watches();
    }

    /// Removes the entries of engines that do not write them again, once they have expired.
    async fn expire_entries(self: sync::Arc<Self>) {
        tokio::time::sleep(ENTRY_EXPIRY).await;
        let listed = lock(&self.objects).names(names::SERVERS);
        for name in listed {
            let engines = lock(&self.engines);
            let engine = engines.get(&name);
            let is_written = engine.is_some_and(|e| e.entry.state == servers::State::Ready);
            drop(engines);
            if !is_written {
                lock(&self.objects).remove(names::SERVERS, &name);
            }
        }
        self.notify_watches();
    }

    /// Removes the entry of an engine that goes on and writes it again after the next return.
    fn lapse(&self, name: &str) -> bool {
        let removed = lock(&self.objects).remove(names::SERVERS, name);
        self.notify_watches();
        removed.is_some()
    }

    /// Drains an engine: its entry says so, and it completes what it is running.
    fn drain(&self, name: &str) -> bool {
        let mut engines = lock(&self.engines);
        let Some(running) = engines.get_mut(name) else {
            return false;
        };
        running.entry.state = servers::State::Draining;
        lock(&self.objects).set(names::SERVERS, name, &raw(&running.entry));
        drop(engines);
        self.notify_watches();
        true
    }

    /// Removes an engine's entry; the engine itself goes on.
    fn remove_entry(&self, name: &str) -> bool {
        let mut engines = lock(&self.engines);
        let Some(running) = engines.get_mut(name) else {
            return false;
        };
        running.entry.state = servers::State::Draining;
        lock(&self.objects).remove(names::SERVERS, name);
        drop(engines);
        self.notify_watches();
        true
    }

    /// Adds an engine like another one.
    fn add_like(&self, name: &str) -> bool {
        let entry = lock(&self.engines).get(name).map(|r| r.entry.clone());
        entry.is_some_and(|like| {
            let added = self.add(&like.service, &like.zone, like.slots, like.spot);
            added.is_ok()
        })
    }

    /// Changes the notices in an engine's responses; its entry does not contain them.
    fn set_notice(&self, name: &str, set: impl Fn(&engine::Notices)) -> bool {
        let engines = lock(&self.engines);
        let engine = engines.get(name);
        engine.map(|running| set(&running.notices)).is_some()
    }

    /// Handles a call that inspects or controls the site.
    fn control(self: &sync::Arc<Self>, what: &str, request: &request::Request) -> reply::Response {
        let name = request::query(request, "name");
        let span = request::query(request, "seconds").parse().unwrap_or(0.0);
        let span = time::Duration::try_from_secs_f64(span).unwrap_or_default();
        let limit = request::query(request, "rate").parse().ok();
        let status = http::StatusCode::OK;
        match what {
            "requests" => reply::json(status, &self.log.runs()),
            "arrivals" => reply::json(status, &self.log.arrivals()),
            "reads" => reply::json(status, &*lock(&self.reads)),
            "orders" => reply::json(status, &*lock(&self.orders)),
            "reports" => reply::json(status, &*lock(&self.reports)),
            "contradictions" => reply::json(status, &*lock(&self.contradictions)),
            "faults" => match request::json(request) {
                Ok(faults) => {
                    *lock(&self.faults) = faults;
                    reply::done()
                }
                Err(response) => *response,
            },
            "kept" => reply::json(status, &lock(&self.late).len()),
            "advance" => {
                let revision = name.parse().unwrap_or(0);
                lock(&self.objects).advance(revision);
                reply::done()
            }
            "copy" => {
                lock(&self.objects).keep_copy();
                reply::done()
            }
            "return" if lock(&self.objects).return_from_copy() => {
                self.rewrite_entries();
                tokio::spawn(self.clone().expire_entries());
                reply::done()
            }
            "late" => {
                self.execute_late();
                reply::done()
            }
            "odd" => {
                self.set_odd(&name, request.body());
                reply::done()
            }
            "drain" if self.drain(&name) => reply::done(),
            "lapse" if self.lapse(&name) => reply::done(),
            "crash" if self.crash(&name) => reply::done(),
            "remove" if self.remove_entry(&name) => reply::done(),
            "add" if self.add_like(&name) => reply::done(),
            "leave" if self.set_notice(&name, engine::Notices::leave) => reply::done(),
            "hold" if self.set_notice(&name, |notices| notices.hold(span)) => reply::done(),
            "limit" if self.set_notice(&name, |notices| notices.limit(limit)) => reply::done(),
            _ => reply::missing(),
        }
    }
}

fn raw(value: &impl serde::Serialize) -> Box<value::RawValue> {
    value::to_raw_value(value).unwrap_or_default()
}
