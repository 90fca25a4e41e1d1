//! The path of an admitted request to an upstream: claim, quarantine, routing and dispatch.

use crate::active_request;
use crate::effect;
use crate::ledger;
use crate::name;
use crate::poison;
use crate::reduce::{claims, close, quarantine, rollouts, wait};
use crate::refusal;
use crate::routing;
use crate::state;
use crate::time;

/// An upstream selected for a request.
#[derive(Debug)]
pub struct Selection {
    /// The query that it answers.
    pub query: routing::Query,
    /// The upstream.
    pub choice: routing::Choice,
}

/// Moves an admitted request to its next stage: claim, quarantine or dispatch.
pub fn advance(state: &mut state::State, now: time::Time, id: u64) {
    let Some(active) = state.active_requests.get(&id) else {
        return state.admission.release(now, id, false);
    };
    if active.needs_claim() {
        return claim(state, now, id);
    }
    let fingerprint = active.request.fingerprint;
    let admission = state.quarantine.admit(now, fingerprint, id);
    match admission.decision {
        poison::Decision::Allowed | poison::Decision::Isolated => dispatch(state, now, id),
        poison::Decision::Wait => wait::await_turn(state, id),
        poison::Decision::Blocked => quarantine::block(state, now, id),
        poison::Decision::Full => quarantine::refuse(state, now, id),
    }
    quarantine::apply(state, now, admission.effects);
}

/// Claims the idempotency key, unless no upstream is available for the request anyway.
fn claim(state: &mut state::State, now: time::Time, id: u64) {
    let Some(active) = state.active_requests.get(&id) else {
        return;
    };
    let Some(key) = active.ledger_key() else {
        return;
    };
    let deadline = active.deadline;
    if now >= deadline {
        let refusal = refusal::Refusal::not_run(refusal::Code::Deadline, Some(now));
        return close::give_up(state, now, id, refusal);
    }
    if let Err(exhausted) = state.fleet.choose(now, &active.query(None)) {
        return wait::wait_or_refuse(state, now, id, exhausted);
    }
    let claim = active.claim(key, active_request::Lookup::No);
    set_stage(state, id, active_request::Stage::Claiming);
    state.set_timer(id, deadline);
    claims::handle_input(state, now, ledger::Input::Claim(claim));
}

/// Selects an upstream and dispatches the request to it.
pub fn dispatch(state: &mut state::State, now: time::Time, id: u64) {
    let Some(active) = state.active_requests.get(&id) else {
        return;
    };
    if now >= active.deadline && !active.started {
        return close::give_up(
            state,
            now,
            id,
            refusal::Refusal::not_run(refusal::Code::Deadline, Some(now)),
        );
    }
    let Some(query) = query(state, now, id) else {
        return;
    };
    match state.fleet.choose(now, &query) {
        Ok(choice) => send(state, now, id, Selection { query, choice }),
        Err(exhausted) => wait::wait_or_refuse(state, now, id, exhausted),
    }
}

/// Selects an upstream for a request, if there is one.
pub fn select(state: &mut state::State, now: time::Time, id: u64) -> Option<Selection> {
    let query = query(state, now, id)?;
    let choice = state.fleet.choose(now, &query).ok()?;
    Some(Selection { query, choice })
}

fn query(state: &mut state::State, now: time::Time, id: u64) -> Option<routing::Query> {
    let version = version(state, now, id);
    let active = state.active_requests.get(&id)?;
    let mut query = active.query(version);
    query.packed = query
        .version
        .as_ref()
        .is_some_and(|version| state.split.is_rolling_out(&query.service, version));
    Some(query)
}

/// Returns the version of a request and replaces one that has been halted since.
///
/// A request that failed on a canary version is retried on the declared version.
fn version(state: &mut state::State, now: time::Time, id: u64) -> Option<name::Name> {
    let active = state.active_requests.get(&id)?;
    let service = active.service.clone();
    let failed = !active.excluded.is_empty();
    let is_canary = |v: &name::Name| state.split.is_rolling_out(&service.name, v);
    if failed && active.version.as_ref().is_some_and(is_canary) {
        let active = state.active_requests.get_mut(&id)?;
        active.version = Some(service.version.clone());
        return active.version.clone();
    }
    let current = active
        .version
        .clone()
        .filter(|v| !state.split.is_halted(&service.name, v));
    let version = current
        .unwrap_or_else(|| rollouts::choose_version(state, now, &service.name, &service.version));
    let active = state.active_requests.get_mut(&id)?;
    active.version = Some(version);
    active.version.clone()
}

/// Sends a request to the upstream selected.
pub fn send(state: &mut state::State, now: time::Time, id: u64, selection: Selection) {
    let Selection { query, choice } = selection;
    let attempt = state.new_attempt(id);
    state.fleet.start(now, attempt, &choice, &query);
    let Some(active) = state.active_requests.get_mut(&id) else {
        return;
    };
    active.tries += 1;
    let deadline = if active.started {
        now.after(wait::RESUME_TIMEOUT)
    } else {
        active.deadline
    };
    let dispatch = effect::Dispatch {
        request: id,
        attempt,
        upstream: choice.upstream.clone(),
        version: choice.version.clone(),
        address: choice.address,
        kind: active.service.kind,
        priority: active.route.priority,
        offset: active.offset,
        deadline,
        silent_at: silent_at(active, now, deadline),
    };
    let running = active_request::Running {
        attempt,
        choice,
        sent_at: now,
        first_token: None,
        silent_since: None,
    };
    active.stage = active_request::Stage::Running(running);
    let timer = active.response_timer();
    state.set_timer(id, timer);
    state.emit(effect::Effect::Dispatch(dispatch));
}

/// Returns when an attempt without a response counts as silent.
///
/// A request that may be retried leaves half of its time for another upstream. Any other one waits
/// as long as the end of its run can still be recorded.
fn silent_at(
    active: &active_request::ActiveRequest,
    now: time::Time,
    deadline: time::Time,
) -> time::Time {
    match active.is_retryable() {
        true => now.after(now.until(deadline) / 2),
        false => deadline.after(active_request::CLAIM_GRACE),
    }
}

fn set_stage(state: &mut state::State, id: u64, stage: active_request::Stage) {
    if let Some(active) = state.active_requests.get_mut(&id) {
        active.stage = stage;
    }
}
