//! Bounds that the deployment's settings state.

use std::time::Duration;

use super::watch_timing;

/// Bounds of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Repeats of a service's requests, as a share of them, over all instances.
    pub retry_ratio: f64,
    /// Span over which repeats are counted.
    pub retry_window: Duration,
    /// Repeats beyond the share in one span, over all instances.
    pub retry_slack: f64,
    /// Time between two heartbeats of an engine; its entry lapses after three without one.
    pub heartbeat: Duration,
    /// How long an engine that vanished with the store may stay away after the store's return.
    pub return_grace: Duration,
    /// How long work may still reach an engine that is known to leave or to be gone.
    pub drain: Duration,
    /// Length of a window of the usage report.
    pub usage_window: Duration,
    /// How long after its end a window's report is due.
    pub usage_deadline: Duration,
    /// Share of requests that a version on trial may get.
    pub canary_share: f64,
    /// Span over which usage caps are judged.
    pub cap_window: Duration,
    /// Usage above a cap that is tolerated in that span, as a share of it.
    pub cap_tolerance: f64,
    /// Term of a lease.
    pub lease_term: Duration,
    /// Whether the whole deployment starts for the first time.
    pub bootstrap: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 50.0,
            heartbeat: Duration::from_millis(1_200),
            return_grace: Duration::from_secs(2),
            drain: Duration::from_secs(2),
            usage_window: Duration::from_secs(5),
            usage_deadline: Duration::from_secs(10),
            canary_share: 0.1,
            cap_window: Duration::from_secs(8),
            cap_tolerance: 0.1,
            lease_term: Duration::from_secs(3),
            bootstrap: true,
        }
    }
}

impl Settings {
    /// Returns the shortest outage, from when it is noticed, in which entries of engines lapse.
    pub fn min_outage(&self) -> Duration {
        /// Heartbeats that must fail: the one before them may have come right before the outage.
        const HEARTBEATS: u32 = 2;
        let unnoticed = watch_timing::WatchTiming::for_drain(self.drain).timeout();
        (self.heartbeat * HEARTBEATS).saturating_sub(unnoticed)
    }
}
