//! From admission to the first byte: claim, quarantine, routing and dispatch.

use std::time::Duration;

use crate::effect;
use crate::flight;
use crate::ledger;
use crate::name;
use crate::poison;
use crate::reduce::{arrival, quarantine, record, review};
use crate::refusal;
use crate::routing;
use crate::state;
use crate::time;
use crate::verdict;

/// When a caller is asked to come back if nothing better is known.
pub const RETRY_WAIT: Duration = Duration::from_secs(1);

/// How long after its deadline a claimed request may still end and be recorded.
pub const CLAIM_GRACE: Duration = Duration::from_secs(30);

/// How long a broken stream may look for an upstream to go on at.
pub const RESUME_WAIT: Duration = Duration::from_secs(10);

/// How long a new request may wait for a slot that admission took for free.
const SLOT_WAIT: Duration = Duration::from_secs(1);

/// How often a waiting request looks for an upstream.
const RESUME_POLL: Duration = Duration::from_millis(100);

/// Takes the next step with an admitted request.
pub fn launch(state: &mut state::State, now: time::Time, id: u64) {
    let Some(flight) = state.flights.get(&id) else {
        return state.admission.release(now, id, false);
    };
    if flight.needs_claim() {
        return claim(state, now, id);
    }
    let fingerprint = flight.request.fingerprint;
    let admission = state.quarantine.admit(now, fingerprint, id);
    match admission.pass {
        poison::Pass::Free | poison::Pass::Alone => dispatch(state, now, id),
        poison::Pass::Wait => await_turn(state, id),
        poison::Pass::Blocked => quarantine::block(state, now, id),
        poison::Pass::Full => quarantine::refuse(state, now, id),
    }
    quarantine::apply(state, now, admission.effects);
}

/// Waits for a turn until the deadline; a stream under way waits as long as the quarantine lets it.
fn await_turn(state: &mut state::State, id: u64) {
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    flight.stage = flight::Stage::Quarantined;
    let timer = match flight.started {
        true => time::Time::MAX,
        false => flight.deadline,
    };
    state.set_timer(id, timer);
}

/// Claims the idempotency key, unless no upstream could take the request anyway.
fn claim(state: &mut state::State, now: time::Time, id: u64) {
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    let Some(key) = arrival::ledger_key(flight) else {
        return;
    };
    let deadline = flight.deadline;
    if now >= deadline {
        let refusal = arrival::not_run(refusal::Code::Deadline, Some(now));
        return give_up(state, now, id, refusal);
    }
    if let Err(exhausted) = state.fleet.choose(now, &flight.query(None)) {
        return wait_or_refuse(state, now, id, exhausted);
    }
    let claim = claim_of(flight, key, Lookup::No);
    set_stage(state, id, flight::Stage::Claiming);
    state.set_timer(id, deadline);
    record::drive(state, now, ledger::Input::Claim(claim));
}

/// Picks an upstream and sends the request there.
pub fn dispatch(state: &mut state::State, now: time::Time, id: u64) {
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    if now >= flight.deadline && !flight.started {
        return give_up(
            state,
            now,
            id,
            arrival::not_run(refusal::Code::Deadline, Some(now)),
        );
    }
    let version = version(state, now, id);
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    let mut query = flight.query(version);
    query.packed = query
        .version
        .as_ref()
        .is_some_and(|version| state.split.is_on_trial(&query.service, version));
    match state.fleet.choose(now, &query) {
        Ok(choice) => send(state, now, id, &query, choice),
        Err(exhausted) => wait_or_refuse(state, now, id, exhausted),
    }
}

/// Returns the version of a request; one that was halted since is replaced.
fn version(state: &mut state::State, now: time::Time, id: u64) -> Option<name::Name> {
    let flight = state.flights.get(&id)?;
    let service = flight.service.clone();
    let given = flight
        .version
        .clone()
        .filter(|v| !state.split.is_halted(&service.name, v));
    let version =
        given.unwrap_or_else(|| review::version(state, now, &service.name, &service.version));
    let flight = state.flights.get_mut(&id)?;
    flight.version = Some(version);
    flight.version.clone()
}

