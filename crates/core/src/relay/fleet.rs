//! All engines as known to this instance.

mod choose;
mod delays;
mod evacuate;
mod probe;
mod rates;
mod running;

pub use choose::{Choice, Limits, Unavailability};
pub use rates::LimitInForce;

use std::collections;

use super::contention;
use super::crashed_engine;
use super::digest;
use super::engine;
use super::engine_notices;
use super::engine_state;
use super::evacuations;
use super::load;
use super::load_report;
use super::prefix_cache;
use super::request;
use super::speed;
use crate::name;
use crate::time;

/// All engines of the deployment as known to this instance.
#[derive(Clone, Debug)]
pub struct Fleet {
    domain: name::Name,
    engines: collections::BTreeMap<name::Name, engine_state::EngineState>,
    /// The engines for which each other instance has reported a load.
    loaded: collections::BTreeMap<name::Name, Vec<name::Name>>,
    speeds: collections::BTreeMap<name::Name, speed::Speed>,
    contention: collections::BTreeMap<name::Name, contention::Contention>,
    prefix_cache: prefix_cache::PrefixCache,
    notices: engine_notices::EngineNotices,
    evacuations: evacuations::Evacuations,
    /// Average time in seconds that a complete response of each service occupies its slot, once one
    /// has been seen.
    slot_times: collections::BTreeMap<name::Name, f64>,
    /// Prefill work in microseconds that this instance has given to each service.
    prefill_work: collections::BTreeMap<name::Name, u64>,
}

/// Result of a change of the list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Change {
    /// Engines that are new or have restarted.
    pub started: Vec<name::Name>,
    /// Engines that get no new requests from now on.
    pub left: Vec<name::Name>,
    /// Engines that crashed, without a notice that they are leaving.
    pub crashed: Vec<crashed_engine::CrashedEngine>,
}

/// Status of an engine in the list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// It is listed.
    Listed,
    /// It is leaving.
    Leaving,
    /// It is missing, or another incarnation is listed.
    Gone,
}

impl Fleet {
    /// Returns an empty fleet as seen from a failure domain.
    pub fn new(domain: name::Name) -> Self {
        Self {
            domain,
            engines: collections::BTreeMap::new(),
            loaded: collections::BTreeMap::new(),
            speeds: collections::BTreeMap::new(),
            contention: collections::BTreeMap::new(),
            prefix_cache: prefix_cache::PrefixCache::default(),
            notices: engine_notices::EngineNotices::default(),
            evacuations: evacuations::Evacuations::default(),
            slot_times: collections::BTreeMap::new(),
            prefill_work: collections::BTreeMap::new(),
        }
    }

    /// Applies a complete list of engines; one that is missing is gone at `gone_at`, or at once if
    /// that is `None`.
    pub fn replace(
        &mut self,
        now: time::Time,
        list: Vec<engine::Engine>,
        gone_at: Option<time::Time>,
    ) -> Change {
        let mut change = Change::default();
        let listed: collections::BTreeSet<_> = list.iter().map(|e| e.name.clone()).collect();
        for engine in list {
            self.upsert(now, engine, &mut change);
        }
        let missing = self.engines.iter_mut();
        for (name, state) in missing.filter(|(name, _)| !listed.contains(*name)) {
            if state.gone_at.is_some() {
                continue;
            }
            state.gone_at = Some(gone_at.unwrap_or(now).max(now));
            if gone_at.is_none() {
                change.crashed.extend(state.as_crashed());
            }
            change.left.push(name.clone());
        }
        self.sweep(now);
        change
    }

    fn upsert(&mut self, now: time::Time, mut engine: engine::Engine, change: &mut Change) {
        let name = engine.name.clone();
        let known = self.engines.get_mut(&name);
        if let (0, Some(known)) = (engine.incarnation, &known) {
            engine.incarnation = known.engine.incarnation;
        }
        if engine.leaving {
            self.notices.record_leaving(now, &name, engine.incarnation);
        }
        engine.leaving = self.notices.has_left(now, &name, engine.incarnation);
        let former = known.as_ref().and_then(|t| t.as_crashed());
        let Some(state) = known.filter(|t| t.engine.incarnation >= engine.incarnation) else {
            change.crashed.extend(former);
            let is_leaving = engine.leaving;
            self.engines
                .insert(name.clone(), engine_state::EngineState::new(now, engine));
            if !is_leaving {
                change.started.push(name);
            }
            return;
        };
        if state.engine.incarnation > engine.incarnation {
            return;
        }
        let was_listed = state.is_listed(now);
        let leaving = state.engine.leaving || engine.leaving;
        state.engine = engine;
        state.engine.leaving = leaving;
        state.gone_at = None;
        if was_listed && leaving {
            change.left.push(name);
        }
    }

