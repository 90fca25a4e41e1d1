//! Outcomes of a rollout on one route, as all instances together know them.

use std::collections;

use crate::relay::version_stats;

/// Responses of the new version from one mark to the next.
const MARK_STEP: u32 = 4;
/// Marks that are kept; the oldest is dropped.
const MAX_MARKS: usize = 8;

/// Outcomes of both versions on one route.
///
/// A sum hides a version that has become bad after many good responses, so that the newest responses of the
/// new version are counted apart as well: those since each of a few marks.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    pub pair: version_stats::Pair,
    /// Totals of the new version at earlier times, the oldest first.
    marks: collections::VecDeque<version_stats::VersionStats>,
}

impl Tally {
    /// Replaces what one process has reported of the route by its later report.
    pub fn replace(&mut self, earlier: version_stats::Pair, later: version_stats::Pair) {
        self.pair = self.pair - earlier + later;
        self.mark();
    }

    /// Records the present total of the new version if it has responded often enough since the last mark.
    pub fn mark(&mut self) {
        let new = self.pair.new;
        // A process that reports too many routes may leave one out that it has reported before.
        let is_reached = |mark: &version_stats::VersionStats| {
            mark.responses <= new.responses && mark.errors <= new.errors
        };
        self.marks.retain(is_reached);
        let last = self.marks.back().map_or(0, |mark| mark.responses);
        if new.responses < last.saturating_add(MARK_STEP) {
            return;
        }
        if self.marks.len() >= MAX_MARKS {
            self.marks.pop_front();
        }
        self.marks.push_back(new);
    }

    /// Returns the newest responses of the new version: those since each mark.
    pub fn newest(&self) -> impl Iterator<Item = version_stats::VersionStats> {
        self.marks.iter().map(|mark| self.pair.new - *mark)
    }
}
