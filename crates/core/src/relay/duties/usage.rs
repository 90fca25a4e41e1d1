//! Usage reports: the requests of each workspace by usage window.
//!
//! The lease holder commits the counts of an ended window to the store and then reports them, so
//! that a later holder reports the same counts.

use std::collections;
use std::time::Duration;

use super::Action;
use crate::name;
use crate::relay::saved_counts;
use crate::relay::state;
use crate::time;

/// Time after the end of a window within which the last counts arrive from the own group.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// The same for other groups, whose counts arrive through their delegates.
const FAR_SETTLE_TIME: Duration = Duration::from_millis(2_500);
/// Share of the time until a report is due that the holder waits for unreachable instances.
const UNREACHABLE_SHARE: f64 = 0.5;
/// Time before a failed call is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(600);
/// Time between two writes of the copy of the counts.
const SAVE_INTERVAL: Duration = Duration::from_millis(700);
/// Time after which the copy is read again if it has not been read. Nothing is reported before: the
/// copy says which windows may have been reported already.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(3);
/// Windows before the current one that a new holder reports, possibly again.
const LOOK_BACK: u64 = 3;
/// Windows after which committed counts are deleted.
const KEPT_WINDOWS: u64 = 12;

/// Requests of each workspace in a window.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Number of the window.
    pub window: u64,
    /// Requests by workspace.
    pub requests: collections::BTreeMap<name::Name, u32>,
}

/// Progress of the report of a window.
#[derive(Clone, Debug)]
enum Stage {
    /// The counts are being committed.
    Committing,
    /// The counts are committed but not reported yet.
    Committed(Counts),
    /// The report is being sent.
    Reporting(Counts),
    /// The report was accepted.
    Done,
    /// A call failed and is retried at this time; the counts are present once committed.
    Waiting(time::Time, Option<Counts>),
}

/// Usage reports of one lease holder.
#[derive(Debug, Default)]
pub struct Usage {
    windows: collections::BTreeMap<u64, Stage>,
    saved: Saved,
    /// Counts that this process has committed.
    committed: collections::BTreeMap<u64, Counts>,
    /// Windows before this one are reported only with counts that this process has committed.
    lost_windows: u64,
    /// Era of the store.
    era: u64,
}

/// State of the copy of the counts in the store, which restores them after all processes ended at
/// the same time.
#[derive(Debug, Default)]
enum Saved {
    /// The copy has not been read yet.
    #[default]
    Unread,
    /// The copy is being read, and is read again at this time.
    Reading(time::Time),
    /// The next write is due at this time, unless the counts still equal these, written last.
    Idle(time::Time, Option<saved_counts::SavedCounts>),
}

impl Usage {
    /// Returns the state in which this process begins to hold the lease again in an era of the store,
    /// which may have lost the counts of windows before `lost_windows`.
    pub(super) fn restarted(self, era: u64, lost_windows: u64) -> Self {
        Self {
            committed: self.committed,
            lost_windows,
            era,
            ..Self::default()
        }
    }

    /// Returns the actions that are due.
    pub(super) fn tick(&mut self, now: time::Time, state: &state::State) -> Vec<Action> {
        let mut actions = Vec::new();
        actions.extend(self.save(now, state));
        if !matches!(self.saved, Saved::Idle(..)) {
            return actions;
        }
        let current = state.window(now);
        let first = self.windows.keys().next().copied();
        for window in first.unwrap_or(current.saturating_sub(LOOK_BACK))..current {
            if is_settled(now, state, window) {
                actions.extend(self.advance(now, state, window));
            }
        }
        let oldest = current.saturating_sub(KEPT_WINDOWS);
        self.committed.retain(|window, _| *window >= oldest);
        while let Some(entry) = self.windows.first_entry().filter(|e| *e.key() < oldest) {
            let (window, _) = entry.remove_entry();
            actions.push(Action::DeleteCounts { window });
        }
        actions
    }

