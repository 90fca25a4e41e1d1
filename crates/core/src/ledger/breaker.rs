//! Circuit breaker for the ledger's calls to the store.

use std::time::Duration;

use crate::time;

/// First delay after a failed call; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Longest delay after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// How long a trial call blocks further calls.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Circuit breaker over all partitions of an entry; it allows single trial calls while the store
/// fails.
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
    /// Creates a closed breaker, which allows every call; the seed varies the jitter of the trials
    /// between entries.
    pub const fn new(seed: u64) -> Self {
        Self {
            seed,
            failures: 0,
            retry_at: None,
        }
    }

    /// Returns `true` if a call may be made now; while the store fails, each allowed call is a
    /// trial.
    pub fn allows(&mut self, now: time::Time) -> bool {
        match self.retry_at {
            None => true,
            Some(retry_at) if now < retry_at => false,
            Some(_) => {
                self.retry_at = Some(now.after(TRIAL_TIMEOUT));
                true
            }
        }
    }

    /// Records a failed call and sets the time of the next trial.
    pub fn record_failure(&mut self, now: time::Time) {
        let delay = MIN_BACKOFF
            .saturating_mul(1 << self.failures.min(8))
            .min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1);
        let random = twox_hash::XxHash64::oneshot(self.seed, &now.as_micros().to_le_bytes());
        let jitter = delay.mul_f64((random % 1_000) as f64 / 2_000.0);
        self.retry_at = Some(now.after(delay / 2 + jitter));
    }

    /// Records a call that got a reply and closes the breaker.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.retry_at = None;
    }

    /// Returns when the next trial may be made; `None` if the breaker is closed.
    pub const fn retry_at(&self) -> Option<time::Time> {
        self.retry_at
    }
}
