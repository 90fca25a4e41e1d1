//! Bounds that the deployment's settings state.

use std::time::Duration;

use super::watch_timing;

/// Bounds of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Repeats of a service's requests, as a share of them, over all instances.
    pub repeats: f64,
    /// Span over which repeats are counted.
    pub repeat_window: Duration,
    /// Repeats beyond the share in one span, over all instances.
    pub repeat_slack: f64,
    /// Time between two heartbeats of an engine; its entry lapses after three without one.
    pub heartbeat: Duration,
    /// How long an engine that vanished with the store may stay away after the store's return.
    pub lapse: Duration,
    /// How long work may still reach an engine that is known to leave or to be gone.
    pub drain: Duration,
    /// Length of a window of the usage report.
    pub usage_window: Duration,
    /// How long after its end a window's report is due.
    pub usage_late: Duration,
    /// Share of requests that a version on trial may get.
    pub exposure: f64,
    /// Span over which usage caps are judged.
    pub cap_window: Duration,
    /// Usage above a cap that is tolerated in that span, as a share of it.
    pub cap_excess: f64,
    /// Term of a lease.
    pub term: Duration,
    /// Whether the whole deployment starts for the first time.
    pub first: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            repeats: 0.2,
            repeat_window: Duration::from_secs(10),
            repeat_slack: 50.0,
            heartbeat: Duration::from_millis(1_200),
            lapse: Duration::from_secs(2),
            drain: Duration::from_secs(2),
            usage_window: Duration::from_secs(5),
            usage_late: Duration::from_secs(10),
            exposure: 0.1,
            cap_window: Duration::from_secs(8),
            cap_excess: 0.1,
            term: Duration::from_secs(3),
            first: true,
        }
    }
}

impl Settings {
    /// Returns the shortest outage, from when it is noticed, in which entries of engines lapse.
    pub fn outage(&self) -> Duration {
        /// Heartbeats that must fail: the one before them may have come right before the outage.
        const HEARTBEATS: u32 = 2;
        let unnoticed = watch_timing::WatchTiming::for_drain(self.drain).timeout();
        (self.heartbeat * HEARTBEATS).saturating_sub(unnoticed)
    }
}
