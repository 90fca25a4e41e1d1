//! All engines as this instance sees them.

mod choose;

pub use choose::{Choice, Limits, Unavailability};

use std::collections;
use std::time::Duration;

use super::digest;
use super::engine;
use super::engine_notices;
use super::engine_state;
use super::prefix_cache;
use super::request;
use crate::name;
use crate::routing::estimate;
use crate::time;

/// Share of a new sample in a moving average.
const GAIN: f64 = 0.1;

/// All engines of the deployment as this instance sees them.
#[derive(Clone, Debug)]
pub struct Fleet {
    domain: name::Name,
    engines: collections::BTreeMap<name::Name, engine_state::EngineState>,
    speeds: collections::BTreeMap<name::Name, estimate::Estimate>,
    prefix_cache: prefix_cache::PrefixCache,
    notices: engine_notices::EngineNotices,
    /// Time that a whole answer of each service holds its slot, once one has been seen.
    slot_times: collections::BTreeMap<name::Name, f64>,
    /// Microseconds of reading given to each service by this instance.
    prefill_work: collections::BTreeMap<name::Name, u64>,
}

/// What came of a change of the list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Change {
    /// Engines that are new, or have started anew.
    pub started: Vec<name::Name>,
    /// Engines that take no new work from now on.
    pub left: Vec<name::Name>,
    /// Engines that have ended without a word.
    pub crashed: Vec<CrashedEngine>,
}

/// An engine that has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashedEngine {
    /// Its name.
    pub name: name::Name,
    /// Its start.
    pub incarnation: u64,
}

/// How an engine stands in the list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// It is there.
    Listed,
    /// It has said that it leaves.
    Leaving,
    /// It is missing, or another incarnation is there.
    Gone,
}

impl Fleet {
    /// Builds an empty fleet as seen from a failure domain.
    pub fn new(domain: name::Name) -> Self {
        Self {
            domain,
            engines: collections::BTreeMap::new(),
            speeds: collections::BTreeMap::new(),
            prefix_cache: prefix_cache::PrefixCache::default(),
            notices: engine_notices::EngineNotices::default(),
            slot_times: collections::BTreeMap::new(),
            prefill_work: collections::BTreeMap::new(),
        }
    }

