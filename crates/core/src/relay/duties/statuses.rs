//! Status changes of rollouts that the lease holder writes.
//!
//! At each final status the platform ends the engines of one version. So it is written only while
//! the other one has an engine that runs: an entry alone proves nothing when the store has returned
//! from an older copy, or when this process has just started.

use crate::name;
use crate::relay::rollouts;
use crate::relay::state;
use crate::time;

/// Returns the status changes that are due.
pub(super) fn due(now: time::Time, state: &state::State) -> Vec<rollouts::StatusUpdate> {
    let micros = state.clock.unix_micros(now);
    let updates = state.rollouts.status_updates(&state.settings, micros);
    let due = updates.into_iter().chain(reversals(state));
    due.filter(|update| is_rewrite(state, update) || leaves_engines(now, state, update))
        .collect()
}

/// Returns the status changes for completed versions that fail.
fn reversals(state: &state::State) -> impl Iterator<Item = rollouts::StatusUpdate> {
    state
        .rollouts
        .failing()
        .map(|order| rollouts::StatusUpdate {
            service: order.service.clone(),
            target: order.target.clone(),
            stage: rollouts::Stage::RolledBack,
            deadline_micros: order.deadline_micros.unwrap_or_default(),
            revision: order.revision,
            outcomes: rollouts::Outcomes::default(),
        })
}

/// Returns `true` if the status was in force before, and only the store has lost it.
fn is_rewrite(state: &state::State, update: &rollouts::StatusUpdate) -> bool {
    let known = state.rollouts.order(&update.service);
    known.is_some_and(|order| order.stage == update.stage)
}

/// Returns `true` if an engine runs whose version serves after the status change.
fn leaves_engines(now: time::Time, state: &state::State, update: &rollouts::StatusUpdate) -> bool {
    let serves = |version: &name::Name| match update.stage {
        rollouts::Stage::Ordered | rollouts::Stage::Running => true,
        rollouts::Stage::Completed => *version == update.target,
        rollouts::Stage::RolledBack => *version != update.target,
    };
    let mut engines = state.running_engines(now);
    let is_final = matches!(
        update.stage,
        rollouts::Stage::Completed | rollouts::Stage::RolledBack
    );
    !is_final || engines.any(|e| e.service == update.service && serves(&e.version))
}
