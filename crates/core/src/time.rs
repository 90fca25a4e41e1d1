//! Points in time, supplied to the reducers by their callers.

use std::time;

/// A point in time in microseconds since the Unix epoch.
///
/// The caller of the reducer supplies it from a clock that never steps back.
///
/// ```
/// use std::time::Duration;
/// use guavausher_core::time;
/// let now = time::Time::from_micros(5);
/// assert_eq!(now.after(Duration::from_micros(2)).until(now), Duration::ZERO);
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
pub struct Time(u64);

impl Time {
    /// The latest representable time.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the time at `micros` microseconds since the Unix epoch.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the time at `millis` milliseconds since the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds since the Unix epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time `delay` after `self`, at most [`Time::MAX`].
    pub fn after(self, delay: time::Duration) -> Self {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Returns the time `span` before `self`, at least the epoch.
    pub fn before(self, span: time::Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }

    /// Returns the duration from `self` until `later`, or zero if `later` is before `self`.
    pub fn until(self, later: Self) -> time::Duration {
        time::Duration::from_micros(later.0.saturating_sub(self.0))
    }
}