    /// Takes over a whole list of engines; one that is missing is gone at `vanish`.
    pub fn replace(
        &mut self,
        now: time::Time,
        list: Vec<engine::Engine>,
        vanish: Option<time::Time>,
    ) -> Change {
        let mut change = Change::default();
        let listed: collections::BTreeSet<_> = list.iter().map(|e| e.name.clone()).collect();
        for engine in list {
            self.upsert(now, engine, &mut change);
        }
        let missing = self.engines.iter_mut();
        for (name, tracked) in missing.filter(|(name, _)| !listed.contains(*name)) {
            if tracked.gone_at.is_some() {
                continue;
            }
            tracked.gone_at = Some(vanish.unwrap_or(now).max(now));
            if vanish.is_none() {
                change.crashed.extend(tracked.as_crashed());
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
        let Some(tracked) = known.filter(|t| t.engine.incarnation >= engine.incarnation) else {
            change.crashed.extend(former);
            let is_leaving = engine.leaving;
            self.engines
                .insert(name.clone(), engine_state::EngineState::new(engine));
            if !is_leaving {
                change.started.push(name);
            }
            return;
        };
        if tracked.engine.incarnation > engine.incarnation {
            return;
        }
        let was_available = tracked.is_available(now);
        let leaving = tracked.engine.leaving || engine.leaving;
        tracked.engine = engine;
        tracked.engine.leaving = leaving;
        tracked.gone_at = None;
        if was_available && leaving {
            change.left.push(name);
        }
    }

    /// Notes that an engine leaves, as it said itself; tells whether that is news.
    pub fn record_leaving(
        &mut self,
        now: time::Time,
        engine: &name::Name,
        incarnation: u64,
    ) -> bool {
        self.notices.record_leaving(now, engine, incarnation);
        self.apply_departure(now, engine)
    }

    /// Takes over from another instance that an engine leaves; tells whether that is news.
    pub fn merge_departure(&mut self, now: time::Time, told: &digest::Departure) -> bool {
        self.notices.merge_departure(now, told);
        self.apply_departure(now, &told.engine)
    }

    /// Gives no new work to an engine if it has left; tells whether it got any before.
    fn apply_departure(&mut self, now: time::Time, engine: &name::Name) -> bool {
        let Some(tracked) = self.engines.get_mut(engine) else {
            return false;
        };
        let was_available = tracked.is_available(now);
        let incarnation = tracked.engine.incarnation;
        tracked.engine.leaving |= self.notices.has_left(now, engine, incarnation);
        was_available && tracked.engine.leaving
    }

    /// Notes until when an engine wants nothing from this instance; tells whether that closes an
    /// incarnation before it.
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

    /// Returns until when an engine wants nothing from this instance, if it does not.
    pub fn hold_end(&self, now: time::Time, engine: &engine::Engine) -> Option<time::Time> {
        self.notices.hold_end(now, &engine.name, engine.incarnation)
    }

    /// Returns the engines of which the others are to hear that they leave.
    pub fn departures(&self, now: time::Time) -> Vec<digest::Departure> {
        self.notices.departures(now)
    }

    /// Drops engines that are gone and have no work of this instance.
    fn sweep(&mut self, now: time::Time) {
        self.engines
            .retain(|_, t| t.own_load.running > 0 || t.gone_at.is_none_or(|at| now < at));
    }

    /// Takes over another instance's work on the engines.
    pub fn replace_peer_loads(&mut self, from: &name::Name, loads: &[digest::EngineLoad]) {
        for tracked in self.engines.values_mut() {
            tracked.other_loads.remove(from);
        }
        for load in loads {
            if let Some(tracked) = self.engines.get_mut(&load.engine) {
                tracked.other_loads.insert(from.clone(), load.load);
            }
        }
    }

    /// Returns this instance's work on the engines, those without any left out.
    pub fn loads(&self) -> Vec<digest::EngineLoad> {
        let busy = self
            .engines
            .values()
            .filter(|t| t.own_load != engine_state::Load::default());
        busy.map(|t| digest::EngineLoad {
            engine: t.engine.name.clone(),
            load: t.own_load,
        })
        .collect()
    }

    /// Returns the engines that may get new work.
    pub fn available(&self, now: time::Time) -> impl Iterator<Item = &engine::Engine> {
        let available = self.engines.values().filter(move |t| t.is_available(now));
        available.map(|t| &t.engine)
    }

    /// Returns all known engines, leaving ones included.
    pub fn all(&self) -> impl Iterator<Item = &engine::Engine> {
        self.engines.values().map(|t| &t.engine)
    }

    /// Returns how the engine of an attempt stands.
    pub fn status(&self, now: time::Time, choice: &Choice) -> Status {
        let tracked = self.engines.get(&choice.engine);
        match tracked.filter(|t| t.engine.incarnation == choice.incarnation) {
            Some(tracked) if tracked.engine.leaving => Status::Leaving,
            Some(tracked) if tracked.is_available(now) => Status::Listed,
            _ => Status::Gone,
        }
    }

    /// Tells whether a service has an engine of a version that may get new work.
    pub fn has_version(&self, now: time::Time, service: &name::Name, version: &name::Name) -> bool {
        let mut available = self.available(now);
        available.any(|e| e.service == *service && e.version == *version)
    }

    /// Returns the microseconds of reading that this instance has given to each service.
    pub fn prefill_work(&self) -> impl Iterator<Item = (&name::Name, u64)> {
        self.prefill_work
            .iter()
            .map(|(service, micros)| (service, *micros))
    }

    /// Returns the time to read this many tokens at an engine of a service.
    pub fn prefill_time(&self, service: &name::Name, tokens: u32) -> Duration {
        let speed = self.speeds.get(service).copied().unwrap_or_default();
        speed.prefill_time(tokens)
    }

    /// Counts a request that is sent.
    pub fn begin_attempt(&mut self, now: time::Time, choice: &Choice, request: &request::Request) {
        let prefixes = prefix_cache::prefixes(request);
        self.prefix_cache
            .record(now, &choice.engine, choice.incarnation, &prefixes);
        let prefill = self.prefill_time(&request.service, choice.uncached);
        *self
            .prefill_work
            .entry(request.service.clone())
            .or_default() += prefill.as_micros() as u64;
        if let Some(tracked) = self.get_mut(choice) {
            tracked.own_load.running += 1;
            tracked.own_load.pending_prefill = tracked
                .own_load
                .pending_prefill
                .saturating_add(choice.uncached);
        }
    }

    /// Learns from a first event; the prompt has been read.
    pub fn record_first_event(&mut self, service: &name::Name, choice: &Choice, took: Duration) {
        let speed = self.speeds.entry(service.clone()).or_default();
        speed.first_token(took, choice.expected, choice.pending_prefill, true);
        if let Some(tracked) = self.get_mut(choice) {
            tracked.own_load.pending_prefill = tracked
                .own_load
                .pending_prefill
                .saturating_sub(choice.uncached);
            tracked.update_delay_ratio(took, choice.unadjusted);
        }
    }

    /// Takes a request back; `began` tells whether its first event had come.
    pub fn end_attempt(&mut self, choice: &Choice, has_first_event: bool) {
        if let Some(tracked) = self.get_mut(choice) {
            tracked.own_load.running = tracked.own_load.running.saturating_sub(1);
            if !has_first_event {
                tracked.own_load.pending_prefill = tracked
                    .own_load
                    .pending_prefill
                    .saturating_sub(choice.uncached);
            }
        }
    }

    /// Learns how long a whole answer held its slot.
    pub fn record_slot_time(&mut self, service: &name::Name, held: Duration) {
        let sample = held.as_secs_f64();
        let mean = self.slot_times.entry(service.clone()).or_insert(sample);
        *mean += GAIN * (sample - *mean);
    }

    /// Returns the wait for a slot behind this many requests; none as long as nothing is known.
    fn slot_wait(&self, service: &name::Name, ahead: u32, slots: u32) -> Duration {
        let held = self.slot_times.get(service).copied().unwrap_or(0.0);
        Duration::from_secs_f64(held * f64::from(ahead) / f64::from(slots.max(1)))
    }

    /// Returns what an attempt showed of the engine: one that wants nothing for a while has not failed.
    pub fn classify(&self, now: time::Time, choice: &Choice, outcome: Outcome) -> Outcome {
        let held = self
            .notices
            .hold_end(now, &choice.engine, choice.incarnation);
        match outcome {
            Outcome::Bad if held.is_some() => Outcome::Full,
            _ => outcome,
        }
    }

    /// Applies what an attempt showed of the engine.
    pub fn record_outcome(&mut self, now: time::Time, choice: &Choice, outcome: Outcome) {
        let Some(tracked) = self.get_mut(choice) else {
            return;
        };
        match outcome {
            Outcome::Good => tracked.record_response(now, true),
            Outcome::Bad => tracked.record_response(now, false),
            Outcome::Broke => tracked.record_break(now),
            Outcome::Silent => tracked.record_timeout(now),
            Outcome::Unreachable => tracked.record_unreachable(now),
            Outcome::Full => tracked.record_overload(now),
            Outcome::Moved => tracked.record_moved(now),
        }
    }

    fn get_mut(&mut self, choice: &Choice) -> Option<&mut engine_state::EngineState> {
        let tracked = self.engines.get_mut(&choice.engine)?;
        (tracked.engine.incarnation == choice.incarnation).then_some(tracked)
    }

    fn of_service<'a>(
        &'a self,
        service: &'a name::Name,
    ) -> impl Iterator<Item = &'a engine_state::EngineState> {
        let all = self.engines.values();
        all.filter(move |t| t.engine.service == *service)
    }
}

/// What an attempt shows of its engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A whole answer.
    Good,
    /// An answer that states a failure.
    Bad,
    /// A channel that broke, or bytes that are no answer.
    Broke,
    /// No answer in good time.
    Silent,
    /// No channel.
    Unreachable,
    /// The engine said that it is full.
    Full,
    /// Another engine has its address.
    Moved,
}

impl Outcome {
    /// Tells whether the engine has answered.
    pub const fn is_response(self) -> bool {
        matches!(self, Self::Good | Self::Bad | Self::Full)
    }

    /// Tells whether the engine is avoided for a while.
    pub const fn causes_avoidance(self) -> bool {
        matches!(self, Self::Silent | Self::Unreachable | Self::Moved)
    }
}
