//! The identity of one change.

use std::time as clock;

use guavausher_core::name;
use guavausher_core::time;

/// One change by one operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operation {
    /// Unique id.
    pub id: name::Name,
    /// Who makes it.
    pub author: name::Name,
    /// When it began.
    pub at: time::Time,
}

impl Operation {
    /// Begins a change with a new random id.
    pub fn begin(author: &str) -> Self {
        Self {
            id: name::Name::from(format!("{:032x}", rand::random::<u128>())),
            author: name::Name::from(author),
            at: now(),
        }
    }
}

/// Reads the system clock.
pub fn now() -> time::Time {
    let elapsed = clock::SystemTime::now().duration_since(clock::UNIX_EPOCH);
    let micros = elapsed.map_or(0, |elapsed| elapsed.as_micros());
    time::Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}

/// Formats a time as RFC 3339 in UTC, to the second.
pub fn format_time(time: time::Time) -> String {
    let micros = i64::try_from(time.as_micros()).unwrap_or(i64::MAX);
    let seconds = jiff::Timestamp::from_second(micros / 1_000_000);
    seconds.map_or_else(|_| "-".to_owned(), |stamp| stamp.to_string())
}
