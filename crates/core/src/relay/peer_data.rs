//! How long what instances tell each other is kept, and which part of much of it one message tells.

use std::time::Duration;

use crate::time;

/// By how much a time that is told must be later than the own one to replace it. What instances
/// tell each other in turns would else never expire.
const SKEW: Duration = Duration::from_secs(5);

/// Returns until when something is kept that the teller keeps for `left` milliseconds, or `None`
/// if it is about to expire.
pub fn expiry(now: time::Time, left: u64, longest: Duration) -> Option<time::Time> {
    let left = Duration::from_millis(left).min(longest);
    (left > SKEW).then(|| now.after(left))
}

/// Tells whether a time that was told replaces the own one.
pub fn replaces(told: time::Time, own: time::Time) -> bool {
    told > own.after(SKEW)
}

/// Returns some of all, others in each round of messages.
pub fn sample<T>(now: time::Time, all: &[T], most: usize) -> impl Iterator<Item = &T> {
    let draw = twox_hash::XxHash64::oneshot(now.as_micros(), &[]) as usize;
    let first = draw.checked_rem(all.len()).unwrap_or(0);
    all.iter().cycle().skip(first).take(all.len().min(most))
}
