//! Requests that wait: to run alone, for a free slot, or for their service to recover.

use std::time::Duration;

use crate::active_request;
use crate::reduce::{close, dispatch};
use crate::refusal;
use crate::routing;
use crate::state;
use crate::time;
use crate::verdict;

/// How long an interrupted stream may wait for an upstream to resume on.
pub const RESUME_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a new request may wait for a slot that admission assumed to be free.
const SLOT_TIMEOUT: Duration = Duration::from_secs(1);

/// How often a waiting request tries to select an upstream.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Retries a waiting request; while its service fails, only within the retry budget.
pub fn retry(state: &mut state::State, now: time::Time, id: u64) {
    let Some(active) = state.active_requests.get(&id) else {
        return;
    };
    let service = active.service.name.clone();
    if may_wait(state, now, id) && !state.budget.spend(now, &service) {
        return back_off(state, now, id);
    }
    dispatch::advance(state, now, id);
}

/// Makes an interrupted stream wait for the next poll.
pub fn back_off(state: &mut state::State, now: time::Time, id: u64) {
    let Some(active) = state.active_requests.get_mut(&id) else {
        return;
    };
    if !matches!(active.stage, active_request::Stage::Backoff(_)) {
        active.stage = active_request::Stage::Backoff(now.after(RESUME_TIMEOUT));
    }
    state.set_timer(id, now.after(POLL_PERIOD));
}

/// Returns `true` if an interrupted stream may wait for its service to recover.
pub fn may_wait(state: &state::State, now: time::Time, id: u64) -> bool {
    let Some(active) = state
        .active_requests
        .get(&id)
        .filter(|a| a.started && !a.detached)
    else {
        return false;
    };
    let has_time = match active.stage {
        active_request::Stage::Backoff(limit) => now < limit,
        _ => true,
    };
    has_time && active.is_retryable() && state.fleet.is_failing(&active.service.name)
}

/// Makes a request wait until it may run alone.
///
/// A new request waits until its deadline, a started stream as long as the quarantine allows.
pub fn await_turn(state: &mut state::State, id: u64) {
    let Some(active) = state.active_requests.get_mut(&id) else {
        return;
    };
    active.stage = active_request::Stage::Quarantined;
    let timer = match active.started {
        true => time::Time::MAX,
        false => active.deadline,
    };
    state.set_timer(id, timer);
}

/// Makes an interrupted stream wait for an upstream, or a new request for a full pool to free a
/// slot; refuses a request whose wait is over or would end before a slot is expected.
pub fn wait_or_refuse(
    state: &mut state::State,
    now: time::Time,
    id: u64,
    exhausted: routing::Exhausted,
) {
    let Some(active) = state.active_requests.get_mut(&id) else {
        return;
    };
    let limit = match active.stage {
        active_request::Stage::Backoff(limit) => limit,
        _ if active.started => now.after(RESUME_TIMEOUT),
        _ => active.deadline.min(now.after(SLOT_TIMEOUT)),
    };
    let too_late = !active.started && exhausted.retry_at > limit;
    if now >= limit || too_late {
        let refusal = no_upstream(active, exhausted);
        return close::give_up(state, now, id, refusal);
    }
    active.stage = active_request::Stage::Backoff(limit);
    active.excluded.clear();
    state.set_timer(id, now.after(POLL_PERIOD).min(limit));
}

fn no_upstream(
    active: &active_request::ActiveRequest,
    exhausted: routing::Exhausted,
) -> refusal::Refusal {
    let retry_at = Some(exhausted.retry_at);
    if !active.started {
        return refusal::Refusal::not_run(refusal::Code::NoUpstream, retry_at);
    }
    let verdict = verdict::Verdict::MayHaveRun;
    refusal::Refusal {
        code: refusal::Code::UpstreamFailed,
        verdict,
        retry_at,
    }
}
