//! Duties: background tasks that only the lease holder performs.
//!
//! They are the usage reports, the scaling orders, the status of rollouts and the removal of
//! departed instances. [`Duties::tick`] returns the actions that are due. The driver performs
//! them, checks [`Duties::fencing_token`] right before each call, and passes the results back.

mod statuses;
pub mod usage;

use std::time::Duration;

use super::orders;
use super::peers;
use super::rollouts;
use super::saved_counts;
use super::scaling;
use super::state;
use crate::lease;
use crate::name;
use crate::store;
use crate::time;

/// Shard of the lease that covers all duties.
const SHARD: u64 = 0;
/// Time between two checks of the rollouts.
const ROLLOUT_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two sweeps of the members in the store.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Time until a new process has received messages from the other instances that it knows. Before
/// that it would rank itself first among the lease candidates.
const JOIN_DELAY: Duration = Duration::from_millis(800);

/// An action that the driver performs.
#[derive(Clone, Debug)]
pub enum Action {
    /// Makes a store call for the lease; at most one is in progress.
    Lease(store::Call),
    /// Commits the counts of a window to the store, unless counts are already committed there.
    CommitCounts(usage::Counts),
    /// Reports the committed counts of a window.
    ReportCounts(usage::Counts),
    /// Reads the counts that other instances know and the copy that an earlier lease holder left
    /// in the store.
    RestoreCounts,
    /// Writes the copy of the counts to the store.
    SaveCounts(saved_counts::SavedCounts),
    /// Deletes the committed counts of a window from the store.
    DeleteCounts {
        /// Number of the window.
        window: u64,
    },
    /// Writes the status of a rollout.
    UpdateRollout(rollouts::StatusUpdate),
    /// Removes the store objects of instances that are no longer known.
    SweepMembers,
    /// Orders engines.
    Order(orders::Order),
    /// The lease was acquired; each call carries the fencing token from now on.
    Acquired {
        /// The fencing token.
        fence: u64,
    },
    /// The lease was lost.
    Lost,
}

/// Duties from the view of one instance.
#[derive(Debug)]
pub struct Duties {
    lease: lease::Lease,
    /// Usage reports.
    pub usage: usage::Usage,
    /// Scaling orders.
    pub orders: orders::Orders,
    planner: scaling::Planner,
    /// Windows before this one whose counts the store may have lost after they were reported.
    lost_windows: u64,
    /// Era of the store.
    era: u64,
    /// Time from which this instance competes for the lease.
    joins_at: Option<time::Time>,
    /// Time of the next check of the rollouts.
    next_rollouts: time::Time,
    /// Time of the next member sweep. The first one waits until this instance is sure to know
    /// every instance that still runs.
    next_sweep: Option<time::Time>,
}

impl Duties {
    /// Builds the duties of an instance; `process` is unique for each of its processes.
    pub fn new(terms: lease::Timing, owner: name::Name, process: u64) -> Self {
        Self {
            lease: lease::Lease::with_timing(terms, SHARD, owner, process),
            usage: usage::Usage::default(),
            orders: orders::Orders::default(),
            planner: scaling::Planner::default(),
            lost_windows: 0,
            era: 0,
            joins_at: None,
            next_rollouts: time::Time::default(),
            next_sweep: None,
        }
    }

    /// Returns the fencing token for a call made now, or `None` if no call may be made.
    pub fn fencing_token(&self, now: time::Time) -> Option<u64> {
        self.lease.fencing_token(now, true)
    }

    /// Releases the lease.
    pub fn release_lease(&mut self) {
        self.lease.leave();
    }

    /// Learns the era of the store, before the duties begin or restart in it.
    pub fn begin_era(&mut self, era: u64) {
        self.era = era;
    }

    /// Gives up the lease, since the store has returned from an older copy. Windows that had ended
    /// before may have been reported by others.
    pub fn restart(&mut self, now: time::Time, state: &state::State, era: u64) -> Vec<Action> {
        self.era = era;
        self.lost_windows = state.window(now);
        let outputs = self.lease.restart(now);
        self.translate(outputs)
    }

    /// Takes the lease only after a whole term, since another process may hold one that the store has
    /// lost.
    pub fn wait_for_term(&mut self, now: time::Time) -> Vec<Action> {
        let outputs = self.lease.restart(now);
        self.translate(outputs)
    }

    /// Records the copy of the usage counts that an earlier lease holder left in the store. If it is of
    /// another era, or lost, windows that have ended may have been reported in that era, by processes
    /// of which none is left.
    pub fn handle_restored(
        &mut self,
        now: time::Time,
        state: &state::State,
        saved: Option<&saved_counts::SavedCounts>,
    ) {
        let is_new = self.era == 0 || state.settings.bootstrap;
        let lost_windows = match saved {
            Some(saved) if saved.era == self.era => saved.lost_windows,
            None if is_new => 0,
            _ => state.window(now),
        };
        self.lost_windows = self.lost_windows.max(lost_windows);
        self.usage.mark_restored(now, self.lost_windows);
    }

    /// Returns the actions that are due.
    pub fn tick(&mut self, now: time::Time, state: &state::State) -> Vec<Action> {
        let joins_at = *self.joins_at.get_or_insert(now.after(JOIN_DELAY));
        let is_settled = joins_at <= now || state.peers.unreported() == 0;
        let rank = state.candidate_rank(now).filter(|_| is_settled);
        let outputs = self.lease.tick(now, rank);
        let mut actions = self.translate(outputs);
        // The demand is also tracked without the lease, so that a new holder knows it.
        let wanted = self.planner.plan(now, state);
        if self.fencing_token(now).is_none() {
            return actions;
        }
        actions.extend(self.usage.tick(now, state));
        if now >= self.next_rollouts {
            self.next_rollouts = now.after(ROLLOUT_INTERVAL);
            let updates = statuses::due(now, state);
            actions.extend(updates.into_iter().map(Action::UpdateRollout));
        }
        let next_sweep = self
            .next_sweep
            .get_or_insert(now.after(peers::FORGET_AFTER));
        if now >= *next_sweep {
            *next_sweep = now.after(SWEEP_INTERVAL);
            actions.push(Action::SweepMembers);
        }
        let orders = self.orders.tick(now, wanted);
        actions.extend(orders.into_iter().map(Action::Order));
        actions
    }

    /// Handles the reply to the last store call for the lease.
    pub fn handle_reply(&mut self, now: time::Time, reply: &store::Reply) -> Vec<Action> {
        let outputs = self.lease.handle_reply(now, reply);
        self.translate(outputs)
    }

    fn translate(&mut self, outputs: Vec<lease::Output>) -> Vec<Action> {
        let translate = |output| match output {
            lease::Output::Call(call) => Action::Lease(call),
            lease::Output::Acquired { fencing_token } => Action::Acquired {
                fence: fencing_token,
            },
            lease::Output::Lost => Action::Lost,
        };
        let actions: Vec<_> = outputs.into_iter().map(translate).collect();
        let changes_holder = |a: &Action| matches!(a, Action::Acquired { .. } | Action::Lost);
        if actions.iter().any(changes_holder) {
            self.usage = std::mem::take(&mut self.usage).restarted(self.era, self.lost_windows);
            self.orders = orders::Orders::default();
        }
        actions
    }
}
