//! Timers: deadlines of requests and the planned stop.

use std::time::Duration;

use crate::active_request;
use crate::effect;
use crate::ledger;
use crate::peering;
use crate::reduce::{attempt, claims, close, document, peers, quarantine, rollouts, status, wait};
use crate::refusal;
use crate::state;
use crate::time;
use crate::verdict;

/// How long a stopping entry still accepts requests while the load balancer detects that it is
/// unready.
const LAME_DUCK_PERIOD: Duration = Duration::from_secs(3);

/// How long before the end of a planned stop the open streams are asked to reconnect.
const RECONNECT_LEAD: Duration = Duration::from_secs(2);

/// Runs everything that is due.
pub fn tick(state: &mut state::State, now: time::Time) {
    peers::handle_input(state, now, peering::Input::Tick);
    claims::handle_input(state, now, ledger::Input::Tick);
    document::run_due_calls(state, now);
    rollouts::tick(state, now);
    status::tick(state, now);
    let effects = state.quarantine.tick(now);
    quarantine::apply(state, now, effects);
    while let Some(timer) = state.timers.first().copied().filter(|t| t.at <= now) {
        state.timers.remove(&timer);
        handle_timer(state, now, timer.request);
    }
}

/// Starts a planned stop; a second one can only bring its times forward.
pub fn stop(state: &mut state::State, now: time::Time, deadline: time::Time) {
    let third = now.until(deadline) / 3;
    let refuse_at = now
        .after(third.min(LAME_DUCK_PERIOD))
        .min(deadline.before(RECONNECT_LEAD));
    let new = state::Stop {
        refuse_at,
        deadline,
    };
    let stop = state.stop.unwrap_or(new);
    state.stop = Some(state::Stop {
        refuse_at: stop.refuse_at.min(refuse_at),
        deadline: stop.deadline.min(deadline),
    });
}

/// Asks open streams to reconnect near the end of a stop, and emits [`effect::Effect::Stopped`]
/// once no request is left or the deadline has passed.
pub fn progress_stop(state: &mut state::State, now: time::Time) {
    let Some(stop) = state.stop else {
        return;
    };
    if now.after(RECONNECT_LEAD) >= stop.deadline {
        ask_to_reconnect(state, now);
    }
    let done = now >= stop.refuse_at && state.active_requests.is_empty();
    if done || now >= stop.deadline {
        state.emit(effect::Effect::Stopped);
    }
}

fn ask_to_reconnect(state: &mut state::State, now: time::Time) {
    let open: Vec<u64> = state
        .active_requests
        .iter()
        .filter(|(_, a)| !a.detached)
        .map(|(id, _)| *id)
        .collect();
    for id in open {
        let verdict = current_verdict(state, id);
        let code = refusal::Code::Stopping;
        let refusal = refusal::Refusal {
            code,
            verdict,
            retry_at: Some(now),
        };
        expire(state, now, id, refusal);
    }
}

fn handle_timer(state: &mut state::State, now: time::Time, id: u64) {
    let Some(active) = state.active_requests.get(&id) else {
        return;
    };
    match active.stage {
        active_request::Stage::Recording => claims::relay_response(state, now, id),
        active_request::Stage::Backoff(_) => wait::retry(state, now, id),
        _ if active.detached => {
            let refusal = deadline_refusal(state, now, id);
            attempt::cancel(state, now, id);
            close::give_up(state, now, id, refusal);
        }
        _ => {
            let refusal = deadline_refusal(state, now, id);
            expire(state, now, id, refusal);
        }
    }
}

fn deadline_refusal(state: &state::State, now: time::Time, id: u64) -> refusal::Refusal {
    refusal::Refusal {
        code: refusal::Code::Deadline,
        verdict: current_verdict(state, id),
        retry_at: Some(now.after(close::DEFAULT_RETRY_DELAY)),
    }
}

fn current_verdict(state: &state::State, id: u64) -> verdict::Verdict {
    let running = |a: &active_request::ActiveRequest| {
        a.started || matches!(a.stage, active_request::Stage::Running(_))
    };
    match state.active_requests.get(&id).is_some_and(running) {
        true => verdict::Verdict::MayHaveRun,
        false => verdict::Verdict::NotRun,
    }
}

/// Relays a response that is only held until it is recorded, and refuses any other request; a
/// claimed run continues for [`active_request::CLAIM_GRACE`] so that its end is recorded.
fn expire(state: &mut state::State, now: time::Time, id: u64, refusal: refusal::Refusal) {
    let Some(active) = state.active_requests.get(&id) else {
        return;
    };
    if matches!(active.stage, active_request::Stage::Recording) {
        return claims::relay_response(state, now, id);
    }
    if active.claim.is_some() && refusal.verdict != verdict::Verdict::NotRun {
        close::refuse(state, id, refusal);
        return state.set_timer(id, now.after(active_request::CLAIM_GRACE));
    }
    if refusal.code == refusal::Code::Deadline {
        attempt::record_missed_deadline(state, now, id);
    }
    attempt::cancel(state, now, id);
    close::give_up(state, now, id, refusal);
}
