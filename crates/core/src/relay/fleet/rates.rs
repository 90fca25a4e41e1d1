//! Rate limits of engines, stated ones and those of cold engines, and the pace that follows.

use super::Fleet;
use crate::name;
use crate::relay::engine;
use crate::relay::engine_notices;
use crate::relay::pace;
use crate::relay::rate_limit;
use crate::time;

/// A limit that an engine is kept to.
#[derive(Clone, Copy, Debug)]
pub struct LimitInForce {
    /// Requests per second from all instances together.
    pub rate: rate_limit::Rate,
    /// When a response last contained it, or `None` if it comes from another source.
    pub confirmed_at: Option<time::Time>,
}

impl Fleet {
    /// Records whether a response of an engine contained a rate limit; returns `true` if that
    /// changes the limit.
    pub fn record_limit(
        &mut self,
        now: time::Time,
        engine: &name::Name,
        incarnation: u64,
        statement: rate_limit::Statement,
    ) -> bool {
        self.notices
            .record_limit(now, engine, incarnation, statement)
    }

    /// Returns `true` if an engine has stated a rate limit, even if that has ended since.
    pub fn has_stated_limit(&self, engine: &name::Name, incarnation: u64) -> bool {
        self.notices.has_stated_limit(engine, incarnation)
    }

    /// Returns the rate limit that an engine has stated, if one applies.
    pub fn rate_limit(&self, now: time::Time, engine: &engine::Engine) -> Option<rate_limit::Rate> {
        self.notices
            .rate_limit(now, &engine.name, engine.incarnation)
    }

    /// Merges another instance's report of a rate limit; returns `true` if that changes the limit.
    pub fn merge_limit(&mut self, now: time::Time, reported: &rate_limit::Report) -> bool {
        self.notices.merge_limit(now, reported)
    }

    /// Forgets the rate limits that no response has confirmed for long, and returns them.
    pub fn expire_limits(&mut self, now: time::Time) -> Vec<engine_notices::ExpiredLimit> {
        self.notices.expire_limits(now)
    }

    /// Returns the rate limits to report to other instances.
    pub fn limits(&self, now: time::Time) -> Vec<rate_limit::Report> {
        self.notices.limits(now)
    }

    /// Updates the pace of each engine; `cold_rate` returns the rate that an engine takes while it
    /// is cold, and `part` this instance's part of a limit. If `is_settled` is `false`, this
    /// instance has not heard from all others yet. An engine that turns cold while it serves gets
    /// nothing for a while, since instances that do not know of it yet still send without a limit.
    pub fn update_paces(
        &mut self,
        now: time::Time,
        is_settled: bool,
        cold_rate: impl Fn(&engine::Engine) -> Option<rate_limit::Rate>,
        part: impl Fn(&engine::Engine, LimitInForce) -> pace::Part,
    ) {
        for state in self.engines.values_mut() {
            let engine = &state.engine;
            let (name, incarnation) = (&engine.name, engine.incarnation);
            let stated = self.notices.rate_limit(now, name, incarnation);
            let cold = cold_rate(engine).filter(|_| now < engine.warm_at);
            let Some(rate) = stated.into_iter().chain(cold).min() else {
                state.pace = None;
                state.was_unlimited = true;
                continue;
            };
            let limit = LimitInForce {
                rate,
                confirmed_at: stated
                    .and_then(|_| self.notices.limit_confirmed_at(name, incarnation)),
            };
            let turned_cold = state.was_unlimited && stated.is_none();
            state.was_unlimited = false;
            let is_settled = is_settled && !turned_cold;
            let part = part(engine, limit);
            match &mut state.pace {
                Some(pace) => pace.update(now, part),
                None => state.pace = Some(pace::Pace::new(now, part, is_settled)),
            }
        }
    }

    /// Returns the number of engines of a service that may get new requests but whose rate limit
    /// leaves no room for one of this instance now.
    pub fn limited(&self, now: time::Time, service: &name::Name) -> usize {
        let engines = self.of_service(service);
        let limited = engines.filter(|t| t.is_available(now) && !t.admits(now));
        limited.count()
    }

    /// Returns the part of its capacity that an engine's rate limit leaves, between 0 and 1.
    pub fn usable_part(&self, now: time::Time, engine: &engine::Engine) -> f64 {
        let Some(rate) = self.rate_limit(now, engine) else {
            return 1.0;
        };
        let slot_time = self.slot_times.get(&engine.service);
        let slots = f64::from(engine.slots.max(1));
        slot_time.map_or(1.0, |time| (rate.per_second() * time / slots).min(1.0))
    }
}
