//! Final responses, and the release of what a request holds.

use std::time::Duration;

use crate::active_request;
use crate::effect;
use crate::ledger;
use crate::reduce::{claims, quarantine};
use crate::refusal;
use crate::state;
use crate::time;
use crate::verdict;

/// Delay after which callers are asked to retry if there is no better estimate.
pub const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Refuses a request and ends it, releasing an unused claim.
///
/// If only capacity is missing, an earlier run of the key is looked up first; its stored response
/// is sent instead of the refusal.
pub fn give_up(state: &mut state::State, now: time::Time, id: u64, refusal: refusal::Refusal) {
    if may_have_stored_response(state, id, refusal) {
        return look_up(state, now, id, refusal);
    }
    let verdict = overall_verdict(state, id, refusal.verdict);
    refuse(state, id, refusal);
    close_claim(state, now, id, verdict);
    end(state, now, id, false);
}

/// Refuses a request unless its caller already has a final response.
pub fn refuse(state: &mut state::State, id: u64, mut refusal: refusal::Refusal) {
    refusal.verdict = overall_verdict(state, id, refusal.verdict);
    if state.active_requests.get(&id).is_some_and(|a| a.detached) {
        return;
    }
    if let Some(active) = state.active_requests.get_mut(&id) {
        active.detached = true;
    }
    state.emit(effect::Effect::Refuse {
        request: id,
        refusal,
    });
}

/// Releases what a request holds and lets the next quarantined request run.
pub fn end(state: &mut state::State, now: time::Time, id: u64, completed: bool) {
    let Some(active) = remove(state, id) else {
        return;
    };
    state.admission.release(now, id, completed);
    let capacity = state.fleet.capacity(now, &active.service.name);
    state
        .admission
        .set_capacity(now, &active.service.name, capacity);
    let effects = match completed {
        true => state.quarantine.finished(now, id),
        false => state.quarantine.released(now, id),
    };
    quarantine::apply(state, now, effects);
}

/// Removes a request from the tables.
pub fn remove(state: &mut state::State, id: u64) -> Option<active_request::ActiveRequest> {
    let active = state.active_requests.remove(&id)?;
    state.timers.remove(&state::Timer {
        at: active.timer,
        request: id,
    });
    if let active_request::Stage::Running(running) = &active.stage {
        state.attempts.remove(&running.attempt);
    }
    if let Some(paused) = &active.paused {
        state.attempts.remove(&paused.attempt);
    }
    state.emit(effect::Effect::Ended { request: id });
    Some(active)
}

/// Returns the verdict on all attempts of a request, given the verdict on the last one.
pub fn overall_verdict(state: &state::State, id: u64, last: verdict::Verdict) -> verdict::Verdict {
    match last {
        verdict::Verdict::NotRun
            if state
                .active_requests
                .get(&id)
                .is_some_and(|a| a.may_have_run) =>
        {
            verdict::Verdict::MayHaveRun
        }
        _ => last,
    }
}

/// Returns `true` if an earlier run of the key may have a stored response to send instead.
fn may_have_stored_response(state: &state::State, id: u64, refusal: refusal::Refusal) -> bool {
    let no_capacity = matches!(
        refusal.code,
        refusal::Code::Limited | refusal::Code::NoUpstream | refusal::Code::Overloaded
    );
    let unclaimed = |a: &active_request::ActiveRequest| {
        a.needs_claim() && !a.detached && !matches!(a.stage, active_request::Stage::LookingUp(_))
    };
    no_capacity && state.active_requests.get(&id).is_some_and(unclaimed)
}

fn look_up(state: &mut state::State, now: time::Time, id: u64, refusal: refusal::Refusal) {
    let Some(active) = state.active_requests.get_mut(&id) else {
        return;
    };
    let Some(key) = active.ledger_key() else {
        return;
    };
    active.stage = active_request::Stage::LookingUp(refusal);
    let claim = active.claim(key, active_request::Lookup::Yes);
    let deadline = active.deadline;
    state.set_timer(id, deadline);
    claims::handle_input(state, now, ledger::Input::Claim(claim));
}

fn close_claim(state: &mut state::State, now: time::Time, id: u64, verdict: verdict::Verdict) {
    let claim = state
        .active_requests
        .get_mut(&id)
        .and_then(|a| a.claim.take());
    let Some(operation) = claim else {
        return;
    };
    let input = match verdict {
        verdict::Verdict::NotRun => ledger::Input::Release { operation },
        _ => ledger::Input::Unclear { operation },
    };
    claims::handle_input(state, now, input);
}
