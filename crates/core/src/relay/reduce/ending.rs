//! Ends of attempts.

use super::crashes;
use super::waiting;
use crate::relay::effect;
use crate::relay::fleet;
use crate::relay::state;
use crate::time;

/// Ends an attempt in progress with its outcome.
pub(super) fn end_attempt(
    state: &mut state::State,
    now: time::Time,
    id: u64,
    number: usize,
    outcome: fleet::Outcome,
) {
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    let Some(attempt) = flight.take_attempt(number) else {
        return;
    };
    waiting::release(&mut state.slot_usage, now, &flight.request, &attempt);
    let outcome = state.fleet.classify(now, &attempt.choice, outcome);
    if let Some(is_success) = outcome.is_success() {
        let (service, route) = (&flight.request.service, &flight.request.route.name);
        let version = &attempt.choice.version;
        let changed = state
            .rollouts
            .record_response(service, route, version, is_success);
        state
            .out
            .extend(changed.map(|is_failing| effect::Effect::CompletedVersion {
                service: service.clone(),
                version: version.clone(),
                is_failing,
            }));
    }
    state
        .fleet
        .end_attempt(&attempt.choice, attempt.has_first_event);
    if outcome == fleet::Outcome::Silent && attempt.silent_since.is_some() {
        // Its engine has been avoided since the silence was reported.
        return;
    }
    state.fleet.record_outcome(now, &attempt.choice, outcome);
    if outcome.is_response() {
        crashes::record_response(state, now, &attempt.choice, attempt.alive_since(now));
    }
    if outcome.causes_avoidance() {
        state.out.push(effect::Effect::EngineAvoided {
            engine: attempt.choice.engine,
            outcome,
        });
    }
}

/// Ends the attempts of a request other than the one that has responded.
pub(super) fn cancel_others(state: &mut state::State, now: time::Time, id: u64, number: usize) {
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    let others = flight.running.iter().filter(|a| a.number != number);
    let others: Vec<_> = others
        .map(|a| (a.number, a.silent_since.is_some()))
        .collect();
    for (other, is_silent) in others {
        match is_silent {
            true => end_attempt(state, now, id, other, fleet::Outcome::Silent),
            false => abandon_attempt(state, now, id, other),
        }
        state.out.push(effect::Effect::Cancel {
            request: id,
            attempt: other,
        });
    }
}

/// Ends an attempt whose engine had its time left, without an outcome.
pub(super) fn abandon_attempt(state: &mut state::State, now: time::Time, id: u64, number: usize) {
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    if let Some(attempt) = flight.take_attempt(number) {
        waiting::release(&mut state.slot_usage, now, &flight.request, &attempt);
        state
            .fleet
            .end_attempt(&attempt.choice, attempt.has_first_event);
    }
}
