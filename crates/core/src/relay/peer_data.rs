//! Expiry of data that instances report to each other, and the sample of it that one message
//! carries.

use std::time::Duration;

use crate::time;

/// How much later a reported expiry must be than the stored one to replace it. Data that instances
/// report back to each other would otherwise never expire.
const SKEW: Duration = Duration::from_secs(5);

/// Returns the expiry of data that its sender keeps for another `left` milliseconds, or `None` if
/// it is about to expire.
pub fn expiry(now: time::Time, left: u64, longest: Duration) -> Option<time::Time> {
    let left = Duration::from_millis(left).min(longest);
    (left > SKEW).then(|| now.after(left))
}

/// Returns `true` if a reported expiry replaces the stored one.
pub fn replaces(reported: time::Time, stored: time::Time) -> bool {
    reported > stored.after(SKEW)
}

/// Returns at most `most` items, different ones in each round of messages.
pub fn sample<T>(now: time::Time, all: &[T], most: usize) -> impl Iterator<Item = &T> {
    let draw = twox_hash::XxHash64::oneshot(now.as_micros(), &[]) as usize;
    let first = draw.checked_rem(all.len()).unwrap_or(0);
    all.iter().cycle().skip(first).take(all.len().min(most))
}