    /// Records an engine's own notice that it is leaving; returns `true` if it was available
    /// before.
    pub fn record_leaving(
        &mut self,
        now: time::Time,
        engine: &name::Name,
        incarnation: u64,
    ) -> bool {
        self.notices.record_leaving(now, engine, incarnation);
        self.apply_departure(now, engine)
    }

    /// Merges another instance's report that an engine is leaving; returns `true` if it was
    /// available before.
    pub fn merge_departure(&mut self, now: time::Time, departure: &digest::Departure) -> bool {
        self.notices.merge_departure(now, departure) && self.apply_departure(now, &departure.engine)
    }

    /// Makes an engine unavailable if it has left; returns `true` if it was available before.
    fn apply_departure(&mut self, now: time::Time, engine: &name::Name) -> bool {
        let Some(state) = self.engines.get_mut(engine) else {
            return false;
        };
        let was_listed = state.is_listed(now);
        let incarnation = state.engine.incarnation;
        state.engine.leaving |= self.notices.has_left(now, engine, incarnation);
        was_listed && state.engine.leaving
    }

    /// Records the end of an engine's hold; returns `true` if that makes an earlier incarnation
    /// unavailable.
    pub fn record_hold(
        &mut self,
        now: time::Time,
        engine: &name::Name,
        incarnation: u64,
        until: time::Time,
    ) -> bool {
        self.notices.record_hold(now, engine, incarnation, until);
        self.apply_departure(now, engine)
    }

    /// Returns the end of an engine's hold, or `None` if it is not on hold.
    pub fn hold_end(&self, now: time::Time, engine: &engine::Engine) -> Option<time::Time> {
        self.notices.hold_end(now, &engine.name, engine.incarnation)
    }

    /// Returns the leaving engines to report to other instances.
    pub fn departures(&self, now: time::Time) -> Vec<digest::Departure> {
        self.notices.departures(now)
    }

    /// Drops engines that are gone and run no requests of this instance.
    fn sweep(&mut self, now: time::Time) {
        self.engines
            .retain(|_, t| t.own_load.running > 0 || t.gone_at.is_none_or(|at| now < at));
    }

    /// Replaces the loads that another instance reported for the engines.
    pub fn replace_peer_loads(&mut self, from: &name::Name, loads: &[digest::EngineLoad]) {
        let names = loads.iter().map(|load| load.engine.clone()).collect();
        let former = match loads.is_empty() {
            true => self.loaded.remove(from),
            false => self.loaded.insert(from.clone(), names),
        };
        for engine in former.unwrap_or_default() {
            if let Some(state) = self.engines.get_mut(&engine) {
                state.other_loads.remove(from);
            }
        }
        for load in loads {
            if let Some(state) = self.engines.get_mut(&load.engine) {
                state.other_loads.insert(from.clone(), load.load);
            }
        }
    }

    /// Returns this instance's loads on the engines, without those that have none.
    pub fn loads(&self) -> Vec<digest::EngineLoad> {
        let busy = self
            .engines
            .values()
            .filter(|t| t.own_load != load::Load::default());
        busy.map(|t| digest::EngineLoad {
            engine: t.engine.name.clone(),
            load: t.own_load,
        })
        .collect()
    }

    /// Returns the engines that may get new requests.
    pub fn available(&self, now: time::Time) -> impl Iterator<Item = &engine::Engine> {
        let available = self.engines.values().filter(move |t| t.is_available(now));
        available.map(|t| &t.engine)
    }

    /// Returns all known engines, leaving ones included.
    pub fn all(&self) -> impl Iterator<Item = &engine::Engine> {
        self.engines.values().map(|t| &t.engine)
    }

    /// Returns the status of the engine of an attempt.
    pub fn status(&self, now: time::Time, choice: &Choice) -> Status {
        let state = self.engines.get(&choice.engine);
        match state.filter(|t| t.engine.incarnation == choice.incarnation) {
            Some(state) if state.engine.leaving => Status::Leaving,
            Some(state) if state.is_listed(now) => Status::Listed,
            _ => Status::Gone,
        }
    }

    /// Returns `true` if the engine of an attempt is neither paused nor unresponsive.
    pub fn is_healthy(&self, now: time::Time, choice: &Choice) -> bool {
        let state = self.engines.get(&choice.engine);
        state.is_some_and(|state| state.is_healthy(now))
    }

    /// Returns `true` if a service has an engine of a version that may get new requests.
    pub fn has_version(&self, now: time::Time, service: &name::Name, version: &name::Name) -> bool {
        let mut available = self.available(now);
        available.any(|e| e.service == *service && e.version == *version)
    }

    /// Returns the number of engines of a service that may get new requests and have a free slot, as
    /// far as is known.
    pub fn with_free_slot(&self, now: time::Time, service: &name::Name) -> usize {
        let engines = self.of_service(service).filter(|t| t.is_available(now));
        let free = engines.filter(|t| t.load().running < t.engine.slots.max(1));
        free.count()
    }

