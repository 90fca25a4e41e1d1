//! Protection of the store from a ledger whose calls fail.

use std::time::Duration;

use crate::time;

/// First wait after a failed call; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Longest wait after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// How long one trial call keeps the others waiting.
const TRIAL: Duration = Duration::from_secs(2);

/// Lets one call through now and then while the store fails, over all partitions of an entry.
///
/// ```
/// use guavausher_core::ledger;
/// use guavausher_core::time;
/// let mut breaker = ledger::Breaker::new(1);
/// let now = time::Time::from_millis(1);
/// assert!(breaker.allows(now));
/// breaker.record_failure(now);
/// assert!(!breaker.allows(now));
/// breaker.record_success();
/// assert!(breaker.allows(now));
/// ```
#[derive(Clone, Debug)]
pub struct Breaker {
    seed: u64,
    failures: u32,
    retry_at: Option<time::Time>,
}

impl Breaker {
    /// Returns a breaker that lets everything through; the seed spreads the entries' trials.
    pub const fn new(seed: u64) -> Self {
        Self {
            seed,
            failures: 0,
            retry_at: None,
        }
    }

    /// Tells whether a call may be made now; while the store fails, each yes is a trial.
    pub fn allows(&mut self, now: time::Time) -> bool {
        match self.retry_at {
            None => true,
            Some(retry_at) if now < retry_at => false,
            Some(_) => {
                self.retry_at = Some(now.after(TRIAL));
                true
            }
        }
    }

    /// Takes in a failed call.
    pub fn record_failure(&mut self, now: time::Time) {
        let delay = MIN_BACKOFF
            .saturating_mul(1 << self.failures.min(8))
            .min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1);
        let spread = twox_hash::XxHash64::oneshot(self.seed, &now.as_micros().to_le_bytes());
        let jitter = delay.mul_f64((spread % 1_000) as f64 / 2_000.0);
        self.retry_at = Some(now.after(delay / 2 + jitter));
    }

    /// Takes in a call that the store answered.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.retry_at = None;
    }

    /// Returns when the next trial may be made, if the store fails.
    pub const fn retry_at(&self) -> Option<time::Time> {
        self.retry_at
    }
}
