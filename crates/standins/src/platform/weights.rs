//! The rate limit of the weight store.

use std::time;

/// A bucket that fills at a rate and holds the bytes of one second.
#[derive(Debug)]
pub struct Bucket {
    rate: u64,
    level: f64,
    filled: time::Instant,
}

impl Bucket {
    /// Builds a full bucket that gains `rate` bytes a second.
    pub fn new(rate: u64) -> Self {
        Self {
            rate: rate.max(1),
            level: rate.max(1) as f64,
            filled: time::Instant::now(),
        }
    }

    /// Takes bytes, or returns after how many whole seconds they are there.
    pub fn take(&mut self, bytes: u64, now: time::Instant) -> Result<(), u64> {
        let rate = self.rate as f64;
        let gained = now.duration_since(self.filled).as_secs_f64() * rate;
        self.level = (self.level + gained).min(rate);
        self.filled = now;
        let lacking = bytes as f64 - self.level;
        if lacking > 0.0 {
            return Err((lacking / rate).ceil() as u64);
        }
        self.level -= bytes as f64;
        Ok(())
    }
}