    /// Records what an engine states of its load.
    pub fn record_load(
        &mut self,
        now: time::Time,
        engine: &name::Name,
        incarnation: u64,
        report: load_report::LoadReport,
    ) {
        let state = self.engines.get_mut(engine);
        if let Some(state) = state.filter(|t| t.engine.incarnation == incarnation) {
            state.record_load(now, report);
        }
    }

    /// Returns `true` if the engines of a service have more than `reserve` free slots on average, as
    /// far as is known.
    ///
    /// What is known of a single engine is older than the requests that others have sent to it since;
    /// the sum over many engines is not wrong by much.
    pub fn has_room(&self, now: time::Time, service: &name::Name, reserve: u32) -> bool {
        let (mut free, mut reserved) = (0, 0);
        for state in self.of_service(service).filter(|t| t.is_usable(now)) {
            free += state.free_slots(now);
            reserved += reserve;
        }
        free > reserved
    }

    /// Records that a request is sent to an engine.
    pub fn begin_attempt(&mut self, now: time::Time, choice: &Choice, request: &request::Request) {
        let prefixes = prefix_cache::prefixes(request);
        self.prefix_cache
            .record(now, &choice.engine, choice.incarnation, &prefixes);
        let prefill = self.prefill_time(&request.service, choice.uncached);
        *self
            .prefill_work
            .entry(request.service.clone())
            .or_default() += prefill.as_micros() as u64;
        if let Some(state) = self.get_mut(choice) {
            if let Some(pace) = &mut state.pace {
                pace.record_send(now);
            }
            state.record_send(now);
            state.own_load.running += 1;
            state.own_load.pending_prefill = state
                .own_load
                .pending_prefill
                .saturating_add(choice.uncached);
        }
    }

    /// Records the end of an attempt; `has_first_event` is whether its first event had arrived.
    pub fn end_attempt(&mut self, choice: &Choice, has_first_event: bool) {
        if let Some(state) = self.get_mut(choice) {
            state.own_load.running = state.own_load.running.saturating_sub(1);
            if !has_first_event {
                state.own_load.pending_prefill = state
                    .own_load
                    .pending_prefill
                    .saturating_sub(choice.uncached);
            }
        }
    }

    /// Returns the outcome that counts for an attempt: an engine on hold has not failed.
    pub fn classify(&self, now: time::Time, choice: &Choice, outcome: Outcome) -> Outcome {
        let hold_end = self
            .notices
            .hold_end(now, &choice.engine, choice.incarnation);
        match outcome {
            Outcome::Bad if hold_end.is_some() => Outcome::Full,
            _ => outcome,
        }
    }

    /// Updates the state of an engine with the outcome of an attempt.
    pub fn record_outcome(&mut self, now: time::Time, choice: &Choice, outcome: Outcome) {
        let Some(state) = self.get_mut(choice) else {
            return;
        };
        match outcome {
            Outcome::Good => state.record_response(now, true),
            Outcome::Bad => state.record_response(now, false),
            Outcome::Broke => state.record_break(now),
            Outcome::Silent => state.record_timeout(now),
            Outcome::Unreachable => state.record_unreachable(now),
            Outcome::Full => state.record_overload(now),
            Outcome::Moved => state.record_moved(now),
        }
    }

    fn get_mut(&mut self, choice: &Choice) -> Option<&mut engine_state::EngineState> {
        let state = self.engines.get_mut(&choice.engine)?;
        (state.engine.incarnation == choice.incarnation).then_some(state)
    }

    fn of_service<'a>(
        &'a self,
        service: &'a name::Name,
    ) -> impl Iterator<Item = &'a engine_state::EngineState> {
        let all = self.engines.values();
        all.filter(move |t| t.engine.service == *service)
    }
}

/// Outcome of an attempt, as far as it shows the health of its engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A complete response.
    Good,
    /// A response that states a failure.
    Bad,
    /// A broken connection, or bytes that are no valid response.
    Broke,
    /// No response in time.
    Silent,
    /// No connection.
    Unreachable,
    /// The engine reported that it is full.
    Full,
    /// Another engine has its address.
    Moved,
}

impl Outcome {
    /// Returns `true` if the engine has responded.
    pub const fn is_response(self) -> bool {
        matches!(self, Self::Good | Self::Bad | Self::Full)
    }

    /// Returns whether the attempt counts as a success of the engine's version; `None` if it does not
    /// count.
    pub const fn is_success(self) -> Option<bool> {
        match self {
            Self::Good => Some(true),
            Self::Bad | Self::Broke | Self::Silent => Some(false),
            Self::Unreachable | Self::Full | Self::Moved => None,
        }
    }

    /// Returns `true` if the engine is avoided for a while.
    pub const fn causes_avoidance(self) -> bool {
        matches!(self, Self::Silent | Self::Unreachable | Self::Moved)
    }
}
