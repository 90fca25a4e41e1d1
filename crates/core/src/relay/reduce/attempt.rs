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
/// Attempts of one request that run at the same time, at most.
const MAX_RUNNING: usize = 3;

/// How much sooner than its attempts so far another engine must be expected to respond to a request
/// for it to get that as well.
const MIN_SPEEDUP: u32 = 2;

/// Applies the progress or end of an attempt.
pub(super) fn apply(
    state: &mut state::State,
    now: time::Time,
    id: u64,
    number: usize,
    signal: event::Signal,
) {
    let flight = state.flights.get(&id);
    let is_running = flight.is_some_and(|f| f.attempt(number).is_some());
    if !is_running && !signal.ends_request() {
        return;
    }
    match signal {
        event::Signal::First => apply_first_event(state, now, id, number),
        event::Signal::Failing { status } => apply_failure(state, now, id, number, status),
        event::Signal::Whole { status } => apply_complete(state, now, id, number, status),
        event::Signal::NotRun { status, wait } => {
            apply_not_run(state, now, id, number, status, wait)
        }
        event::Signal::Unsent => apply_unsent(state, now, id, number),
        event::Signal::Broken { .. } => {
            mark_may_have_run(state, now, id);
            let symptom = failed_attempts::Symptom::Broken;
            crashes::record_failed_attempt(state, now, id, number, symptom);
            end_attempt(state, now, id, number, fleet::Outcome::Broke);
            retry(state, now, id, refusal::Code::UpstreamFailed);
        }
        event::Signal::Stalled => apply_stalled(state, now, id, number),
        event::Signal::Expired => apply_expired(state, now, id),
        event::Signal::Abandoned => apply_abandoned(state, now, id),
    }
}

/// Records that an attempt is silent, and looks for another engine. The attempt goes on until another
/// one has responded, since it may still finish.
fn apply_stalled(state: &mut state::State, now: time::Time, id: u64, number: usize) {
    mark_may_have_run(state, now, id);
    record_silence(state, now, id, number);
    replace_silent(state, now, id);
}

/// Sends a request to another engine as well if all its attempts are silent.
fn replace_silent(state: &mut state::State, now: time::Time, id: u64) {
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    let service = flight.request.service.clone();
    let replacement = find_replacement(state, now, id)
        .and_then(|choice| spend_retry(state, now, &service).map(|()| choice));
    send_replacement(state, now, id, replacement);
}

/// Sends a request to the engine selected, or keeps the reason why there is none.
fn send_replacement(
    state: &mut state::State,
    now: time::Time,
    id: u64,
    replacement: Result<fleet::Choice, effect::NoRetry>,
) {
    match replacement {
        Ok(choice) => dispatch::send(state, now, id, choice),
        Err(reason) => {
            if let Some(flight) = state.flights.get_mut(&id) {
                flight.no_retry = Some(reason);
            }
        }
    }
}

/// Selects an engine for a request whose attempts are silent.
fn find_replacement(
    state: &mut state::State,
    now: time::Time,
    id: u64,
) -> Result<fleet::Choice, effect::NoRetry> {
    let flight = state.flights.get(&id).ok_or(effect::NoRetry::Policy)?;
    let silent_since = flight.silent_since().ok_or(effect::NoRetry::Running)?;
    check_retry(flight)?;
    if flight.running.len() >= MAX_RUNNING {
        return Err(effect::NoRetry::Attempts);
    }
    let deadline = flight.request.deadline;
    let choice = dispatch::choose(state, now, id).map_err(|rejection| rejection.reason)?;
    if !state.fleet.is_healthy(now, &choice) {
        return Err(effect::NoRetry::Engines);
    }
    // Both attempts take capacity, so the other engine must be expected to respond much sooner.
    let fast = (silent_since.until(now) / MIN_SPEEDUP).max(dispatch::MIN_RESPONSE_TIMEOUT);
    if choice.expected > fast || now.after(choice.expected) >= deadline {
        return Err(effect::NoRetry::Time);
    }
    Ok(choice)
}

/// Records once that an attempt is silent and goes on.
fn record_silence(state: &mut state::State, now: time::Time, id: u64, number: usize) {
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    let gap = dispatch::max_gap(flight).unwrap_or_default();
    let attempt = flight.attempt_mut(number);
    let Some(attempt) = attempt.filter(|a| a.silent_since.is_none()) else {
        return;
    };
    attempt.silent_since = match attempt.has_first_event {
        true => Some(now.before(gap)),
        false => Some(attempt.began),
    };
    attempt.was_silent = true;
    let outcome = fleet::Outcome::Silent;
    state.fleet.record_outcome(now, &attempt.choice, outcome);
    state.out.push(effect::Effect::EngineAvoided {
        engine: attempt.choice.engine.clone(),
        outcome,
    });
    let symptom = failed_attempts::Symptom::Silent;
    crashes::record_failed_attempt(state, now, id, number, symptom);
}

/// Selects another engine after one that accepted no connection; this does not count as a retry.
fn apply_unsent(state: &mut state::State, now: time::Time, id: u64, number: usize) {
    end_attempt(state, now, id, number, fleet::Outcome::Unreachable);
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    flight.attempts = flight.attempts.saturating_sub(1);
    let can_retry = flight.tried.len() < MAX_UNSENT;
    if !flight.running.is_empty() {
        let replacement = match can_retry {
            true => find_replacement(state, now, id),
            false => Err(effect::NoRetry::Engines),
        };
        return send_replacement(state, now, id, replacement);
    }
    if can_retry {
        return dispatch::dispatch(state, now, id);
    }
    let at = now.after(dispatch::RETRY_DELAY);
    refuse::give_up(state, now, id, refusal::Code::NoUpstream, Some(at));
}

