//! Progress and ends of attempts.

use std::time::Duration;

use super::crashes;
use super::dispatch;
use super::refuse;
use crate::name;
use crate::refusal;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::failed_attempts;
use crate::relay::fleet;
use crate::relay::flight;
use crate::relay::route;
use crate::relay::state;
use crate::time;

/// Number of selected engines after which a request is refused if the last one accepted no
/// connection.
const MAX_UNSENT: usize = 4;

/// Applies the progress or end of an attempt.
pub(super) fn apply(state: &mut state::State, now: time::Time, id: u64, signal: event::Signal) {
    match signal {
        event::Signal::First => apply_first_event(state, now, id),
        event::Signal::Failing { status } => apply_failure(state, now, id, status),
        event::Signal::Whole { status } => apply_complete(state, now, id, status),
        event::Signal::NotRun { status, wait } => apply_not_run(state, now, id, status, wait),
        event::Signal::Unsent => apply_unsent(state, now, id),
        event::Signal::Broken { .. } => {
            mark_may_have_run(state, now, id);
            crashes::record_failed_attempt(state, now, id, failed_attempts::Symptom::Broken);
            end_attempt(state, now, id, fleet::Outcome::Broke);
            retry(state, now, id, refusal::Code::UpstreamFailed);
        }
        event::Signal::Stalled => apply_stalled(state, now, id),
        event::Signal::Expired => apply_expired(state, now, id),
        event::Signal::Abandoned => apply_abandoned(state, now, id),
    }
}

/// Moves a request whose attempt is silent to another engine if there is one; otherwise the attempt
/// goes on, since it may still finish.
fn apply_stalled(state: &mut state::State, now: time::Time, id: u64) {
    mark_may_have_run(state, now, id);
    match find_replacement(state, now, id) {
        Ok(choice) => {
            crashes::record_failed_attempt(state, now, id, failed_attempts::Symptom::Silent);
            end_attempt(state, now, id, fleet::Outcome::Silent);
            dispatch::send(state, now, id, choice);
        }
        Err(reason) => {
            record_silence(state, now, id);
            if let Some(flight) = state.flights.get_mut(&id) {
                flight.no_retry = Some(reason);
            }
        }
    }
}

/// Selects an engine for a request whose attempt is silent, and spends a retry on it.
fn find_replacement(
    state: &mut state::State,
    now: time::Time,
    id: u64,
) -> Result<fleet::Choice, effect::NoRetry> {
    let flight = state.flights.get(&id).ok_or(effect::NoRetry::Policy)?;
    check_retry(flight)?;
    let (service, deadline) = (flight.request.service.clone(), flight.request.deadline);
    let choice = dispatch::choose(state, now, id).map_err(|rejection| rejection.reason)?;
    if !state.fleet.is_healthy(now, &choice) {
        return Err(effect::NoRetry::Engines);
    }
    if now.after(choice.expected) >= deadline {
        return Err(effect::NoRetry::Time);
    }
    spend_retry(state, now, &service)?;
    Ok(choice)
}

/// Records once that the attempt in progress is silent and goes on.
fn record_silence(state: &mut state::State, now: time::Time, id: u64) {
    let flight = state.flights.get_mut(&id);
    let attempt = flight.and_then(|f| f.attempt.as_mut());
    let Some(attempt) = attempt.filter(|a| !a.is_silent) else {
        return;
    };
    attempt.is_silent = true;
    let outcome = fleet::Outcome::Silent;
    state.fleet.record_outcome(now, &attempt.choice, outcome);
    state.out.push(effect::Effect::EngineAvoided {
        engine: attempt.choice.engine.clone(),
        outcome,
    });
    crashes::record_failed_attempt(state, now, id, failed_attempts::Symptom::Silent);
}

