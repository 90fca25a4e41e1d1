//! Number of requests at one upstream: its delayed load report, corrected by own dispatches.

use std::collections;
use std::time::Duration;

use super::load;
use crate::time;

/// Own dispatches and ends that are kept, to correct a delayed report.
const MAX_CHANGES: usize = 64;
/// Age at which a report is ignored.
const MAX_AGE: Duration = Duration::from_secs(10);

/// The requests of this node and of others at one upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestCount {
    own: u32,
    others: u32,
    report: Option<load::Load>,
    changes: collections::VecDeque<Change>,
}

#[derive(Clone, Copy, Debug)]
struct Change {
    at: time::Time,
    delta: i32,
}

impl RequestCount {
    /// Records a dispatch.
    pub fn start(&mut self, now: time::Time) {
        self.own = self.own.saturating_add(1);
        self.record(now, 1);
    }

    /// Records the end of an attempt.
    pub fn end(&mut self, now: time::Time) {
        self.own = self.own.saturating_sub(1);
        self.record(now, -1);
    }

    /// Applies a load report unless a newer one is known.
    pub fn apply_load(&mut self, load: load::Load) {
        if self.report.is_some_and(|known| known.at > load.at) {
            return;
        }
        let total = load.queue.saturating_add(load.running);
        self.others = total.saturating_sub(self.own_at(load.at));
        self.report = Some(load);
    }

    /// Returns the requests of this node.
    pub const fn own(&self) -> u32 {
        self.own
    }

    /// Returns the estimated requests of all nodes.
    pub fn total(&self, now: time::Time) -> u32 {
        let others = match self.report {
            Some(load) if load.at.until(now) < MAX_AGE => self.others,
            _ => 0,
        };
        self.own.saturating_add(others)
    }

    /// Returns the own requests dispatched since the newest report was sampled.
    pub fn unreported(&self) -> u32 {
        let Some(load) = self.report else {
            return 0;
        };
        let recent = self
            .changes
            .iter()
            .rev()
            .take_while(|change| change.at > load.at);
        recent.filter(|change| change.delta > 0).count() as u32
    }

    /// Returns the slots of the newest report.
    pub fn slots(&self) -> Option<u32> {
        self.report.map(|load| load.slots)
    }

    /// Removes the report, for a new incarnation.
    pub fn reset(&mut self) {
        self.report = None;
        self.others = 0;
    }

    fn own_at(&self, at: time::Time) -> u32 {
        let since = self
            .changes
            .iter()
            .rev()
            .take_while(|change| change.at > at);
        let delta: i32 = since.map(|change| change.delta).sum();
        u32::try_from(i64::from(self.own) - i64::from(delta)).unwrap_or(0)
    }

    fn record(&mut self, at: time::Time, delta: i32) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Change { at, delta });
    }
}
