//! Runtime of the process: owns the reducer's state and performs its effects.

use std::cell;
use std::collections;
use std::rc;
use std::time::Duration;

use guavausher_core::name;
use guavausher_core::relay::{effect, event, fleet, manifest, position, rate_limit, reduce, state};
use guavausher_core::time;
use tokio::sync;

use crate::budget;
use crate::clock;
use crate::event_loop;
use crate::limits;
use crate::log_sampling;
use crate::metrics;
use crate::pool;
use crate::protocol;
use crate::read_times;
use crate::record;
use crate::request_reader;
use crate::shutdown;
use crate::skipped_objects;
use crate::step_queue;

/// State shared by all tasks of a process.
#[derive(Debug)]
pub struct Runtime {
    /// State of the reducer.
    pub state: cell::RefCell<state::State>,
    /// Idle connections to engines.
    pub pool: pool::Pool,
    /// Header names.
    pub protocol: protocol::Protocol,
    /// Metrics of the process.
    pub metrics: metrics::Metrics,
    /// Lag of the event loop.
    pub event_loop: event_loop::EventLoop,
    /// Revision up to which each kind of object has been read.
    pub positions: cell::RefCell<Vec<position::Position>>,
    /// Stored objects whose content cannot be used.
    pub skipped: skipped_objects::SkippedObjects,
    /// When the engine entries were first read.
    pub entry_times: read_times::ReadTimes,
    /// Sampling of the log lines of refusals.
    pub(crate) log_sampler: log_sampling::LogSampler,
    /// Sampling of the log lines of requests placed elsewhere because of a rate limit.
    pub(crate) limit_sampler: log_sampling::LogSampler,
    /// Notifies the tasks that the process is stopping.
    pub stopping: sync::watch::Sender<bool>,
    /// Budget for the bytes and connections of callers.
    pub budget: rc::Rc<budget::Budget>,
    queues: cell::RefCell<collections::HashMap<u64, rc::Rc<step_queue::StepQueue>>>,
    /// Callers' connections on which a request is read or answered, or that are being closed.
    busy_connections: cell::Cell<usize>,
    last_id: cell::Cell<u64>,
    engines_loaded: cell::Cell<bool>,
    /// Notifies the tasks that the manifest and the engines are known.
    loaded: sync::watch::Sender<bool>,
    shutdown: cell::Cell<Option<shutdown::Shutdown>>,
    /// Limits on callers' requests.
    limits: sync::watch::Sender<manifest::Limits>,
}

/// Keeps a caller's connection counted as busy.
#[derive(Debug)]
pub(crate) struct BusyGuard<'a> {
    count: &'a cell::Cell<usize>,
}

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

impl Runtime {
    /// Creates the runtime around a state; `kinds` is the number of kinds of objects that are read.
    pub fn new(state: state::State, protocol: protocol::Protocol, kinds: usize) -> rc::Rc<Self> {
        let positions = vec![position::Position::default(); kinds];
        rc::Rc::new(Self {
            state: cell::RefCell::new(state),
            pool: pool::Pool::default(),
            protocol,
            metrics: metrics::Metrics::default(),
            event_loop: event_loop::EventLoop::default(),
            positions: cell::RefCell::new(positions),
            skipped: skipped_objects::SkippedObjects::default(),
            entry_times: read_times::ReadTimes::default(),
            log_sampler: log_sampling::LogSampler::default(),
            limit_sampler: log_sampling::LogSampler::default(),
            stopping: sync::watch::Sender::new(false),
            budget: rc::Rc::default(),
            queues: cell::RefCell::new(collections::HashMap::new()),
            busy_connections: cell::Cell::new(0),
            last_id: cell::Cell::new(0),
            engines_loaded: cell::Cell::new(false),
            loaded: sync::watch::Sender::new(false),
            shutdown: cell::Cell::new(None),
            limits: sync::watch::Sender::new(request_reader::DEFAULT_LIMITS),
        })
    }

    /// Applies an event to the state and performs the resulting effects.
    pub fn apply(&self, event: event::Event) {
        if matches!(event, event::Event::Engines(_)) {
            self.engines_loaded.set(true);
        }
        let kind = event.kind();
        let began = clock::now();
        let effects = reduce::reduce(&mut self.state.borrow_mut(), began, event);
        for effect in effects {
            self.perform(effect);
        }
        let took = began.until(clock::now());
        self.metrics.count_event(kind, took);
        self.event_loop.record_event(kind, took);
        if !*self.loaded.borrow() && self.is_loaded() {
            self.loaded.send_replace(true);
        }
    }

