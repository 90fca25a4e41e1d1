//! Requests that wait: for their turn, for a slot, or for their service to recover.

use std::time::Duration;

use crate::active_request;
use crate::reduce::{close, dispatch};
use crate::refusal;
use crate::routing;
use crate::state;
use crate::time;
use crate::verdict;

/// How long a broken stream may look for an upstream to go on at.
pub const RESUME_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a new request may wait for a slot that admission took for free.
const SLOT_WAIT: Duration = Duration::from_secs(1);

/// How often a waiting request looks for an upstream.
const RESUME_POLL: Duration = Duration::from_millis(100);

/// Goes on with a waiting request; while its service fails, only as the retry budget allows.
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

/// Lets a broken stream wait.
pub fn back_off(state: &mut state::State, now: time::Time, id: u64) {
    let Some(active) = state.active_requests.get_mut(&id) else {
        return;
    };
    if !matches!(active.stage, active_request::Stage::Backoff(_)) {
        active.stage = active_request::Stage::Backoff(now.after(RESUME_TIMEOUT));
    }
    state.set_timer(id, now.after(RESUME_POLL));
}

/// Tells whether a broken stream may wait for its service to recover.
pub fn may_wait(state: &state::State, now: time::Time, id: u64) -> bool {
    let Some(active) = state
        .active_requests
        .get(&id)
        .filter(|a| a.started && !a.detached)
    else {
        return false;
    };
    let open = match active.stage {
        active_request::Stage::Backoff(limit) => now < limit,
        _ => true,
    };
    open && active.is_retryable() && state.fleet.is_failing(&active.service.name)
}

/// Waits for a turn until the deadline; a stream under way waits as long as the quarantine lets it.
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

/// A broken stream waits for an upstream, and a new request for the moment in which a full pool
/// frees a slot; anything else is refused at once.
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
        _ => active.deadline.min(now.after(SLOT_WAIT)),
    };
    let hopeless = !active.started && exhausted.retry_at > limit;
    if now >= limit || hopeless {
        let refusal = no_upstream(active, exhausted);
        return close::give_up(state, now, id, refusal);
    }
    active.stage = active_request::Stage::Backoff(limit);
    active.excluded.clear();
    state.set_timer(id, now.after(RESUME_POLL).min(limit));
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
