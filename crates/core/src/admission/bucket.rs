//! Token bucket for a rate limit.

use crate::time;

/// Microseconds in a second.
const SECOND_MICROS: u64 = 1_000_000;

/// A rate limiter that stores only the time at which the bucket is full again.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Bucket {
    full_at: time::Time,
}

impl Bucket {
    /// Takes the token of one request, at `rate` requests a second with a burst of one second.
    ///
    /// # Errors
    /// Returns the time at which the next request fits.
    pub fn take(&mut self, now: time::Time, rate: u32) -> Result<(), time::Time> {
        let interval = SECOND_MICROS / u64::from(rate.max(1));
        let start = self.full_at.max(now).as_micros();
        let full_at = start + interval;
        let limit = now.as_micros() + SECOND_MICROS.max(interval);
        if full_at > limit {
            return Err(time::Time::from_micros(now.as_micros() + (full_at - limit)));
        }
        self.full_at = time::Time::from_micros(full_at);
        Ok(())
    }
}
