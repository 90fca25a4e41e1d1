//! Reports of what workspaces used in each window.

use std::collections;
use std::time::Duration;

use super::Action;
use crate::name;
use crate::relay::state;
use crate::relay::usage_counts;
use crate::time;

/// Time after the end of a window in which the last counts arrive from the own group.
const SETTLE: Duration = Duration::from_millis(1_000);
/// The same from other groups, through their delegates.
const FAR_SETTLE: Duration = Duration::from_millis(2_500);
/// Part of the time until a report is due that is left to instances that cannot be heard.
const QUIET_PART: f64 = 0.5;
/// Time before a failed call is made again.
const RETRY: Duration = Duration::from_millis(600);
/// Time between two copies of the counts in the store.
const SAVE: Duration = Duration::from_millis(700);
/// Longest time that reports wait for the copy.
const RESTORE: Duration = Duration::from_secs(3);
/// Windows before the present one that a new holder reports, or reports again.
const LOOK_BACK: u64 = 3;
/// Windows after which the fixed counts are not needed any more.
const KEPT: u64 = 12;

/// Requests of each workspace in a window.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Number of the window.
    pub window: u64,
    /// Requests by workspace.
    pub requests: collections::BTreeMap<name::Name, u32>,
}

/// How far the report of a window is.
#[derive(Clone, Debug)]
enum Stage {
    /// Its counts are being fixed.
    Fixing,
    /// Its counts are fixed and to be reported.
    Fixed(Counts),
    /// It is being reported.
    Reporting(Counts),
    /// It was reported.
    Done,
    /// A call failed; the next is made then.
    Waiting(time::Time, Option<Counts>),
}

/// Reports of one holder of the lease.
#[derive(Debug, Default)]
pub struct Usage {
    windows: collections::BTreeMap<u64, Stage>,
    saving: Saving,
}

/// The copy of the counts in the store, from which they come back if all processes end at once.
#[derive(Debug, Default)]
enum Saving {
    /// It has not been read yet.
    #[default]
    Unread,
    /// It is being read; without an answer by then the reports go on.
    Reading(time::Time),
    /// It is written at a time, unless nothing has changed since the last one.
    Idle(time::Time, Vec<usage_counts::ProcessCounts>),
}

impl Usage {
    /// Returns the calls that are due.
    pub(super) fn tick(&mut self, now: time::Time, state: &state::State) -> Vec<Action> {
        let mut work = Vec::new();
        work.extend(self.save(now, state));
        if !self.is_restored(now) {
            return work;
        }
        let present = state.window(now);
        let first = self.windows.keys().next().copied();
        for window in first.unwrap_or(present.saturating_sub(LOOK_BACK))..present {
            if is_settled(now, state, window) {
                work.extend(self.advance(now, state, window));
            }
        }
        let old = present.saturating_sub(KEPT);
        while let Some(entry) = self.windows.first_entry().filter(|e| *e.key() < old) {
            let (window, _) = entry.remove_entry();
            work.push(Action::DeleteCounts { window });
        }
        work
    }

    /// Reads the copy of the counts once, and writes it when they have changed.
    fn save(&mut self, now: time::Time, state: &state::State) -> Option<Action> {
        match &self.saving {
            Saving::Unread => {
                self.saving = Saving::Reading(now.after(RESTORE));
                Some(Action::RestoreCounts)
            }
            Saving::Reading(limit) if now < *limit => None,
            Saving::Idle(at, _) if now < *at => None,
            Saving::Reading(_) | Saving::Idle(..) => {
                let present = state.window(now);
                let counts = state
                    .usage_counts
                    .all_since(present.saturating_sub(LOOK_BACK));
                let is_same = matches!(&self.saving, Saving::Idle(_, saved) if *saved == counts);
                self.saving = Saving::Idle(now.after(SAVE), counts.clone());
                (!is_same).then_some(Action::SaveCounts(counts))
            }
        }
    }

    fn is_restored(&self, now: time::Time) -> bool {
        match self.saving {
            Saving::Unread => false,
            Saving::Reading(limit) => now >= limit,
            Saving::Idle(..) => true,
        }
    }

    /// Notes that the copy has been read.
    pub fn mark_restored(&mut self, now: time::Time) {
        self.saving = Saving::Idle(now, Vec::new());
    }

    fn advance(&mut self, now: time::Time, state: &state::State, window: u64) -> Option<Action> {
        let counts = || Counts {
            window,
            requests: state.tallies.begun(window),
        };
        let (stage, work) = match self.windows.get(&window) {
            None => (Stage::Fixing, Action::CommitCounts(counts())),
            Some(Stage::Waiting(at, None)) if now >= *at => {
                (Stage::Fixing, Action::CommitCounts(counts()))
            }
            Some(Stage::Waiting(at, Some(fixed))) if now >= *at => (
                Stage::Reporting(fixed.clone()),
                Action::ReportCounts(fixed.clone()),
            ),
            Some(Stage::Fixed(fixed)) => (
                Stage::Reporting(fixed.clone()),
                Action::ReportCounts(fixed.clone()),
            ),
            Some(_) => return None,
        };
        self.windows.insert(window, stage);
        Some(work)
    }

    /// Takes the outcome of fixing a window: its counts, or `None` if that is not known.
    pub fn handle_commit(&mut self, now: time::Time, window: u64, counts: Option<Counts>) {
        let stage = match counts {
            Some(counts) => Stage::Fixed(counts),
            None => Stage::Waiting(now.after(RETRY), None),
        };
        self.windows.insert(window, stage);
    }

    /// Takes the outcome of a report.
    pub fn handle_report(&mut self, now: time::Time, window: u64, is_done: bool) {
        let Some(stage) = self.windows.get_mut(&window) else {
            return;
        };
        let Stage::Reporting(counts) = stage else {
            return;
        };
        *stage = match is_done {
            true => Stage::Done,
            false => Stage::Waiting(now.after(RETRY), Some(counts.clone())),
        };
    }
}

/// Tells whether all counts of a window should have come.
fn is_settled(now: time::Time, state: &state::State, window: u64) -> bool {
    let length = state.settings.usage_window.as_micros() as u64;
    let end = (window + 1) * length;
    let late = state.settings.usage_deadline.mul_f64(QUIET_PART);
    let settle = match state.peers.division().is_divided() {
        true => FAR_SETTLE,
        false => SETTLE,
    };
    let wait = match state.peers.has_unreachable(now) {
        true => late.max(settle),
        false => settle,
    };
    state.clock.unix_micros(now) >= end + wait.as_micros() as u64
}
