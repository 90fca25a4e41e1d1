//! Engines that crash while they run requests.

use crate::name;
use crate::relay::effect;
use crate::relay::failed_attempts;
use crate::relay::fleet;
use crate::relay::state;
use crate::time;

/// Records that an attempt in progress is silent or ends without a complete response.
pub(super) fn record_failed_attempt(
    state: &mut state::State,
    now: time::Time,
    id: u64,
    number: usize,
    symptom: failed_attempts::Symptom,
) {
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    let Some(attempt) = flight.attempt(number) else {
        return;
    };
    let choice = &attempt.choice;
    let failed = failed_attempts::FailedAttempt {
        fingerprint: flight.request.fingerprint,
        engine: choice.engine.clone(),
        incarnation: choice.incarnation,
        symptom,
        at: now,
    };
    match state.fleet.status(now, choice) {
        fleet::Status::Listed => state.failed_attempts.record(failed),
        fleet::Status::Gone => blame(state, now, failed),
        // An engine that announced that it is leaving ends its requests without a crash.
        fleet::Status::Leaving => {}
    }
}

/// Counts the crash of an engine against the requests that it ran.
pub(super) fn record_crash(
    state: &mut state::State,
    now: time::Time,
    engine: &name::Name,
    incarnation: u64,
) {
    for failed in state.failed_attempts.remove_crashed(engine, incarnation) {
        blame(state, now, failed);
    }
}

/// Counts the crashes of engines that have not responded since their connections broke.
pub(super) fn confirm_crashes(state: &mut state::State, now: time::Time) {
    if state.failed_attempts.is_empty() {
        return;
    }
    let flights = &state.flights;
    let is_busy = |failed: &failed_attempts::FailedAttempt| {
        let mut attempts = flights.values().flat_map(|f| &f.running);
        attempts.any(|a| {
            let is_same =
                a.choice.engine == failed.engine && a.choice.incarnation == failed.incarnation;
            is_same && a.began < failed.at
        })
    };
    for failed in state.failed_attempts.remove_confirmed(now, is_busy) {
        blame(state, now, failed);
    }
}

fn blame(state: &mut state::State, now: time::Time, failed: failed_attempts::FailedAttempt) {
    let (fingerprint, incarnation) = (failed.fingerprint, failed.incarnation);
    let suspects = &mut state.suspects;
    let known = suspects.record_crash(now, fingerprint, &failed.engine, incarnation);
    state.out.push(effect::Effect::EngineCrashed {
        engine: failed.engine,
        fingerprint,
        known,
    });
}
