//! The pace at which one instance sends requests to an engine with a rate limit.

use std::time::Duration;

use super::rate_limit;
use crate::time;

/// Time for which an instance that takes over the sending from another one waits, so that the other
/// one has learned of it.
const HANDOVER: Duration = Duration::from_millis(1_500);
/// Time after which an unused part is used for a request, to see whether the limit still applies and
/// how fast the engine is now.
const PROBE_AFTER: Duration = Duration::from_secs(2);

/// This instance's part of an engine's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// The rate that the engine takes from all instances together.
    pub limit: rate_limit::Rate,
    /// Requests per second that this instance may send; 0 if only others send.
    pub rate: f64,
    /// Fraction of the time between two requests after which the first may be sent, so that
    /// instances do not send at the same moments.
    pub phase: f64,
    /// Whether responses of the engine contain the limit, so that only they show its end.
    pub is_stated: bool,
}

/// Pace of the requests to one engine. Requests are spaced evenly and unused time is not made up
/// for, so that the parts of all instances add up to the limit in any second.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    part: Part,
    /// From when this instance sends, once others have noticed.
    begin: time::Time,
    sent_at: Option<time::Time>,
}

impl Pace {
    /// Builds the pace of an engine that becomes limited. `is_settled` is `false` if other instances
    /// may still send to it: this one has not heard from all of them and may be taking over from
    /// one, or they may not know of the limit yet.
    pub fn new(now: time::Time, part: Part, is_settled: bool) -> Self {
        let begin = match is_settled {
            true => now,
            false => now.after(HANDOVER),
        };
        Self {
            part,
            begin: begin.after(part.first_delay()),
            sent_at: None,
        }
    }

    /// Applies a change of the part.
    pub fn update(&mut self, now: time::Time, part: Part) {
        if self.part.rate <= 0.0 && part.rate > 0.0 {
            self.begin = now.after(HANDOVER).after(part.first_delay());
        }
        self.part = part;
    }

    /// Makes the first request wait until `begin` at least, as for an engine that has just become
    /// limited.
    pub fn restart(&mut self, begin: time::Time) {
        self.begin = self.begin.max(begin.after(self.part.first_delay()));
        self.sent_at = None;
    }

    /// Records that a request is sent.
    pub fn record_send(&mut self, now: time::Time) {
        self.sent_at = Some(now);
    }

    /// Returns when the next request may be sent, or `None` if only others send.
    pub fn next_at(&self) -> Option<time::Time> {
        if self.part.rate <= 0.0 {
            return None;
        }
        let next_at = self.sent_at.map(|at| at.after(self.part.spacing()));
        Some(next_at.map_or(self.begin, |at| at.max(self.begin)))
    }

    /// Returns `true` if a request may be sent now.
    pub fn admits(&self, now: time::Time) -> bool {
        self.next_at().is_some_and(|at| at <= now)
    }

    /// Returns when a request that does not fit now is worth a retry, by whichever instance.
    pub fn retry_at(&self, now: time::Time) -> time::Time {
        let spacing = Duration::from_secs_f64(1.0 / self.part.limit.per_second());
        self.next_at().unwrap_or_else(|| now.after(spacing))
    }

    /// Returns `true` if a request should be sent although other engines may be faster.
    pub fn needs_probe(&self, now: time::Time) -> bool {
        let used_at = self.sent_at.unwrap_or(self.begin).max(self.begin);
        self.part.is_stated && self.admits(now) && used_at.after(PROBE_AFTER) <= now
    }
}

impl Part {
    fn spacing(&self) -> Duration {
        /// Longest time between two requests, in seconds.
        const MAX_SECONDS: f64 = 3_600.0;
        Duration::from_secs_f64((1.0 / self.rate).min(MAX_SECONDS))
    }

    fn first_delay(&self) -> Duration {
        match self.rate > 0.0 {
            true => self.spacing().mul_f64(self.phase),
            false => Duration::ZERO,
        }
    }
}
