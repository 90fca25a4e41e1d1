//! Timing of the watches by which a store watcher verifies that the store still responds.

use std::time::Duration;

/// Share of a bound after which a store that does not reply counts as silent. The rest is left for
/// other instances to become store watchers and to relay the change to all. The bound is the time
/// within which a change must be in force, such as that of an engine that leaves.
const TIMEOUT_SHARE: f64 = 0.45;
/// Share of that timeout for which a watch waits; the rest is left for its reply.
const WAIT_SHARE: f64 = 0.4;
/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_millis(2_500);
/// Longest time for the reply of a watch.
const MAX_MARGIN: Duration = Duration::from_millis(900);

/// Timing of one watch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatchTiming {
    /// How long the store may wait for a change before it replies.
    pub wait: Duration,
    /// How much later the reply may arrive.
    pub margin: Duration,
}

impl WatchTiming {
    /// Returns the timing with which a silent store is detected early enough for a change that it
    /// reported to nobody to be in force within `bound`.
    pub fn for_bound(bound: Duration) -> Self {
        let timeout = bound.mul_f64(TIMEOUT_SHARE).min(Self::SLOWEST.timeout());
        let wait = timeout.mul_f64(WAIT_SHARE);
        Self {
            wait,
            margin: timeout - wait,
        }
    }

    /// Timing where no bound depends on it.
    pub const SLOWEST: Self = Self {
        wait: MAX_WAIT,
        margin: MAX_MARGIN,
    };

    /// Timing of a query that does not wait for a change.
    pub const IMMEDIATE: Self = Self {
        wait: Duration::ZERO,
        margin: MAX_MARGIN,
    };

    /// Returns the time after which a store that has not replied counts as silent.
    pub fn timeout(self) -> Duration {
        self.wait + self.margin
    }
}