    fn is_loaded(&self) -> bool {
        let state = self.state.borrow();
        let awaits_evacuations = state.fleet.evacuations().is_waiting();
        state.manifest.is_some() && self.engines_loaded.get() && !awaits_evacuations
    }

    /// Waits until the manifest and the engines are known, for at most as long as a process usually
    /// takes to load them at its start.
    pub async fn wait_loaded(&self) {
        /// Longest wait, after which a request is refused.
        const MAX_WAIT: Duration = Duration::from_millis(300);
        let mut loaded = self.loaded.subscribe();
        // After a timeout the admission of the request refuses it.
        let _ = tokio::time::timeout(MAX_WAIT, loaded.wait_for(|is| *is)).await;
    }

    /// Returns the limits on callers' requests that are in force.
    pub fn limits(&self) -> limits::LimitsInForce {
        limits::LimitsInForce::new(self.limits.subscribe())
    }

    fn update_limits(&self) {
        let state = self.state.borrow();
        let Some(limits) = state.manifest.as_ref().map(|manifest| manifest.limits()) else {
            return;
        };
        self.limits
            .send_if_modified(|known| std::mem::replace(known, limits) != limits);
    }

    /// Records that a timer due at `due` fires now, and logs it if the process is behind.
    pub fn record_timer(&self, due: time::Time) {
        let report = self.event_loop.record_timer(clock::now(), due);
        self.metrics
            .timer_lag
            .observe(self.event_loop.lag().as_secs_f64());
        if let Some(report) = report {
            log::warn!(lag_ms = report.lag.as_millis() as u64, busy_ms = report.busy.as_millis() as u64,
                busiest = report.busiest, busiest_ms = report.busiest_time.as_millis() as u64;
                "process is behind");
        }
    }

    /// Returns `true` if the process can serve new callers.
    pub fn is_ready(&self) -> bool {
        self.is_loaded() && !self.is_stopping()
    }

    /// Returns `true` if the process is stopping.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns the times of the planned stop, if one has begun.
    pub const fn shutdown(&self) -> Option<shutdown::Shutdown> {
        self.shutdown.get()
    }

    /// Returns the time from which new requests are refused.
    pub fn closing_time(&self) -> time::Time {
        self.shutdown().map_or(time::Time::MAX, |stop| stop.closes)
    }

    /// Begins a planned stop.
    pub fn stop(&self, shutdown: shutdown::Shutdown) {
        self.shutdown.set(Some(shutdown));
        self.state.borrow_mut().leaving = true;
        self.stopping.send_replace(true);
    }

    /// Returns `true` if the engine of an attempt is still listed and is not leaving.
    pub(crate) fn is_listed(&self, choice: &fleet::Choice) -> bool {
        let state = self.state.borrow();
        state.fleet.status(clock::now(), choice) == fleet::Status::Listed
    }

    /// Returns `true` if the engine of an attempt has stated a rate limit, even if that has ended
    /// since.
    pub(crate) fn has_stated_limit(&self, choice: &fleet::Choice) -> bool {
        let state = self.state.borrow();
        let fleet = &state.fleet;
        fleet.has_stated_limit(&choice.engine, choice.incarnation)
    }

    /// Returns why a request is not sent to another engine, if that was considered.
    pub(crate) fn no_retry(&self, request: u64) -> Option<effect::NoRetry> {
        self.state.borrow().flights.get(&request)?.no_retry
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.queues.borrow().len()
    }

    /// Returns `true` if no caller's connection has anything left to be read, written or closed.
    pub const fn is_quiet(&self) -> bool {
        self.busy_connections() == 0
    }

    /// Returns the number of callers' connections with something left to be read, written or closed.
    pub const fn busy_connections(&self) -> usize {
        self.busy_connections.get()
    }

