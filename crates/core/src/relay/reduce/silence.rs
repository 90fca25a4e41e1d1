//! Silent attempts and the engines that get their requests as well.

use super::crashes;
use super::dispatch;
use super::retry;
use super::runs;
use crate::relay::effect;
use crate::relay::failed_attempts;
use crate::relay::fleet;
use crate::relay::state;
use crate::time;

/// Attempts of one request that run at the same time, at most.
const MAX_RUNNING: usize = 3;
/// How much sooner than its attempts so far another engine must be expected to respond to a request
/// for it to get that as well.
const MIN_SPEEDUP: u32 = 2;

/// Records that an attempt is silent, and looks for another engine. The attempt goes on until another
/// one has responded, since it may still finish.
pub(super) fn apply_stalled(state: &mut state::State, now: time::Time, id: u64, number: usize) {
    runs::mark_may_have_run(state, now, id);
    record_silence(state, now, id, number);
    replace_silent(state, now, id);
}

/// Sends a request to another engine as well if all its attempts are silent.
pub(super) fn replace_silent(state: &mut state::State, now: time::Time, id: u64) {
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    let service = flight.request.service.clone();
    let replacement = find_replacement(state, now, id)
        .and_then(|choice| retry::spend(state, now, &service).map(|()| choice));
    send_replacement(state, now, id, replacement);
}

/// Sends a request to the engine selected, or keeps the reason why there is none.
pub(super) fn send_replacement(
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
pub(super) fn find_replacement(
    state: &mut state::State,
    now: time::Time,
    id: u64,
) -> Result<fleet::Choice, effect::NoRetry> {
    let flight = state.flights.get(&id).ok_or(effect::NoRetry::Policy)?;
    retry::check(flight)?;
    let silent_since = flight.silent_since().ok_or(effect::NoRetry::Running)?;
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
