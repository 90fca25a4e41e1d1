//! Bounds from the settings of the deployment.

use std::time::Duration;

use super::cold_bound;
use super::watch_timing;

/// Bounds of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Retries allowed as a share of a service's requests, over all instances.
    pub retry_ratio: f64,
    /// Window over which retries are counted.
    pub retry_window: Duration,
    /// Retries allowed beyond the share in one window, over all instances.
    pub retry_slack: f64,
    /// Time between two heartbeats of an engine; its entry expires after three missed ones.
    pub heartbeat: Duration,
    /// Time after the end of a store outage for which engines with expired entries are kept.
    pub return_grace: Duration,
    /// Time for which requests may still reach an engine that is leaving or gone.
    pub drain: Duration,
    /// Time within which a manifest is in force at all instances.
    pub manifest_apply: Duration,
    /// Time within which requests to an evacuated failure domain stop, if the deployment has
    /// evacuations.
    pub evacuation: Option<Duration>,
    /// Bound on the requests to a cold engine, if the deployment states one.
    pub cold_bound: Option<cold_bound::ColdBound>,
    /// Length of a window of the usage report.
    pub usage_window: Duration,
    /// Time after the end of a usage window until its report is due.
    pub usage_deadline: Duration,
    /// Share of the requests that a new version may get during a rollout.
    pub canary_share: f64,
    /// Requests that it may get beyond that share.
    pub canary_slack: f64,
    /// Window over which usage is compared with the caps.
    pub cap_window: Duration,
    /// Tolerated usage above a cap in that window, as a share of the cap.
    pub cap_tolerance: f64,
    /// Units above a cap that are tolerated in that window beside the share.
    pub cap_slack: f64,
    /// Term of a lease.
    pub lease_term: Duration,
    /// Whether the deployment starts for the first time.
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
            manifest_apply: Duration::from_secs(2),
            evacuation: None,
            cold_bound: None,
            usage_window: Duration::from_secs(5),
            usage_deadline: Duration::from_secs(10),
            canary_share: 0.1,
            canary_slack: 50.0,
            cap_window: Duration::from_secs(8),
            cap_tolerance: 0.1,
            cap_slack: 0.0,
            lease_term: Duration::from_secs(3),
            bootstrap: true,
        }
    }
}

impl Settings {
    /// Returns the time within which the entry of an engine that has ended is gone, while the store
    /// responds.
    pub fn entry_expiry(&self) -> Duration {
        /// Heartbeats until an entry expires, and one for the time that the change takes.
        const HEARTBEATS: u32 = 4;
        self.heartbeat * HEARTBEATS
    }

    /// Returns the shortest store outage, counted from its detection, in which entries of engines
    /// expire.
    pub fn min_outage(&self) -> Duration {
        /// Heartbeats that must fail. The last one to succeed may have come right before the
        /// outage.
        const MISSED_HEARTBEATS: u32 = 2;
        let detection = watch_timing::WatchTiming::for_bound(self.drain).timeout();
        (self.heartbeat * MISSED_HEARTBEATS).saturating_sub(detection)
    }
}
