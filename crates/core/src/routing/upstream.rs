//! The state of one upstream as known to this node.

use std::time::Duration;

use super::cache_index;
use super::estimate;
use super::health;
use super::load;
use super::request_count;
use crate::declaration;
use crate::time;

/// The incarnation of an upstream that has not reported yet; its first report is not treated as a
/// restart.
const UNKNOWN_INCARNATION: u64 = 0;

/// How long a new upstream takes to reach its full share of requests.
const SLOW_START: Duration = Duration::from_secs(10);
/// Assumed requests of other nodes for each own one that no report includes yet.
const CONCURRENT_DISPATCHES: f64 = 4.0;
/// Requests with a cached prompt that may wait at an upstream, as a divisor of its slots.
const CACHED_QUEUE_DIVISOR: u32 = 8;
/// Assumed standard deviation of the total at an upstream without slots, in requests.
const BASE_DEVIATION: f64 = 0.5;
/// Its increase for each slot, in requests.
const SLOT_DEVIATION: f64 = 0.1;
/// Scale at which the softplus function resembles the mean excess of a normal distribution.
const SHARPNESS: f64 = 1.7;

/// One upstream with its load, cache, health and estimated speeds.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub declared: declaration::Upstream,
    pub incarnation: u64,
    pub leaving: Option<u64>,
    pub requests: request_count::RequestCount,
    pub cache: cache_index::CacheIndex,
    pub health: health::Health,
    pub estimate: estimate::Estimate,
    pub pending_prefill: u32,
    pub network_delay: Duration,
    pub price: u64,
    pub price_doublings: f64,
    warm_at: time::Time,
}

impl Upstream {
    /// Builds an upstream that has its full share of requests from `warm_at` on.
    ///
    /// One that replaces a former one of its name keeps its incarnation and leaving mark.
    pub fn new(
        declared: declaration::Upstream,
        warm_at: time::Time,
        former: Option<&Self>,
    ) -> Self {
        Self {
            declared,
            incarnation: former.map_or(UNKNOWN_INCARNATION, |former| former.incarnation),
            leaving: former.and_then(|former| former.leaving),
            requests: request_count::RequestCount::default(),
            cache: cache_index::CacheIndex::default(),
            health: health::Health::default(),
            estimate: estimate::Estimate::default(),
            pending_prefill: 0,
            network_delay: Duration::ZERO,
            price: 0,
            price_doublings: 0.0,
            warm_at,
        }
    }

    /// Sets how many times the price is the double of the cheapest one.
    pub fn compare_price(&mut self, cheapest: u64) {
        let known = self.price > 0 && cheapest > 0;
        self.price_doublings = if known {
            (self.price as f64 / cheapest as f64).log2()
        } else {
            0.0
        };
    }

    /// Returns when an upstream that starts now has its full share of requests.
    pub fn warm_after(now: time::Time) -> time::Time {
        now.after(SLOW_START)
    }

    /// Returns `true` if the current incarnation may get new requests.
    pub fn is_accepting(&self) -> bool {
        self.leaving
            .is_none_or(|leaving| self.incarnation > leaving)
    }

    /// Marks an incarnation as leaving; returns `true` if it was not marked before.
    pub fn mark_leaving(&mut self, incarnation: u64) -> bool {
        let is_new = self.leaving.is_none_or(|leaving| incarnation > leaving);
        self.leaving = self.leaving.max(Some(incarnation));
        is_new
    }

    /// Adopts a higher incarnation, with a slow start.
    pub fn adopt_incarnation(&mut self, now: time::Time, incarnation: u64) {
        if incarnation <= self.incarnation {
            return;
        }
        let restarted = self.incarnation != UNKNOWN_INCARNATION;
        self.incarnation = incarnation;
        if !restarted {
            return;
        }
        self.requests.reset();
        self.cache.clear();
        self.health = health::Health::default();
        self.estimate = estimate::Estimate::default();
        self.warm_at = Self::warm_after(now);
    }

    /// Applies a load report; one of a higher incarnation implies that the upstream restarted.
    pub fn apply_load(&mut self, now: time::Time, load: load::Load) {
        self.adopt_incarnation(now, load.incarnation);
        if load.incarnation == self.incarnation {
            self.requests.apply_load(load);
        }
    }

    /// Returns the slots that are usable now; they are fewer during the slow start.
    pub fn slots(&self, now: time::Time) -> u32 {
        self.warmed_slots(now, self.requests.slots().unwrap_or(self.declared.slots))
    }

    /// Returns `true` if a request with `cached` of its `prompt` tokens cached fits.
    ///
    /// A request with most of its prompt cached may wait for a slot, which avoids to recompute the
    /// prompt at another upstream.
    pub fn has_capacity(&self, now: time::Time, prompt: u32, cached: u32) -> bool {
        let is_cached = u64::from(cached) * 4 >= u64::from(prompt.max(1)) * 3;
        let slots = self.slots(now);
        let limit = if is_cached {
            slots + slots.div_ceil(CACHED_QUEUE_DIVISOR)
        } else {
            slots
        };
        self.requests.total(now) < limit
    }

    /// Returns how many requests wait for a slot ahead of a new one.
    pub fn queued_ahead(&self, now: time::Time) -> u32 {
        let after = self.requests.total(now).saturating_add(1);
        after.saturating_sub(self.slots(now))
    }

    /// Returns the mean of [`Upstream::queued_ahead`] under an uncertain total: reports are
    /// delayed, and other nodes dispatch in the meantime.
    fn expected_ahead(&self, now: time::Time) -> f64 {
        let slots = f64::from(self.slots(now));
        let deviation = BASE_DEVIATION + slots * SLOT_DEVIATION;
        let excess = (f64::from(self.requests.total(now))
            + f64::from(self.requests.unreported()) * CONCURRENT_DISPATCHES
            + 1.0
            - slots)
            / deviation;
        deviation * (1.0 + (excess * SHARPNESS).exp()).ln() / SHARPNESS
    }

    /// Returns the expected time to first token of a request with `uncached` tokens to prefill.
    pub fn expected_delay(&self, now: time::Time, uncached: u32) -> Duration {
        let wait = self
            .estimate
            .queue_wait(self.expected_ahead(now), self.slots(now));
        let prefill = self
            .estimate
            .first_token_delay(self.pending_prefill.saturating_add(uncached));
        wait + prefill + self.round_trip() + self.estimate.bias()
    }

    /// Records a first token that arrived after `delay` where `expected` was estimated.
    pub fn record_first_token(
        &mut self,
        delay: Duration,
        expected: Duration,
        prefill: u32,
        immediate: bool,
    ) {
        let round_trip = self.round_trip();
        let (delay, expected) = (
            delay.saturating_sub(round_trip),
            expected.saturating_sub(round_trip),
        );
        self.estimate
            .record_first_token(delay, expected, prefill, immediate);
    }

    fn warmed_slots(&self, now: time::Time, slots: u32) -> u32 {
        let left = now.until(self.warm_at).as_secs_f64() / SLOW_START.as_secs_f64();
        let share = 1.0 - 0.75 * left.clamp(0.0, 1.0);
        ((f64::from(slots.max(1)) * share) as u32).max(1)
    }

    const fn round_trip(&self) -> Duration {
        self.network_delay.saturating_mul(2)
    }
}
