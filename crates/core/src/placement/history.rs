//! Recent reclaims and refused starts of one offer.

use std::time::Duration;

use crate::time;

/// Time constant of the decay of old reclaims, after which one counts for about a third.
const RECLAIM_DECAY: Duration = Duration::from_secs(3_600);
/// Share of the hourly price of an instance that one reclaim per instance and hour wastes.
const RECLAIM_PRICE_SHARE: f64 = 0.5;
/// Length of the pause after the first refused start; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_secs(30);
/// Length of the longest pause after refused starts.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Reclaim rate and refusals of one offer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct History {
    reclaim_rate: f64,
    updated_at: time::Time,
    refusals: u32,
    usable_at: time::Time,
}

impl History {
    /// Records reclaimed instances as a share of those that ran.
    pub fn record_reclaim(&mut self, now: time::Time, share: f64) {
        self.reclaim_rate = self.current_rate(now) + share;
        self.updated_at = now;
    }

    /// Records a refused start, which pauses the offer.
    pub fn record_refusal(&mut self, now: time::Time) {
        let pause = FIRST_PAUSE
            .saturating_mul(1 << self.refusals.min(6))
            .min(MAX_PAUSE);
        self.refusals = self.refusals.saturating_add(1);
        self.usable_at = now.after(pause);
    }

    /// Records a successful start.
    pub fn record_start(&mut self) {
        self.refusals = 0;
    }

    /// Returns `true` if the offer is not paused.
    pub fn is_usable(&self, now: time::Time) -> bool {
        self.usable_at <= now
    }

    /// Returns the factor on the price that accounts for reclaims.
    pub fn price_factor(&self, now: time::Time) -> f64 {
        1.0 + RECLAIM_PRICE_SHARE * self.current_rate(now)
    }

    fn current_rate(&self, now: time::Time) -> f64 {
        let age = self.updated_at.until(now).as_secs_f64() / RECLAIM_DECAY.as_secs_f64();
        self.reclaim_rate * (-age).exp()
    }
}