fn send(
    state: &mut state::State,
    now: time::Time,
    id: u64,
    query: &routing::Query,
    choice: routing::Choice,
) {
    let attempt = state.new_attempt(id);
    state.fleet.start(now, attempt, &choice, query);
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    flight.tries += 1;
    let deadline = if flight.started {
        now.after(RESUME_WAIT)
    } else {
        flight.deadline
    };
    let dispatch = effect::Dispatch {
        request: id,
        attempt,
        upstream: choice.upstream.clone(),
        version: choice.version.clone(),
        address: choice.address,
        kind: flight.service.kind,
        priority: flight.route.priority,
        offset: flight.offset,
        deadline,
        patience: patience(flight, now, deadline),
    };
    let running = flight::Running {
        attempt,
        choice,
        began: now,
        first: None,
    };
    flight.stage = flight::Stage::Running(running);
    state.set_timer(id, deadline);
    state.emit(effect::Effect::Dispatch(dispatch));
}

/// Tells whether a broken stream may wait for its service to recover.
pub fn may_wait(state: &state::State, now: time::Time, id: u64) -> bool {
    let Some(flight) = state.flights.get(&id).filter(|f| f.started && !f.detached) else {
        return false;
    };
    let open = match flight.stage {
        flight::Stage::Backoff(limit) => now < limit,
        _ => true,
    };
    open && flight.repeatable() && state.fleet.is_failing(&flight.service.name)
}

/// Lets a broken stream wait.
pub fn hold(state: &mut state::State, now: time::Time, id: u64) {
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    if !matches!(flight.stage, flight::Stage::Backoff(_)) {
        flight.stage = flight::Stage::Backoff(now.after(RESUME_WAIT));
    }
    state.set_timer(id, now.after(RESUME_POLL));
}

/// Goes on with a waiting request; while its service fails, only as the retry budget allows.
pub fn go_on(state: &mut state::State, now: time::Time, id: u64) {
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    let service = flight.service.name.clone();
    if may_wait(state, now, id) && !state.budget.spend(now, &service) {
        return hold(state, now, id);
    }
    launch(state, now, id);
}

/// Leaves half of the time for another upstream where a run may be repeated, and waits for the end
/// of any other run as long as it can be recorded.
fn patience(flight: &flight::Flight, now: time::Time, deadline: time::Time) -> time::Time {
    match flight.repeatable() {
        true => now.after(now.until(deadline) / 2),
        false => deadline.after(CLAIM_GRACE),
    }
}

/// A broken stream waits for an upstream, and a new request for the moment in which a full pool
/// frees a slot; anything else is refused at once.
fn wait_or_refuse(
    state: &mut state::State,
    now: time::Time,
    id: u64,
    exhausted: routing::Exhausted,
) {
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    let limit = match flight.stage {
        flight::Stage::Backoff(limit) => limit,
        _ if flight.started => now.after(RESUME_WAIT),
        _ => flight.deadline.min(now.after(SLOT_WAIT)),
    };
    let hopeless = !flight.started && exhausted.retry_at > limit;
    if now >= limit || hopeless {
        let refusal = no_upstream(flight, exhausted);
        return give_up(state, now, id, refusal);
    }
    flight.stage = flight::Stage::Backoff(limit);
    flight.excluded.clear();
    state.set_timer(id, now.after(RESUME_POLL).min(limit));
}

fn no_upstream(flight: &flight::Flight, exhausted: routing::Exhausted) -> refusal::Refusal {
    let retry_at = Some(exhausted.retry_at);
    if !flight.started {
        return arrival::not_run(refusal::Code::NoUpstream, retry_at);
    }
    let verdict = verdict::Verdict::MayHaveRun;
    refusal::Refusal {
        code: refusal::Code::UpstreamFailed,
        verdict,
        retry_at,
    }
}

/// Whether a claim only looks for an earlier run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Lookup {
    No,
    Yes,
}

fn claim_of(flight: &flight::Flight, key: name::Name, lookup: Lookup) -> ledger::Claim {
    ledger::Claim {
        request: flight.request.id,
        key,
        fingerprint: flight.request.fingerprint,
        deadline: flight.deadline.after(CLAIM_GRACE),
        lookup: lookup == Lookup::Yes,
        repeatable: flight.repeatable(),
    }
}

