//! Reclaims and refused starts of one offer.

use std::time::Duration;

use crate::time;

/// Time in which an old reclaim counts for a third.
const MEMORY: Duration = Duration::from_secs(3_600);
/// Part of an instance's hourly price that one reclaim an hour and instance wastes.
const RECLAIM_COST: f64 = 0.5;
/// First pause after a refused start.
const PAUSE: Duration = Duration::from_secs(30);
/// Longest pause after refused starts.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// What is remembered of one offer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct History {
    reclaims: f64,
    noted: time::Time,
    refusals: u32,
    usable_at: time::Time,
}

impl History {
    /// Counts reclaimed instances as a part of those that ran.
    pub fn record_reclaim(&mut self, now: time::Time, part: f64) {
        self.reclaims = self.rate(now) + part;
        self.noted = now;
    }

    /// Counts a refused start.
    pub fn record_refusal(&mut self, now: time::Time) {
        let pause = PAUSE
            .saturating_mul(1 << self.refusals.min(6))
            .min(MAX_PAUSE);
        self.refusals = self.refusals.saturating_add(1);
        self.usable_at = now.after(pause);
    }

    /// Counts a start that succeeded.
    pub fn record_start(&mut self) {
        self.refusals = 0;
    }

    /// Returns whether a start is worth a try.
    pub fn is_usable(&self, now: time::Time) -> bool {
        self.usable_at <= now
    }

    /// Returns the factor on the price that reclaims amount to.
    pub fn price_factor(&self, now: time::Time) -> f64 {
        1.0 + RECLAIM_COST * self.rate(now)
    }

    fn rate(&self, now: time::Time) -> f64 {
        let age = self.noted.until(now).as_secs_f64() / MEMORY.as_secs_f64();
        self.reclaims * (-age).exp()
    }
}
