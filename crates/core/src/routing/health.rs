//! Outlier detection for one upstream.

use std::time::Duration;

use crate::time;

/// Failures in a row that eject an upstream.
const MAX_FAILURES: u32 = 3;
/// First ejection.
const EJECTION: Duration = Duration::from_secs(2);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// How long an upstream that refused for lack of room is left alone.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);

/// Whether an upstream is believed able to serve.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    failures: u32,
    ejections: u32,
    until: time::Time,
    paused: time::Time,
}

impl Health {
    /// Counts a whole answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// Counts a failure and ejects after several in a row.
    pub fn record_failure(&mut self, now: time::Time) {
        self.failures = self.failures.saturating_add(1);
        if self.failures < MAX_FAILURES || self.until > now {
            return;
        }
        let length = EJECTION
            .saturating_mul(1 << self.ejections.min(8))
            .min(MAX_EJECTION);
        self.ejections = self.ejections.saturating_add(1);
        self.until = now.after(length);
    }

    /// Leaves an upstream alone for a moment after it refused.
    pub fn record_refusal(&mut self, now: time::Time) {
        self.paused = now.after(REFUSAL_PAUSE);
    }

    /// Returns whether the last attempt failed.
    pub const fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether the upstream is ejected.
    pub fn is_ejected(&self, now: time::Time) -> bool {
        self.until > now
    }

    /// Returns whether the upstream lately refused for lack of room.
    pub fn is_paused(&self, now: time::Time) -> bool {
        self.paused > now
    }

    /// Returns the end of the ejection or pause, if one lasts.
    pub fn wake(&self, now: time::Time) -> Option<time::Time> {
        let last = self.until.max(self.paused);
        (last > now).then_some(last)
    }
}