/// Tells whether an earlier run of the key may answer the request in place of a refusal.
fn may_have_answer(state: &state::State, id: u64, refusal: refusal::Refusal) -> bool {
    let lack = matches!(
        refusal.code,
        refusal::Code::Limited | refusal::Code::NoUpstream | refusal::Code::Overloaded
    );
    let waits = |f: &flight::Flight| {
        f.needs_claim() && !f.detached && !matches!(f.stage, flight::Stage::Looking(_))
    };
    lack && state.flights.get(&id).is_some_and(waits)
}

fn look_up(state: &mut state::State, now: time::Time, id: u64, refusal: refusal::Refusal) {
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    let Some(key) = arrival::ledger_key(flight) else {
        return;
    };
    flight.stage = flight::Stage::Looking(refusal);
    let claim = claim_of(flight, key, Lookup::Yes);
    let deadline = flight.deadline;
    state.set_timer(id, deadline);
    record::drive(state, now, ledger::Input::Claim(claim));
}

/// Gives the final answer and ends the flight, releasing an unused claim.
///
/// A request that lacks only capacity gets the kept answer of an earlier run if there is one.
pub fn give_up(state: &mut state::State, now: time::Time, id: u64, refusal: refusal::Refusal) {
    if may_have_answer(state, id, refusal) {
        return look_up(state, now, id, refusal);
    }
    let verdict = truth(state, id, refusal.verdict);
    refuse(state, id, refusal);
    close_claim(state, now, id, verdict);
    end(state, now, id, false);
}

fn close_claim(state: &mut state::State, now: time::Time, id: u64, verdict: verdict::Verdict) {
    let claim = state.flights.get_mut(&id).and_then(|f| f.claim.take());
    let Some(operation) = claim else {
        return;
    };
    let input = match verdict {
        verdict::Verdict::NotRun => ledger::Input::Release { operation },
        _ => ledger::Input::Unclear { operation },
    };
    record::drive(state, now, input);
}

/// Returns what may be said of a request after all of its attempts, given a verdict on the last.
pub fn truth(state: &state::State, id: u64, last: verdict::Verdict) -> verdict::Verdict {
    match last {
        verdict::Verdict::NotRun if state.flights.get(&id).is_some_and(|f| f.unclear) => {
            verdict::Verdict::MayHaveRun
        }
        _ => last,
    }
}

/// Gives a final answer unless the caller has one.
pub fn refuse(state: &mut state::State, id: u64, mut refusal: refusal::Refusal) {
    refusal.verdict = truth(state, id, refusal.verdict);
    if state.flights.get(&id).is_some_and(|f| f.detached) {
        return;
    }
    if let Some(flight) = state.flights.get_mut(&id) {
        flight.detached = true;
    }
    state.emit(effect::Effect::Refuse {
        request: id,
        refusal,
    });
}

/// Frees what a request holds and lets the next quarantined one go.
pub fn end(state: &mut state::State, now: time::Time, id: u64, completed: bool) {
    let Some(flight) = forget(state, id) else {
        return;
    };
    state.admission.release(now, id, completed);
    let capacity = state.fleet.capacity(now, &flight.service.name);
    state
        .admission
        .set_capacity(now, &flight.service.name, capacity);
    let effects = match completed {
        true => state.quarantine.finished(now, id),
        false => state.quarantine.released(now, id),
    };
    quarantine::apply(state, now, effects);
}

/// Drops a flight from the tables.
pub fn forget(state: &mut state::State, id: u64) -> Option<flight::Flight> {
    let flight = state.flights.remove(&id)?;
    state.timers.remove(&state::Timer {
        at: flight.timer,
        request: id,
    });
    if let flight::Stage::Running(running) = &flight.stage {
        state.attempts.remove(&running.attempt);
    }
    state.emit(effect::Effect::Ended { request: id });
    Some(flight)
}

fn set_stage(state: &mut state::State, id: u64, stage: flight::Stage) {
    if let Some(flight) = state.flights.get_mut(&id) {
        flight.stage = stage;
    }
}
