//! Engines that end while they work on requests.

use crate::name;
use crate::relay::effect;
use crate::relay::failed_attempts;
use crate::relay::fleet;
use crate::relay::state;
use crate::time;

/// Notes that the attempt under way ends without a whole answer.
pub(super) fn note(
    state: &mut state::State,
    now: time::Time,
    id: u64,
    symptom: failed_attempts::Symptom,
) {
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    let Some(attempt) = &flight.attempt else {
        return;
    };
    let choice = &attempt.choice;
    let noted = failed_attempts::FailedAttempt {
        fingerprint: flight.request.fingerprint,
        engine: choice.engine.clone(),
        incarnation: choice.incarnation,
        symptom,
        at: now,
    };
    match state.fleet.status(now, choice) {
        fleet::Status::Listed => state.breaks.record(noted),
        fleet::Status::Gone => suspect(state, now, noted),
        // What runs there ends with it, as was said before.
        fleet::Status::Leaving => {}
    }
}

/// Counts the end of an engine against what it worked on.
pub(super) fn ended(
    state: &mut state::State,
    now: time::Time,
    engine: &name::Name,
    incarnation: u64,
) {
    for ended in state.breaks.remove_crashed(engine, incarnation) {
        suspect(state, now, ended);
    }
}

/// Judges engines that have said nothing since their channels broke.
pub(super) fn settle(state: &mut state::State, now: time::Time) {
    if state.breaks.is_empty() {
        return;
    }
    let flights = &state.flights;
    let is_busy = |at: &failed_attempts::FailedAttempt| {
        let mut attempts = flights.values().filter_map(|f| f.attempt.as_ref());
        attempts.any(|r| {
            let is_there = r.choice.engine == at.engine && r.choice.incarnation == at.incarnation;
            is_there && r.began < at.at
        })
    };
    for ended in state.breaks.remove_confirmed(now, is_busy) {
        suspect(state, now, ended);
    }
}

fn suspect(state: &mut state::State, now: time::Time, ended: failed_attempts::FailedAttempt) {
    let (fingerprint, incarnation) = (ended.fingerprint, ended.incarnation);
    let suspects = &mut state.suspects;
    let known = suspects.record_crash(now, fingerprint, &ended.engine, incarnation);
    state.out.push(effect::Effect::EngineCrashed {
        engine: ended.engine,
        fingerprint,
        known,
    });
}
