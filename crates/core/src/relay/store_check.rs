//! When an instance reads the store itself, since nobody confirms what it knows.
//!
//! It does not wait until the instances that watch the store notice that they are cut off, and others
//! take their place: these times add up to more than a bound allows.

use std::hash::Hasher;
use std::time::Duration;

use crate::name;
use crate::time;

/// Share of a bound after which what is known counts as unconfirmed. A watch that finds no change and
/// the messages that pass this on take less; the rest is left for an instance that the store turns
/// away to fetch the changes from one that has read them.
const LIMIT_SHARE: f64 = 0.4;
/// Share of a bound over which the instances spread their first reads.
const SPREAD_SHARE: f64 = 0.05;
/// Time after the first read until the next one; doubles with each further one.
const FIRST_DELAY: Duration = Duration::from_millis(250);
/// Longest time between two reads.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// The reads of one instance for one kind of object.
#[derive(Clone, Debug)]
pub struct StoreCheck {
    /// Where this instance reads within the spread, from 0 to 1.
    place: f64,
    /// Reads since the last confirmation.
    reads: u32,
    next_at: time::Time,
    /// When there was something to confirm for the first time.
    first_at: Option<time::Time>,
}

impl StoreCheck {
    /// Builds the state of an instance that has not read anything.
    pub fn new(own: &name::Name) -> Self {
        let mut hasher = twox_hash::XxHash64::with_seed(1);
        hasher.write(own.as_bytes());
        Self {
            place: (hasher.finish() % 1_000) as f64 / 1_000.0,
            reads: 0,
            next_at: time::Time::default(),
            first_at: None,
        }
    }

    /// Returns `true` if the store is to be read now. `age` is how long ago it last confirmed what is
    /// known, and changes must be in force within `bound`.
    pub fn is_due(&mut self, now: time::Time, age: Option<Duration>, bound: Duration) -> bool {
        let first_at = *self.first_at.get_or_insert(now);
        let age = age.unwrap_or_else(|| first_at.until(now));
        let limit = bound.mul_f64(LIMIT_SHARE + SPREAD_SHARE * self.place);
        if age < limit {
            self.reads = 0;
            return false;
        }
        if self.reads > 0 && now < self.next_at {
            return false;
        }
        let delay = FIRST_DELAY.saturating_mul(1 << self.reads.min(u32::BITS - 1));
        self.next_at = now.after(delay.min(MAX_DELAY));
        self.reads = self.reads.saturating_add(1);
        true
    }
}