/// Selects another engine after one that accepted no connection; this does not count as a retry.
fn apply_unsent(state: &mut state::State, now: time::Time, id: u64) {
    end_attempt(state, now, id, fleet::Outcome::Unreachable);
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    flight.attempts = flight.attempts.saturating_sub(1);
    if flight.tried.len() < MAX_UNSENT {
        return dispatch::dispatch(state, now, id);
    }
    let at = now.after(dispatch::RETRY_DELAY);
    refuse::give_up(state, now, id, refusal::Code::NoUpstream, Some(at));
}

fn apply_first_event(state: &mut state::State, now: time::Time, id: u64) {
    count_run(state, now, id);
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    flight.responding = true;
    let Some(attempt) = flight.attempt.as_mut().filter(|a| !a.has_first_event) else {
        return;
    };
    attempt.has_first_event = true;
    state
        .failed_attempts
        .record_response(&attempt.choice, attempt.alive_since(now));
    let took = attempt.began.until(now);
    let (service, choice) = (&flight.request.service, &attempt.choice);
    let (route, version) = (&flight.request.route.name, &choice.version);
    state
        .rollouts
        .record_first_event(service, route, version, took, choice.unadjusted);
    state
        .fleet
        .record_first_event(&flight.request.service, &attempt.choice, took);
}

/// Counts a request that has begun to run, once.
fn count_run(state: &mut state::State, at: time::Time, id: u64) {
    let window = state.window(at);
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    flight.may_have_run = true;
    if std::mem::replace(&mut flight.counted, true) {
        return;
    }
    if let Some(workspace) = &flight.request.workspace {
        state.usage_counts.record(window, workspace);
    }
}

/// Records that an engine may have run a request without reporting it.
fn mark_may_have_run(state: &mut state::State, now: time::Time, id: u64) {
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    flight.may_have_run = true;
    if !flight.request.route.retry_policy.is_stream() {
        count_run(state, now, id);
    }
}

fn apply_failure(state: &mut state::State, now: time::Time, id: u64, status: u16) {
    count_run(state, now, id);
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    flight.holds_failure = true;
    let is_server_error = status >= 500;
    let is_repeatable =
        flight.request.route.retry_policy.is_idempotent() && dispatch::has_attempts_left(flight);
    let service = flight.request.service.clone();
    let instances = state.peers.limit_holders();
    let retries = is_server_error
        && is_repeatable
        && state
            .budget
            .spend(now, &state.settings, &service, instances);
    if retries {
        end_attempt(state, now, id, fleet::Outcome::Bad);
        return dispatch::dispatch(state, now, id);
    }
    state
        .out
        .push(effect::Effect::ForwardFailure { request: id });
}

fn apply_complete(state: &mut state::State, now: time::Time, id: u64, status: u16) {
    count_run(state, now, id);
    let is_success = status < 500;
    let outcome = if is_success {
        fleet::Outcome::Good
    } else {
        fleet::Outcome::Bad
    };
    if let Some(flight) = state.flights.get(&id) {
        let slot_time = flight.attempt.as_ref().map(|a| a.began.until(now));
        let (service, fingerprint) = (flight.request.service.clone(), flight.request.fingerprint);
        if let Some(slot_time) = slot_time.filter(|_| is_success) {
            state.fleet.record_slot_time(&service, slot_time);
        }
        if is_success {
            state.suspects.record_success(fingerprint);
        }
    }
    end_attempt(state, now, id, outcome);
    state.flights.remove(&id);
}

fn apply_not_run(
    state: &mut state::State,
    now: time::Time,
    id: u64,
    status: u16,
    wait: Option<Duration>,
) {
    /// Status of a response from an engine other than the intended one.
    const MISDIRECTED: u16 = 421;
    let outcome = if status == MISDIRECTED {
        fleet::Outcome::Moved
    } else {
        fleet::Outcome::Full
    };
    end_attempt(state, now, id, outcome);
    let can_retry = state
        .flights
        .get(&id)
        .is_some_and(|f| check_retry(f).is_ok());
    if let Some(wait) = wait.filter(|_| !can_retry) {
        let at = now.after(wait);
        return refuse::give_up(state, now, id, refusal::Code::Overloaded, Some(at));
    }
    retry(state, now, id, refusal::Code::Overloaded);
}

