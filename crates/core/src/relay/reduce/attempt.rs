//! Progress and ends of attempts.

use std::time::Duration;

use super::crashes;
use super::dispatch;
use super::ending;
use super::probes;
use super::refuse;
use super::retry;
use super::runs;
use super::silence;
use crate::refusal;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::failed_attempts;
use crate::relay::fleet;
use crate::relay::flight;
use crate::relay::state;
use crate::relay::subject;
use crate::time;

/// Number of selected engines after which a request is refused if the last one accepted no
/// connection.
const MAX_UNSENT: usize = 4;
/// Lowest status with which an engine reports a failure of its own.
const FIRST_SERVER_ERROR: u16 = 500;
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
    if signal.ends_request() {
        state.queue.remove(id);
    }
    match signal {
        event::Signal::First => apply_first_event(state, now, id, number),
        event::Signal::Failing { status } => apply_failure(state, now, id, number, status),
        event::Signal::Whole { status } => apply_complete(state, now, id, number, status),
        event::Signal::WholeAtClose { status } => {
            apply_complete_at_close(state, now, id, number, status)
        }
        event::Signal::NotRun { status, wait } => {
            apply_not_run(state, now, id, number, status, wait);
            probes::record_not_run(state, id);
        }
        event::Signal::Unsent => {
            apply_unsent(state, now, id, number);
            probes::record_not_run(state, id);
        }
        event::Signal::Withheld => {
            ending::abandon_attempt(state, now, id, number);
            probes::record_not_run(state, id);
        }
        event::Signal::Broken { .. } => apply_broken(state, now, id, number),
        event::Signal::Stalled => silence::apply_stalled(state, now, id, number),
        event::Signal::Expired => apply_expired(state, now, id),
        event::Signal::Stopped => apply_stopped(state, now, id),
        event::Signal::Abandoned => apply_abandoned(state, now, id),
    }
}

fn apply_broken(state: &mut state::State, now: time::Time, id: u64, number: usize) {
    runs::mark_may_have_run(state, now, id);
    let flight = state.flights.get(&id);
    let attempt = flight.and_then(|f| f.attempt(number));
    // A connection that breaks after a silence may have been cut long before.
    let symptom = match attempt.is_some_and(|a| a.silent_since.is_some()) {
        true => failed_attempts::Symptom::Silent,
        false => failed_attempts::Symptom::Broken,
    };
    crashes::record_failed_attempt(state, now, id, number, symptom);
    ending::end_attempt(state, now, id, number, fleet::Outcome::Broke);
    retry_or_refuse(state, now, id, refusal::Code::UpstreamFailed);
}

/// Selects another engine after one that accepted no connection; this does not count as a retry.
fn apply_unsent(state: &mut state::State, now: time::Time, id: u64, number: usize) {
    let flight = state.flights.get(&id);
    if let Some(attempt) = flight.and_then(|f| f.attempt(number)) {
        let (engine, incarnation) = (&attempt.choice.engine, attempt.choice.incarnation);
        state.failed_attempts.suspect_closed(engine, incarnation);
    }
    ending::end_attempt(state, now, id, number, fleet::Outcome::Unreachable);
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    flight.attempts = flight.attempts.saturating_sub(1);
    let can_retry = flight.tried.len() < MAX_UNSENT;
    if !flight.running.is_empty() {
        let replacement = match can_retry {
            true => silence::find_replacement(state, now, id),
            false => Err(effect::NoRetry::Engines),
        };
        return silence::send_replacement(state, now, id, replacement);
    }
    if can_retry {
        return dispatch::dispatch(state, now, id);
    }
    let at = now.after(dispatch::RETRY_DELAY);
    refuse::give_up(state, now, id, refusal::Code::NoUpstream, Some(at));
}

/// Records the first event of an attempt, and ends the other attempts of the request.
fn apply_first_event(state: &mut state::State, now: time::Time, id: u64, number: usize) {
    runs::count_run(state, now, id);
    ending::cancel_others(state, now, id, number);
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
    let took = attempt.began.until(now);
    let (service, choice) = (&flight.request.service, &attempt.choice);
    let (route, version) = (&flight.request.route.name, &choice.version);
    state
        .rollouts
        .record_first_event(service, route, version, took, choice.unadjusted);
    state
        .fleet
        .record_first_event(now, &flight.request.service, &attempt.choice, took);
    let (choice, since) = (attempt.choice.clone(), attempt.alive_since(now));
    crashes::record_response(state, now, &choice, since);
}

fn apply_failure(state: &mut state::State, now: time::Time, id: u64, number: usize, status: u16) {
    runs::count_run(state, now, id);
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    flight.holds_failure = true;
    if flight.running.iter().any(|a| a.number != number) {
        ending::end_attempt(state, now, id, number, fleet::Outcome::Bad);
        return retry_or_refuse(state, now, id, refusal::Code::UpstreamFailed);
    }
    let is_server_error = status >= FIRST_SERVER_ERROR;
    let is_repeatable =
        flight.request.route.retry_policy.is_idempotent() && dispatch::has_attempts_left(flight);
    let service = flight.request.service.clone();
    let can_retry = is_server_error && is_repeatable;
    if can_retry && retry::spend(state, now, &service).is_ok() {
        ending::end_attempt(state, now, id, number, fleet::Outcome::Bad);
        return dispatch::dispatch(state, now, id);
    }
    state
        .out
        .push(effect::Effect::ForwardFailure { request: id });
}

