//! Outlier detection for one upstream.

use std::time::Duration;

use crate::time;

/// Failures in a row that eject an upstream.
const MAX_FAILURES: u32 = 3;
/// Length of the first ejection; it doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_secs(2);
/// Length of the longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// How long an upstream that refused a request because it was full gets no other.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);

/// Health of one upstream, judged by the outcomes of its attempts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: time::Time,
    paused_until: time::Time,
}

impl Health {
    /// Records a first token or a complete response.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// Records a failure; several in a row eject the upstream.
    pub fn record_failure(&mut self, now: time::Time) {
        self.failures = self.failures.saturating_add(1);
        if self.failures < MAX_FAILURES || self.ejected_until > now {
            return;
        }
        let length = FIRST_EJECTION
            .saturating_mul(1 << self.ejections.min(8))
            .min(MAX_EJECTION);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = now.after(length);
    }

    /// Pauses the upstream for a moment after it refused a request.
    pub fn record_refusal(&mut self, now: time::Time) {
        self.paused_until = now.after(REFUSAL_PAUSE);
    }

    /// Returns `true` if the last attempt failed.
    pub const fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns `true` if the upstream is ejected.
    pub fn is_ejected(&self, now: time::Time) -> bool {
        self.ejected_until > now
    }

    /// Returns `true` if the upstream is paused after a refusal.
    pub fn is_paused(&self, now: time::Time) -> bool {
        self.paused_until > now
    }

    /// Returns when the current ejection and pause have ended; `None` if there is neither.
    pub fn wake(&self, now: time::Time) -> Option<time::Time> {
        let last = self.ejected_until.max(self.paused_until);
        (last > now).then_some(last)
    }
}