    /// Reads the copy of the counts, then writes it whenever the counts have changed.
    fn save(&mut self, now: time::Time, state: &state::State) -> Option<Action> {
        match &self.saved {
            Saved::Reading(retry_at) if now < *retry_at => None,
            Saved::Unread | Saved::Reading(_) => {
                self.saved = Saved::Reading(now.after(RESTORE_TIMEOUT));
                Some(Action::RestoreCounts)
            }
            Saved::Idle(next_at, _) if now < *next_at => None,
            Saved::Idle(_, last) => {
                let oldest = state.window(now).saturating_sub(LOOK_BACK);
                let counts = saved_counts::SavedCounts {
                    era: self.era,
                    lost_windows: self.lost_windows,
                    processes: state.usage_counts.all_since(oldest),
                };
                let is_same = last.as_ref() == Some(&counts);
                self.saved = Saved::Idle(now.after(SAVE_INTERVAL), Some(counts.clone()));
                (!is_same).then_some(Action::SaveCounts(counts))
            }
        }
    }

    /// Records that the copy of the counts has been read; the store may have lost the counts of windows
    /// before `lost_windows`.
    pub(super) fn mark_restored(&mut self, now: time::Time, lost_windows: u64) {
        self.lost_windows = lost_windows;
        self.saved = Saved::Idle(now, None);
    }

    fn advance(&mut self, now: time::Time, state: &state::State, window: u64) -> Option<Action> {
        let own = self.committed.get(&window).cloned();
        let counts = || Counts {
            window,
            requests: state.usage_counts.started(window),
        };
        if window < self.lost_windows && own.is_none() {
            // Another instance may have reported it, with counts that nobody knows any more.
            self.windows.insert(window, Stage::Done);
            return None;
        }
        let counts = || own.clone().unwrap_or_else(counts);
        let (stage, action) = match self.windows.get(&window) {
            None => (Stage::Committing, Action::CommitCounts(counts())),
            Some(Stage::Waiting(at, None)) if now >= *at => {
                (Stage::Committing, Action::CommitCounts(counts()))
            }
            Some(Stage::Waiting(at, Some(committed))) if now >= *at => (
                Stage::Reporting(committed.clone()),
                Action::ReportCounts(committed.clone()),
            ),
            Some(Stage::Committed(committed)) => (
                Stage::Reporting(committed.clone()),
                Action::ReportCounts(committed.clone()),
            ),
            Some(_) => return None,
        };
        self.windows.insert(window, stage);
        Some(action)
    }

    /// Handles the outcome of a commit: the committed counts, or `None` if they are unknown.
    pub fn handle_commit(&mut self, now: time::Time, window: u64, counts: Option<Counts>) {
        let stage = match counts {
            Some(counts) => {
                self.committed.insert(window, counts.clone());
                Stage::Committed(counts)
            }
            None => Stage::Waiting(now.after(RETRY_INTERVAL), None),
        };
        self.windows.insert(window, stage);
    }

    /// Handles the outcome of a report.
    pub fn handle_report(&mut self, now: time::Time, window: u64, is_done: bool) {
        let Some(stage) = self.windows.get_mut(&window) else {
            return;
        };
        let Stage::Reporting(counts) = stage else {
            return;
        };
        *stage = match is_done {
            true => Stage::Done,
            false => Stage::Waiting(now.after(RETRY_INTERVAL), Some(counts.clone())),
        };
    }
}

/// Returns `true` if all counts of a window should have arrived.
fn is_settled(now: time::Time, state: &state::State, window: u64) -> bool {
    let length = state.settings.usage_window.as_micros() as u64;
    let end = (window + 1) * length;
    let unreachable_wait = state.settings.usage_deadline.mul_f64(UNREACHABLE_SHARE);
    let settle_time = match state.peers.division().is_divided() {
        true => FAR_SETTLE_TIME,
        false => SETTLE_TIME,
    };
    let wait = match state.peers.has_unreachable(now) {
        true => unreachable_wait.max(settle_time),
        false => settle_time,
    };
    state.clock.unix_micros(now) >= end + wait.as_micros() as u64
}
