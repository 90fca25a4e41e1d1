//! How often an instance that tells others of changes makes sure that it still hears of them.

use std::time::Duration;

/// Part of the time within which work must stop at an engine that leaves, after which a store that
/// does not answer is taken as timeout. The rest is for others to take over and to tell everyone.
const TIMEOUT_SHARE: f64 = 0.45;
/// Part of that for which a watch waits; the rest is for its answer.
const WAIT_SHARE: f64 = 0.4;
/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_millis(2_500);
/// Longest time for the answer of a watch.
const MAX_MARGIN: Duration = Duration::from_millis(900);

/// The times of a watch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatchTiming {
    /// How long the store may wait for a change.
    pub wait: Duration,
    /// How much later its answer may be there.
    pub margin: Duration,
}

impl WatchTiming {
    /// Returns the pace at which a silent store is noticed early enough for work to stop within `drain`
    /// of a change that it told nobody.
    pub fn for_drain(drain: Duration) -> Self {
        let timeout = drain.mul_f64(TIMEOUT_SHARE).min(Self::SLOWEST.timeout());
        let wait = timeout.mul_f64(WAIT_SHARE);
        Self {
            wait,
            margin: timeout - wait,
        }
    }

    /// The pace where nothing depends on it.
    pub const SLOWEST: Self = Self {
        wait: MAX_WAIT,
        margin: MAX_MARGIN,
    };

    /// The pace of a question that does not wait.
    pub const IMMEDIATE: Self = Self {
        wait: Duration::ZERO,
        margin: MAX_MARGIN,
    };

    /// Returns the time after which a store that has not answered is timeout.
    pub fn timeout(self) -> Duration {
        self.wait + self.margin
    }
}
