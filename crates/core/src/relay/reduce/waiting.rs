//! Requests that wait for a slot: who waits, who is refused at once, and who gets a slot next.

use std::time::Duration;

use super::dispatch;
use super::refuse;
use crate::refusal;
use crate::relay::flight;
use crate::relay::request;
use crate::relay::slot_usage;
use crate::relay::state;
use crate::relay::waiting;
use crate::time;

/// Factor on an expected wait. Without it a queue in a lasting overload is as long as the latest start
/// of its requests allows, and any further delay makes all of them late.
const WAIT_MARGIN: u32 = 2;
/// Shortest wait that is worth queueing for, since slots become free at any moment.
const MIN_WAIT: Duration = Duration::from_millis(50);

/// Sends a request that has arrived, queues it or refuses it.
pub(super) fn admit(state: &mut state::State, now: time::Time, id: u64) {
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    let request = &flight.request;
    let is_behind = state.queue.is_behind(&request.service, request.rank());
    if !is_behind && has_room(state, now, request) {
        return dispatch::dispatch(state, now, id);
    }
    let entry = entry(state, now, request);
    let wait = expected_wait(state, now, request);
    if now.after(wait.max(MIN_WAIT) * WAIT_MARGIN) > entry.start_by {
        return refuse(state, now, id);
    }
    if let Some(last) = state.queue.push(entry) {
        refuse(state, now, last);
    }
    start_waiting(state, now);
}

/// Sends the waiting requests for which there is room, and refuses those that cannot be on time any
/// more.
pub(super) fn start_waiting(state: &mut state::State, now: time::Time) {
    if state.queue.is_empty() {
        return;
    }
    for id in state.queue.overdue(now) {
        refuse(state, now, id);
    }
    let mut full = Vec::new();
    let waiting: Vec<_> = state
        .queue
        .iter()
        .map(|r| (r.id, r.service.clone()))
        .collect();
    for (id, service) in waiting {
        if full.contains(&service) {
            continue;
        }
        let Some(flight) = state.flights.get(&id) else {
            state.queue.remove(id);
            continue;
        };
        if !has_room(state, now, &flight.request) {
            // Those behind it have the same rank or a lower one.
            full.push(service);
            continue;
        }
        state.queue.remove(id);
        dispatch::dispatch(state, now, id);
    }
}

/// Returns how many slots of each engine a request leaves to those of higher ranks.
pub(super) fn reserve(state: &state::State, now: time::Time, request: &request::Request) -> u32 {
    let Some(pool) = pool(state, now, request) else {
        return 0;
    };
    state
        .slot_usage
        .reserve(now, &request.service, request.rank(), pool)
}

/// Records that an attempt of a request takes a slot.
pub(super) fn occupy(state: &mut state::State, now: time::Time, id: u64) {
    if let Some(flight) = state.flights.get(&id) {
        let request = &flight.request;
        let (service, rank) = (&request.service, request.rank());
        let goal = request.route.goal;
        state.slot_usage.begin(now, service, rank, goal);
    }
}

/// Records that an attempt of a request has given back its slot.
pub(super) fn release(
    usage: &mut slot_usage::SlotUsage,
    now: time::Time,
    request: &request::Request,
    attempt: &flight::Attempt,
) {
    let slot_time = attempt.has_first_event.then(|| attempt.began.until(now));
    usage.end(now, &request.service, request.rank(), slot_time);
}

/// Returns `true` if an engine has a slot for a request, or if its rank is the highest: engines
/// admit that first.
fn has_room(state: &state::State, now: time::Time, request: &request::Request) -> bool {
    let reserve = reserve(state, now, request);
    reserve == 0 || state.fleet.has_room(now, &request.service, reserve)
}

fn pool(
    state: &state::State,
    now: time::Time,
    request: &request::Request,
) -> Option<slot_usage::Pool> {
    let mut available = state.fleet.available(now);
    let first = available.find(|e| e.service == request.service)?;
    let others = available.filter(|e| e.service == request.service);
    Some(slot_usage::Pool {
        engines: others.count() + 1,
        slots: first.slots,
        instances: state.peers.instances(),
    })
}

fn entry(state: &state::State, now: time::Time, request: &request::Request) -> waiting::Waiting {
    let speed = state
        .fleet
        .first_event_delay(&request.service, request.prompt);
    let start_by = request.goal.before(speed).min(request.deadline);
    waiting::Waiting {
        id: request.id,
        service: request.service.clone(),
        workspace: request.workspace.clone(),
        rank: request.rank(),
        work: state.fleet.prefill_time(&request.service, request.prompt),
        start_by: start_by.max(now),
    }
}

/// Returns the time until a slot is expected for a new request, behind those that wait.
fn expected_wait(state: &state::State, now: time::Time, request: &request::Request) -> Duration {
    let (service, rank) = (&request.service, request.rank());
    let slot_time = state.slot_usage.slot_time(service, rank);
    let (Some(slot_time), Some(pool)) = (slot_time, pool(state, now, request)) else {
        return Duration::ZERO;
    };
    let usable = pool.slots.saturating_sub(reserve(state, now, request));
    let own_slots = f64::from(usable.max(1)) * pool.engines as f64 / pool.instances as f64;
    let ahead = state.queue.ahead(service, rank) as f64 + 1.0;
    slot_time.mul_f64(ahead / own_slots.max(1.0))
}

/// Refuses a request for lack of room. Its caller is asked to return when what waits is done.
fn refuse(state: &mut state::State, now: time::Time, id: u64) {
    state.queue.remove(id);
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    let request = &flight.request;
    let wait = expected_wait(state, now, request);
    let at = now.after(wait).after(dispatch::retry_jitter(request));
    let code = refusal::Code::Overloaded;
    refuse::give_up_with_delay(state, now, id, code, Some(at), Some(wait));
}