/// Retries a request at another engine if that is allowed, or refuses it.
fn retry(state: &mut state::State, now: time::Time, id: u64, code: refusal::Code) {
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    let service = flight.request.service.clone();
    let allowed = check_retry(flight).and_then(|()| spend_retry(state, now, &service));
    let Err(reason) = allowed else {
        return dispatch::dispatch(state, now, id);
    };
    if let Some(flight) = state.flights.get_mut(&id) {
        flight.no_retry = Some(reason);
    }
    let at = now.after(dispatch::RETRY_DELAY);
    refuse::give_up(state, now, id, code, Some(at));
}

/// Spends one retry of the budget that all instances share.
fn spend_retry(
    state: &mut state::State,
    now: time::Time,
    service: &name::Name,
) -> Result<(), effect::NoRetry> {
    let instances = state.peers.limit_holders();
    let is_allowed = state.budget.spend(now, &state.settings, service, instances);
    is_allowed.then_some(()).ok_or(effect::NoRetry::Budget)
}

/// Checks whether the route and the progress of a request allow another attempt.
fn check_retry(flight: &flight::Flight) -> Result<(), effect::NoRetry> {
    let policy = flight.request.route.retry_policy;
    let is_open = !flight.responding || policy == route::RetryPolicy::ResumableStream;
    let is_safe = !flight.may_have_run || policy.is_idempotent();
    if !(is_open && is_safe) {
        return Err(effect::NoRetry::Policy);
    }
    let has_attempts = dispatch::has_attempts_left(flight);
    has_attempts.then_some(()).ok_or(effect::NoRetry::Attempts)
}

fn apply_expired(state: &mut state::State, now: time::Time, id: u64) {
    mark_may_have_run(state, now, id);
    crashes::record_failed_attempt(state, now, id, failed_attempts::Symptom::Silent);
    let is_responding = state
        .flights
        .get(&id)
        .and_then(|f| f.attempt.as_ref())
        .is_some_and(|a| a.has_first_event && !a.is_silent);
    let outcome = if is_responding {
        fleet::Outcome::Good
    } else {
        fleet::Outcome::Silent
    };
    end_attempt(state, now, id, outcome);
    refuse::give_up(state, now, id, refusal::Code::Deadline, None);
}

fn apply_abandoned(state: &mut state::State, now: time::Time, id: u64) {
    crashes::record_failed_attempt(state, now, id, failed_attempts::Symptom::Silent);
    if let Some(flight) = state.flights.remove(&id)
        && let Some(attempt) = flight.attempt
    {
        state
            .fleet
            .end_attempt(&attempt.choice, attempt.has_first_event);
    }
}

/// Ends the attempt in progress with its outcome.
fn end_attempt(state: &mut state::State, now: time::Time, id: u64, outcome: fleet::Outcome) {
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    if let Some(attempt) = flight.attempt.take() {
        let outcome = state.fleet.classify(now, &attempt.choice, outcome);
        let is_success = matches!(outcome, fleet::Outcome::Good);
        if is_success
            || matches!(
                outcome,
                fleet::Outcome::Bad | fleet::Outcome::Broke | fleet::Outcome::Silent
            )
        {
            let (service, route) = (&flight.request.service, &flight.request.route.name);
            let version = &attempt.choice.version;
            state
                .rollouts
                .record_response(service, route, version, is_success);
        }
        state
            .fleet
            .end_attempt(&attempt.choice, attempt.has_first_event);
        state.fleet.record_outcome(now, &attempt.choice, outcome);
        if outcome.is_response() {
            state
                .failed_attempts
                .record_response(&attempt.choice, attempt.alive_since(now));
        }
        if outcome.causes_avoidance() {
            state.out.push(effect::Effect::EngineAvoided {
                engine: attempt.choice.engine,
                outcome,
            });
        }
    }
}
