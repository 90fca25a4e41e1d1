//! How many slots the requests of each rank occupy, and how many of each engine are reserved.
//!
//! Answers a burst of long requests beside short ones of a higher rank: engines admit by urgency
//! but do not take a slot back, so long requests that fill all slots delay the urgent ones by the
//! time that a slot takes to become free.

use std::collections;
use std::time::Duration;

use super::rank;
use crate::name;
use crate::time;

/// Span of the average number of occupied slots: long enough to cover several responses.
const SPAN: Duration = Duration::from_secs(3);
/// Standard deviations above the average that a reserve covers, with independent arrivals.
const MARGIN_DEVIATIONS: f64 = 2.0;
/// Divisor of an engine's slots; a reserve is at most the quotient, so that no rank starves.
const MAX_RESERVE_DIVISOR: u32 = 2;
/// Part of its goal for which an urgent request may wait for a slot without a reserve.
const MAX_WAIT_SHARE: f64 = 0.1;
/// Weight of a new sample in the average slot time.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Slots that the requests of this instance occupy, by service and rank.
#[derive(Clone, Debug, Default)]
pub struct SlotUsage {
    services: collections::BTreeMap<name::Name, collections::BTreeMap<rank::Rank, Usage>>,
}

/// The engines and instances among which the slots of a service are divided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pool {
    /// Engines that may get new requests.
    pub engines: usize,
    /// Slots of each engine.
    pub slots: u32,
    /// Instances that send to them.
    pub instances: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    occupied: u32,
    mean: f64,
    at: time::Time,
    /// Average time in seconds that a response occupies its slot.
    slot_time: Option<f64>,
    /// Time in which a response to the last request was to begin.
    goal: Duration,
}

impl SlotUsage {
    /// Records that an attempt begins whose response is to begin within `goal`.
    pub fn begin(
        &mut self,
        now: time::Time,
        service: &name::Name,
        rank: rank::Rank,
        goal: Duration,
    ) {
        let usage = self.usage(service, rank);
        usage.advance(now);
        usage.goal = goal;
        usage.occupied += 1;
    }

    /// Records that an attempt ends, with the time for which it occupied its slot if it had one.
    pub fn end(
        &mut self,
        now: time::Time,
        service: &name::Name,
        rank: rank::Rank,
        slot_time: Option<Duration>,
    ) {
        let usage = self.usage(service, rank);
        usage.advance(now);
        usage.occupied = usage.occupied.saturating_sub(1);
        let Some(sample) = slot_time.map(|time| time.as_secs_f64()) else {
            return;
        };
        let mean = usage.slot_time.get_or_insert(sample);
        *mean += SAMPLE_WEIGHT * (sample - *mean);
    }

    /// Returns how many slots of each engine a request leaves to those of higher ranks.
    ///
    /// Each instance takes its own requests for a sample of all: callers are spread by a hash.
    pub fn reserve(
        &self,
        now: time::Time,
        service: &name::Name,
        rank: rank::Rank,
        pool: Pool,
    ) -> u32 {
        let Some(ranks) = self.services.get(service) else {
            return 0;
        };
        let higher = ranks.range(..rank).map(|(_, usage)| usage);
        let own: f64 = higher.clone().map(|usage| usage.mean_at(now)).sum();
        let goal = higher.map(|usage| usage.goal).min().unwrap_or_default();
        let slot_time = ranks.get(&rank).and_then(|usage| usage.slot_time);
        // Where slots become free soon enough, the engine's own order by urgency suffices.
        let wait = slot_time.unwrap_or_default() / f64::from(pool.slots.max(1));
        if own <= 0.0 || wait <= MAX_WAIT_SHARE * goal.as_secs_f64() {
            return 0;
        }
        let expected = own * pool.instances as f64 / pool.engines.max(1) as f64;
        let reserve = expected + MARGIN_DEVIATIONS * expected.sqrt();
        (reserve.round() as u32).min(pool.slots / MAX_RESERVE_DIVISOR)
    }

    /// Returns the average time that a request occupies its slot, once one has ended.
    pub fn slot_time(&self, service: &name::Name, rank: rank::Rank) -> Option<Duration> {
        let usage = self.services.get(service)?.get(&rank)?;
        usage.slot_time.map(Duration::from_secs_f64)
    }

    fn usage(&mut self, service: &name::Name, rank: rank::Rank) -> &mut Usage {
        let ranks = self.services.entry(service.clone()).or_default();
        ranks.entry(rank).or_default()
    }
}

impl Usage {
    fn mean_at(&self, now: time::Time) -> f64 {
        let elapsed = self.at.until(now).as_secs_f64();
        let kept = (-elapsed / SPAN.as_secs_f64()).exp();
        f64::from(self.occupied) + (self.mean - f64::from(self.occupied)) * kept
    }

    fn advance(&mut self, now: time::Time) {
        self.mean = self.mean_at(now);
        self.at = self.at.max(now);
    }
}
