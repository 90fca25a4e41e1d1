//! Duties that one instance at a time performs: usage reports and orders of engines.
//!
//! Whoever holds the lease performs them. [`Duties::tick`] returns the calls that are due; the
//! shell makes them, checks [`Duties::fence`] right before each, and brings back what became of
//! them.

pub mod orders;
pub mod usage;

use std::time::Duration;

use super::peers;
use super::rollouts;
use super::scaling;
use super::state;
use super::usage_counts;
use crate::lease;
use crate::name;
use crate::store;
use crate::time;

/// Shard of the lease that covers all duties.
const SHARD: u64 = 0;
/// Time between two looks at the moves to new versions.
const MOVES: Duration = Duration::from_millis(400);
/// Time between two looks for instances that are gone for good.
const SWEEPS: Duration = Duration::from_secs(60);

/// Time until a process that has just started hears of the others that it knows to be there; before, it
/// would take itself for the first of those that compete for the lease.
const ALONE: Duration = Duration::from_millis(800);

/// A call that is due.
#[derive(Clone, Debug)]
pub enum Action {
    /// A call to the store for the lease; one at a time.
    Lease(store::Call),
    /// Fix the counts of a window in the store, unless they are fixed already.
    CommitCounts(usage::Counts),
    /// Report the counts of a window.
    ReportCounts(usage::Counts),
    /// Read the counts that other instances know and those that an earlier holder left in the
    /// store.
    RestoreCounts,
    /// Write the copy of the counts.
    SaveCounts(Vec<tallies::Tally>),
    /// Forget the fixed counts of a window.
    DeleteCounts {
        /// Number of the window.
        window: u64,
    },
    /// Write how far a move to a new version is.
    UpdateRollout(rollouts::StatusUpdate),
    /// Remove the objects of instances that are not remembered any more.
    SweepMembers,
    /// Order engines.
    Order(orders::Order),
    /// The lease was taken; a fencing number goes with each call from now on.
    Acquired {
        /// The number.
        fence: u64,
    },
    /// The lease is held no more.
    Lost,
}

/// Duties as one instance sees them.
#[derive(Debug)]
pub struct Duties {
    lease: lease::Lease,
    /// Usage reports.
    pub usage: usage::Usage,
    /// Orders of engines.
    pub orders: orders::Orders,
    planner: scaling::Planner,
    /// From when on it competes for the lease.
    joins: Option<time::Time>,
    /// When the moves to new versions are looked at again.
    moves: time::Time,
    /// When instances that are gone are looked for; not before this one would remember any that
    /// is still there.
    sweep: Option<time::Time>,
}

impl Duties {
    /// Builds the view of an instance; `process` is unique for each of its processes.
    pub fn new(terms: lease::Terms, owner: name::Name, process: u64) -> Self {
        Self {
            lease: lease::Lease::with_terms(terms, SHARD, owner, process),
            usage: usage::Usage::default(),
            orders: orders::Orders::default(),
            planner: scaling::Planner::default(),
            joins: None,
            moves: time::Time::default(),
            sweep: None,
        }
    }

    /// Returns the fencing number for a call that is made now, or `None` if none may be made.
    pub fn fencing_token(&self, now: time::Time) -> Option<u64> {
        self.lease.fence(now, true)
    }

    /// Gives the lease back.
    pub fn release_lease(&mut self) {
        self.lease.leave();
    }

    /// Returns what is due.
    pub fn tick(&mut self, now: time::Time, state: &state::State) -> Vec<Action> {
        let joins = *self.joins.get_or_insert(now.after(ALONE));
        let is_settled = joins <= now || state.peers.unreported() == 0;
        let turn = state.candidate_rank(now).filter(|_| is_settled);
        let outputs = self.lease.tick(now, turn);
        let mut work = self.translate(outputs);
        // The demand is followed without the lease too, so that a new holder knows it.
        let wanted = self.planner.plan(now, state);
        if self.fencing_token(now).is_none() {
            return work;
        }
        work.extend(self.usage.tick(now, state));
        if now >= self.moves {
            self.moves = now.after(MOVES);
            let verdicts = state
                .rollouts
                .status_updates(&state.settings, state.clock.micros(now));
            work.extend(verdicts.into_iter().map(Action::UpdateRollout));
        }
        let sweep = self.sweep.get_or_insert(now.after(peers::FORGET_AFTER));
        if now >= *sweep {
            *sweep = now.after(SWEEPS);
            work.push(Action::SweepMembers);
        }
        let orders = self.orders.tick(now, wanted);
        work.extend(orders.into_iter().map(Action::Order));
        work
    }

    /// Takes the reply to the last call for the lease.
    pub fn handle_reply(&mut self, now: time::Time, reply: &store::Reply) -> Vec<Action> {
        let outputs = self.lease.reply(now, reply);
        self.translate(outputs)
    }

    fn translate(&mut self, outputs: Vec<lease::Output>) -> Vec<Action> {
        let translate = |output| match output {
            lease::Output::Call(call) => Action::Lease(call),
            lease::Output::Acquired { fence } => Action::Acquired { fence },
            lease::Output::Lost => Action::Lost,
        };
        let work: Vec<_> = outputs.into_iter().map(translate).collect();
        let changes = |w: &Action| matches!(w, Action::Acquired { .. } | Action::Lost);
        if work.iter().any(changes) {
            self.usage = usage::Usage::default();
            self.orders = orders::Orders::default();
        }
        work
    }
}