fn apply_complete(state: &mut state::State, now: time::Time, id: u64, number: usize, status: u16) {
    let flight = state.flights.get(&id);
    if let Some(flight) = flight.filter(|f| !is_resumed(f, number)) {
        let request = &flight.request;
        let own = subject::Subject::Request(request.fingerprint);
        let parts = subject::parts_of(request).filter(|_| is_ok(status));
        let own = (status < FIRST_SERVER_ERROR).then_some(own);
        let subjects: Vec<_> = own.into_iter().chain(parts).collect();
        crashes::record_successes(state, now, subjects);
    }
    end_complete(state, now, id, number, status);
}

/// Ends a request whose response was complete when its engine closed the connection. The engine may
/// have crashed, so the response excuses nothing yet.
fn apply_complete_at_close(
    state: &mut state::State,
    now: time::Time,
    id: u64,
    number: usize,
    status: u16,
) {
    if let Some(flight) = state.flights.get(&id).filter(|_| is_ok(status)) {
        let symptom = match is_resumed(flight, number) {
            true => failed_attempts::Symptom::Silent,
            false => failed_attempts::Symptom::Closed,
        };
        crashes::record_failed_attempt(state, now, id, number, symptom);
    }
    end_complete(state, now, id, number, status);
}

/// Returns `true` if an attempt continues a response that another engine began: an engine that ran
/// only the rest may crash under the beginning.
fn is_resumed(flight: &flight::Flight, number: usize) -> bool {
    flight.attempt(number).is_some_and(|a| a.is_resumed)
}

/// Ends a request to which an engine has responded completely.
fn end_complete(state: &mut state::State, now: time::Time, id: u64, number: usize, status: u16) {
    runs::count_run(state, now, id);
    ending::cancel_others(state, now, id, number);
    let is_success = status < FIRST_SERVER_ERROR;
    let outcome = if is_success {
        fleet::Outcome::Good
    } else {
        fleet::Outcome::Bad
    };
    if let Some(flight) = state.flights.get(&id) {
        let service = flight.request.service.clone();
        if let Some(attempt) = flight.attempt(number).filter(|_| is_success) {
            let slot_time = attempt.began.until(now);
            let choice = &attempt.choice;
            state.fleet.record_slot_time(&service, choice, slot_time);
        }
    }
    ending::end_attempt(state, now, id, number, outcome);
    state.flights.remove(&id);
}

/// Returns `true` if the status says that the engine has done what the request asks.
fn is_ok(status: u16) -> bool {
    (200..300).contains(&status)
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
    ending::end_attempt(state, now, id, number, outcome);
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    if let (Some(wait), Err(reason), true) = (wait, retry::check(flight), flight.running.is_empty())
    {
        flight.no_retry = Some(reason);
        let at = now.after(wait);
        return refuse::give_up(state, now, id, refusal::Code::Overloaded, Some(at));
    }
    retry_or_refuse(state, now, id, refusal::Code::Overloaded);
}

/// Retries a request at another engine if that is allowed. Otherwise its other attempts go on, or it
/// is refused if there are none.
fn retry_or_refuse(state: &mut state::State, now: time::Time, id: u64, code: refusal::Code) {
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    if !flight.running.is_empty() {
        return silence::replace_silent(state, now, id);
    }
    let service = flight.request.service.clone();
    let allowed = retry::check(flight).and_then(|()| retry::spend(state, now, &service));
    let Err(reason) = allowed else {
        return dispatch::dispatch(state, now, id);
    };
    if let Some(flight) = state.flights.get_mut(&id) {
        flight.no_retry = Some(reason);
    }
    let at = now.after(dispatch::RETRY_DELAY);
    refuse::give_up(state, now, id, code, Some(at));
}

fn apply_expired(state: &mut state::State, now: time::Time, id: u64) {
    let flight = state.flights.get(&id);
    if flight.is_some_and(|f| !f.running.is_empty()) {
        runs::mark_may_have_run(state, now, id);
    }
    for attempt in running(state, id) {
        let symptom = failed_attempts::Symptom::Silent;
        crashes::record_failed_attempt(state, now, id, attempt.number, symptom);
        let is_responding = attempt.has_first_event && attempt.silent_since.is_none();
        let outcome = if is_responding {
            fleet::Outcome::Good
        } else {
            fleet::Outcome::Silent
        };
        ending::end_attempt(state, now, id, attempt.number, outcome);
    }
    refuse::give_up(state, now, id, refusal::Code::Deadline, None);
}

/// Ends a request since this process ends; its engines are not to blame.
fn apply_stopped(state: &mut state::State, now: time::Time, id: u64) {
    for attempt in running(state, id) {
        runs::mark_may_have_run(state, now, id);
        ending::abandon_attempt(state, now, id, attempt.number);
    }
    // Other instances can serve it at once.
    refuse::give_up(state, now, id, refusal::Code::Stopping, Some(now));
}

fn apply_abandoned(state: &mut state::State, now: time::Time, id: u64) {
    for attempt in running(state, id) {
        let symptom = failed_attempts::Symptom::Silent;
        crashes::record_failed_attempt(state, now, id, attempt.number, symptom);
        ending::abandon_attempt(state, now, id, attempt.number);
    }
    state.flights.remove(&id);
}

/// Returns copies of the attempts in progress.
fn running(state: &state::State, id: u64) -> Vec<flight::Attempt> {
    let flight = state.flights.get(&id);
    flight.map(|f| f.running.clone()).unwrap_or_default()
}