    /// Counts a caller's connection as busy until the guard is dropped.
    pub(crate) fn occupy(&self) -> BusyGuard<'_> {
        let count = &self.busy_connections;
        count.set(count.get() + 1);
        BusyGuard { count }
    }

    /// Registers a request; returns its new id and the queue of its steps.
    pub(crate) fn register(&self) -> (u64, rc::Rc<step_queue::StepQueue>) {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let queue = rc::Rc::new(step_queue::StepQueue::default());
        self.queues.borrow_mut().insert(id, queue.clone());
        (id, queue)
    }

    /// Removes a request that has ended.
    pub(crate) fn deregister(&self, id: u64) {
        self.queues.borrow_mut().remove(&id);
    }

    fn perform(&self, effect: effect::Effect) {
        match effect {
            effect::Effect::Send { request, dispatch } => {
                self.push_step(request, step_queue::Step::Send(dispatch));
            }
            effect::Effect::Cancel { request, attempt } => {
                self.push_step(request, step_queue::Step::Cancel(attempt));
            }
            effect::Effect::ForwardFailure { request } => {
                self.push_step(request, step_queue::Step::ForwardFailure)
            }
            effect::Effect::Refuse {
                request,
                refusal,
                context,
            } => self.push_step(request, step_queue::Step::Refuse(refusal, context)),
            effect::Effect::EngineAvoided { engine, outcome } => {
                log::info!(engine:% = engine, sign:? = outcome; "engine avoided");
            }
            effect::Effect::EngineCrashed {
                engine,
                crash,
                blamed,
            } => record::engine_crashed(&engine, crash, &blamed),
            effect::Effect::SuspectChanged { change, peer } => {
                record::suspect_changed(&change, peer.as_ref());
            }
            effect::Effect::CompletedVersion {
                service,
                version,
                is_failing: true,
            } => log::error!(service:% = service, version:% = version;
                "completed version fails; order another version that has engines"),
            effect::Effect::CompletedVersion {
                service, version, ..
            } => log::info!(service:% = service, version:% = version;
                "completed version no longer fails"),
            effect::Effect::SuspectProbed {
                subject,
                request,
                engine,
            } => {
                self.metrics.count_probe(subject.kind());
                log::info!(suspect:% = subject, request = request, engine:% = engine;
                    "probe of what is blocked sent");
            }
            effect::Effect::EngineStarted(engine) => log::info!(engine:% = engine; "engine in use"),
            effect::Effect::EngineLeft {
                engine,
                source,
                age,
            } => self.remove_engine(&engine, source, age),
            effect::Effect::EngineHeld { engine, until } => {
                let hold = clock::now().until(until).as_millis() as u64;
                self.metrics.count_notice("hold", effect::Source::Answer);
                log::info!(engine:% = engine, hold_ms = hold; "engine is on hold");
            }
            effect::Effect::EngineLimited {
                engine,
                incarnation,
                rate,
                source,
                age,
            } => self.log_rate_limit(&engine, incarnation, rate, source, age),
            effect::Effect::EvacuationChanged(change) => record::evacuation_changed(&change),
            effect::Effect::ManifestApplied { version } => {
                self.metrics.manifest.set(version as i64);
                log::info!(version = version; "manifest in force");
                self.update_limits();
            }
            effect::Effect::PeerLost(peer) => log::info!(peer:% = peer; "peer lost"),
        }
    }

    fn remove_engine(&self, engine: &name::Name, source: effect::Source, age: Duration) {
        self.pool.close(engine);
        self.metrics.count_notice("leaving", source);
        log::info!(engine:% = engine, source:? = source, age_ms = age.as_millis() as u64;
            "engine leaving or gone");
    }

    fn log_rate_limit(
        &self,
        engine: &name::Name,
        incarnation: u64,
        rate: Option<rate_limit::Rate>,
        source: effect::Source,
        age: Duration,
    ) {
        let age = age.as_millis() as u64;
        match rate {
            Some(rate) => {
                self.metrics.count_notice("limit", source);
                log::info!(engine:% = engine, incarnation = incarnation,
                    per_second = rate.per_second(), source:? = source, age_ms = age;
                    "engine limits its requests");
            }
            None => log::info!(engine:% = engine, incarnation = incarnation, source:? = source,
                age_ms = age; "engine no longer limits its requests"),
        }
    }

    fn push_step(&self, request: u64, step: step_queue::Step) {
        match self.queues.borrow().get(&request) {
            Some(queue) => queue.push(step),
            None => log::warn!(request = request; "step for a request that has ended"),
        }
    }
}
