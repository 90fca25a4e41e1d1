//! Connects the reducer with the ledger: claims of idempotency keys and their results.

use crate::active_request;
use crate::effect;
use crate::ledger;
use crate::reduce::{close, dispatch};
use crate::refusal;
use crate::state;
use crate::time;
use crate::verdict;

/// Passes an input to the ledger and applies its outputs.
pub fn handle_input(state: &mut state::State, now: time::Time, input: ledger::Input) {
    for output in state.ledger.reduce(now, input) {
        apply(state, now, output);
    }
}

fn apply(state: &mut state::State, now: time::Time, output: ledger::Output) {
    match output {
        ledger::Output::Granted { request, operation } => granted(state, now, request, operation),
        ledger::Output::AlreadyRun { request, response } => answered(state, now, request, response),
        ledger::Output::Denied { request, reason } => {
            let refusal = refusal_for(state, request, reason);
            refuse(state, now, request, refusal);
        }
        ledger::Output::Recorded { operation } => recorded(state, now, operation),
        ledger::Output::Call { partition, call } => {
            state.call(state::Purpose::Ledger(partition), call);
        }
    }
}

fn granted(state: &mut state::State, now: time::Time, id: u64, operation: ledger::Operation) {
    let Some(active) = state.active_requests.get_mut(&id) else {
        return handle_input(state, now, ledger::Input::Release { operation });
    };
    active.claim = Some(operation);
    dispatch::advance(state, now, id);
}

fn answered(state: &mut state::State, now: time::Time, id: u64, kept: ledger::StoredResponse) {
    if state.active_requests.get(&id).is_some_and(|a| !a.detached) {
        state.emit(effect::Effect::Replay { request: id, kept });
    }
    close::end(state, now, id, true);
}

fn refuse(state: &mut state::State, now: time::Time, id: u64, refusal: refusal::Refusal) {
    if state.active_requests.contains_key(&id) {
        close::refuse(state, id, refusal);
        close::end(state, now, id, false);
    }
}

/// Relays a response that was held until it was recorded.
fn recorded(state: &mut state::State, now: time::Time, operation: ledger::Operation) {
    let is_held = |a: &active_request::ActiveRequest| {
        matches!(a.stage, active_request::Stage::Recording) && a.claim == Some(operation)
    };
    let id = state
        .active_requests
        .iter()
        .find(|(_, a)| is_held(a))
        .map(|(id, _)| *id);
    if let Some(id) = id {
        relay_response(state, now, id);
    }
}

/// Relays the upstream's complete response and ends the request.
pub fn relay_response(state: &mut state::State, now: time::Time, id: u64) {
    if state.active_requests.get(&id).is_some_and(|a| !a.detached) {
        state.emit(effect::Effect::Relay { request: id });
    }
    close::end(state, now, id, true);
}

/// Returns the refusal for a denied claim; a lookup that found no earlier run yields the refusal
/// that it was made for.
fn refusal_for(state: &state::State, id: u64, reason: ledger::Reason) -> refusal::Refusal {
    let stage = state.active_requests.get(&id).map(|a| &a.stage);
    match (stage, reason) {
        (
            Some(active_request::Stage::LookingUp(refusal)),
            ledger::Reason::NotFound
            | ledger::Reason::Overloaded { .. }
            | ledger::Reason::Unavailable { .. },
        ) => *refusal,
        _ => refusal_for_reason(reason),
    }
}

fn refusal_for_reason(reason: ledger::Reason) -> refusal::Refusal {
    let may_have_run = |code, retry_at| refusal::Refusal {
        code,
        verdict: verdict::Verdict::MayHaveRun,
        retry_at,
    };
    match reason {
        ledger::Reason::Busy { retry_at } => {
            may_have_run(refusal::Code::KeyRunning, Some(retry_at))
        }
        ledger::Reason::Unclear => may_have_run(refusal::Code::KeyUnclear, None),
        ledger::Reason::NotFound => refusal::Refusal::not_run(refusal::Code::NoUpstream, None),
        ledger::Reason::Mismatch => refusal::Refusal::not_run(refusal::Code::KeyMismatch, None),
        ledger::Reason::Unavailable { retry_at } | ledger::Reason::Overloaded { retry_at } => {
            refusal::Refusal::not_run(refusal::Code::Unrecorded, Some(retry_at))
        }
    }
}
