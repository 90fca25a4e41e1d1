//! Rate limits that engines state in their responses.
//!
//! A limit applies to all instances together, for as long as the engine's responses contain it.
//! Responses arrive in any order, so a statement carries the time span in which it was made.

use crate::name;
use crate::time;

/// Thousandths of a request per second in one request per second.
const THOUSANDTHS: f64 = 1_000.0;
/// Lowest rate, in requests per second. The end of a lower limit would hardly ever be noticed.
const MIN_RATE: f64 = 0.1;
/// Highest rate, in requests per second.
const MAX_RATE: f64 = 1e6;

/// Requests per second, in thousandths.
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct Rate(u32);

impl Rate {
    /// Converts requests per second, or returns `None` if the number is negative or not finite.
    /// Very low and very high rates are raised or lowered to the supported ones.
    pub fn from_per_second(rate: f64) -> Option<Self> {
        if !rate.is_finite() || rate < 0.0 {
            return None;
        }
        let rate = rate.clamp(MIN_RATE, MAX_RATE);
        Some(Self((rate * THOUSANDTHS).round() as u32))
    }

    /// Returns the rate in requests per second, which is never zero.
    pub fn per_second(self) -> f64 {
        (f64::from(self.0) / THOUSANDTHS).max(MIN_RATE)
    }
}

/// What an engine stated of its rate limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Statement {
    /// The limit, or `None` if the response contained none.
    pub rate: Option<Rate>,
    /// When the statement was made at the earliest: when the request was sent.
    pub earliest: time::Time,
    /// When it was made at the latest: when the response arrived.
    pub latest: time::Time,
}

/// One instance's report of a statement to others.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Report {
    /// The engine.
    pub engine: name::Name,
    /// The incarnation of the engine.
    pub incarnation: u64,
    /// The limit, or `None` if it has ended.
    pub rate: Option<Rate>,
    /// Age of the statement at most, in milliseconds.
    pub oldest_ms: u64,
    /// Age of the statement at least, in milliseconds.
    pub newest_ms: u64,
}

impl Statement {
    /// Merges another statement of the same engine and returns the one that applies: the later one,
    /// or the lower limit if they may have been made in either order.
    pub fn merge(self, other: Self) -> Self {
        if other.earliest >= self.latest {
            return other;
        }
        if self.earliest >= other.latest {
            return self;
        }
        if self.rate == other.rate {
            // A statement that instances report back to each other seems later each time it
            // arrives, but its earliest time does not increase.
            let is_later = other.earliest > self.earliest;
            return if is_later { other } else { self };
        }
        let is_lower = match (self.rate, other.rate) {
            (Some(own), Some(other)) => own < other,
            (own, _) => own.is_some(),
        };
        if is_lower { self } else { other }
    }
}
