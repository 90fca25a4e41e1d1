//! Requests with a blocked subject that are sent all the same, as probes.

use std::time::Duration;

use super::dispatch;
use crate::relay::effect;
use crate::relay::probes;
use crate::relay::state;
use crate::relay::subject;
use crate::time;

/// Bids are known everywhere after so many times the time in which messages reach all instances:
/// two bids may cross, and messages may be lost.
const WAIT_FACTOR: u32 = 4;
/// Time that a request must have left after the wait.
const MIN_TIME_LEFT: Duration = Duration::from_millis(300);

/// Enters a bid for the next probe if one is due; returns `true` if the request waits for the
/// result, or has been sent as the probe.
pub(super) fn hold(state: &mut state::State, now: time::Time, id: u64) -> bool {
    let Some(flight) = state.flights.get(&id) else {
        return false;
    };
    if flight.may_have_run || !flight.tried.is_empty() {
        return false;
    }
    let request = &flight.request;
    let subjects = subject::of_request(request);
    let Some(subject) = state.suspects.find_sole_blocked(now, subjects) else {
        return false;
    };
    if state.suspects.probes.is_waiting(id) {
        return true;
    }
    if state.suspects.probes.take_grant(now, subject, id) {
        send(state, now, id, subject);
        return true;
    }
    let mut engines = state.fleet.available(now);
    let has_engine = engines.any(|engine| engine.service == request.service);
    if state.leaving || !has_engine || !state.suspects.is_probe_due(now, subject) {
        return false;
    }
    let wait = state.peers.propagation_delay() * WAIT_FACTOR;
    let can_wait = now.after(wait + MIN_TIME_LEFT) < request.deadline;
    let waiting = can_wait.then_some(id);
    let suspects = &mut state.suspects;
    suspects.bid(now, subject, &state.own.name, wait, waiting);
    can_wait
}

/// Merges the bids that another instance reported.
pub(super) fn merge(state: &mut state::State, now: time::Time, bids: &[probes::Bid]) {
    state.suspects.probes.merge(now, bids);
}

/// Sends the probes of the bids that have won, and refuses the requests of the others.
pub(super) fn update(state: &mut state::State, now: time::Time) {
    let blocked: std::collections::BTreeSet<_> = state.suspects.blocked(now).collect();
    let flights = &state.flights;
    let decisions = state.suspects.probes.decide(
        now,
        |subject| blocked.contains(&subject),
        |request| flights.contains_key(&request),
    );
    for decision in decisions {
        match decision.request {
            Some(id) if decision.has_won => send(state, now, id, decision.subject),
            Some(id) => dispatch::dispatch(state, now, id),
            None => {}
        }
    }
}

/// Records that a probe has reached no engine if its request has been refused.
pub(super) fn record_not_run(state: &mut state::State, id: u64) {
    if !state.flights.contains_key(&id) {
        state.suspects.probes.record_void(id);
    }
}

fn send(state: &mut state::State, now: time::Time, id: u64, subject: subject::Subject) {
    dispatch::dispatch(state, now, id);
    record_not_run(state, id);
    let flight = state.flights.get(&id);
    if let Some(attempt) = flight.and_then(|flight| flight.running.last()) {
        let engine = attempt.choice.engine.clone();
        state.out.push(effect::Effect::SuspectProbed {
            subject,
            request: id,
            engine,
        });
    }
}
