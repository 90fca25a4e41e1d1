//! Load reports.

use std::fmt;
use std::time;

/// What an upstream reports about its load.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Load {
    /// The upstream's incarnation.
    pub incarnation: u64,
    /// Requests that wait for a slot.
    pub queue: usize,
    /// Requests that run.
    pub running: usize,
    /// Requests that may run at once.
    pub slots: usize,
    /// The version that is served.
    pub version: String,
    /// When the report was true, in Unix milliseconds.
    pub at_ms: u64,
    /// Whether the upstream takes no new work.
    pub leaving: bool,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "queue={};running={};slots={};incarnation={};at={}",
            self.queue, self.running, self.slots, self.incarnation, self.at_ms
        )
    }
}

/// Returns the time in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let since = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the given incarnation, or the start time if it is 0.
pub(crate) fn incarnation(given: u64) -> u64 {
    if given == 0 { unix_ms() } else { given }
}