/// Records the first event of an attempt, and ends the other attempts of the request.
fn apply_first_event(state: &mut state::State, now: time::Time, id: u64, number: usize) {
    count_run(state, now, id);
    cancel_others(state, now, id, number);
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    flight.responding = true;
    let attempt = flight.running.iter_mut().find(|a| a.number == number);
    let Some(attempt) = attempt else {
        return;
    };
    attempt.silent_since = None;
    if attempt.has_first_event {
        return;
    }
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

/// Ends the attempts of a request other than the one that has responded.
fn cancel_others(state: &mut state::State, now: time::Time, id: u64, number: usize) {
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    let others = flight.running.iter().filter(|a| a.number != number);
    let others: Vec<_> = others
        .map(|a| (a.number, a.silent_since.is_some()))
        .collect();
    for (other, is_silent) in others {
        let symptom = failed_attempts::Symptom::Silent;
        crashes::record_failed_attempt(state, now, id, other, symptom);
        match is_silent {
            true => end_attempt(state, now, id, other, fleet::Outcome::Silent),
            false => abandon_attempt(state, id, other),
        }
        state.out.push(effect::Effect::Cancel {
            request: id,
            attempt: other,
        });
    }
}

/// Ends an attempt whose engine had its time left, without an outcome.
fn abandon_attempt(state: &mut state::State, id: u64, number: usize) {
    let flight = state.flights.get_mut(&id);
    if let Some(attempt) = flight.and_then(|f| f.take_attempt(number)) {
        state
            .fleet
            .end_attempt(&attempt.choice, attempt.has_first_event);
    }
}

fn apply_failure(state: &mut state::State, now: time::Time, id: u64, number: usize, status: u16) {
    count_run(state, now, id);
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    flight.holds_failure = true;
    if flight.running.iter().any(|a| a.number != number) {
        end_attempt(state, now, id, number, fleet::Outcome::Bad);
        return retry(state, now, id, refusal::Code::UpstreamFailed);
    }
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
        end_attempt(state, now, id, number, fleet::Outcome::Bad);
        return dispatch::dispatch(state, now, id);
    }
    state
        .out
        .push(effect::Effect::ForwardFailure { request: id });
}

fn apply_complete(state: &mut state::State, now: time::Time, id: u64, number: usize, status: u16) {
    count_run(state, now, id);
    cancel_others(state, now, id, number);
    let is_success = status < 500;
    let outcome = if is_success {
        fleet::Outcome::Good
    } else {
        fleet::Outcome::Bad
    };
    if let Some(flight) = state.flights.get(&id) {
        let slot_time = flight.attempt(number).map(|a| a.began.until(now));
        let (service, fingerprint) = (flight.request.service.clone(), flight.request.fingerprint);
        if let Some(slot_time) = slot_time.filter(|_| is_success) {
            state.fleet.record_slot_time(&service, slot_time);
        }
        if is_success {
            state.suspects.record_success(fingerprint);
        }
    }
    end_attempt(state, now, id, number, outcome);
    state.flights.remove(&id);
}

fn apply_not_run(
    state: &mut state::State,
    now: time::Time,
    id: u64,
    number: usize,
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
    end_attempt(state, now, id, number, outcome);
    let can_retry = state
        .flights
        .get(&id)
        .is_some_and(|f| check_retry(f).is_ok() || !f.running.is_empty());
    if let Some(wait) = wait.filter(|_| !can_retry) {
        let at = now.after(wait);
        return refuse::give_up(state, now, id, refusal::Code::Overloaded, Some(at));
    }
    retry(state, now, id, refusal::Code::Overloaded);
}

/// Retries a request at another engine if that is allowed. Otherwise its other attempts go on, or it
/// is refused if there are none.
fn retry(state: &mut state::State, now: time::Time, id: u64, code: refusal::Code) {
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    if !flight.running.is_empty() {
        return replace_silent(state, now, id);
    }
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
    for attempt in running(state, id) {
        let symptom = failed_attempts::Symptom::Silent;
        crashes::record_failed_attempt(state, now, id, attempt.number, symptom);
        let is_responding = attempt.has_first_event && attempt.silent_since.is_none();
        let outcome = if is_responding {
            fleet::Outcome::Good
        } else {
            fleet::Outcome::Silent
        };
        end_attempt(state, now, id, attempt.number, outcome);
    }
    refuse::give_up(state, now, id, refusal::Code::Deadline, None);
}

fn apply_abandoned(state: &mut state::State, now: time::Time, id: u64) {
    for attempt in running(state, id) {
        let symptom = failed_attempts::Symptom::Silent;
        crashes::record_failed_attempt(state, now, id, attempt.number, symptom);
        abandon_attempt(state, id, attempt.number);
    }
    state.flights.remove(&id);
}

/// Returns copies of the attempts in progress.
fn running(state: &state::State, id: u64) -> Vec<flight::Attempt> {
    let flight = state.flights.get(&id);
    flight.map(|f| f.running.clone()).unwrap_or_default()
}

/// Ends an attempt in progress with its outcome.
fn end_attempt(
    state: &mut state::State,
    now: time::Time,
    id: u64,
    number: usize,
    outcome: fleet::Outcome,
) {
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    if let Some(attempt) = flight.take_attempt(number) {
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
