//! Deadlines of requests and the planned stop.

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

/// How long a stopping entry still takes requests while the balancer learns of it.
const LAME_DUCK: Duration = Duration::from_secs(3);

/// How long before the end of a stop the open streams are told to reconnect.
const HANDOVER: Duration = Duration::from_secs(2);

/// Does all that is due.
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
        due(state, now, timer.request);
    }
}

/// Begins a planned stop; a second one can only bring the end closer.
pub fn stop(state: &mut state::State, now: time::Time, deadline: time::Time) {
    let third = now.until(deadline) / 3;
    let refuse_at = now.after(third.min(LAME_DUCK));
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

/// Tells open streams to reconnect near the end of a stop, and reports when all is done.
pub fn progress_stop(state: &mut state::State, now: time::Time) {
    let Some(stop) = state.stop else {
        return;
    };
    if now.after(HANDOVER) >= stop.deadline {
        hand_over(state, now);
    }
    let done = now >= stop.refuse_at && state.active_requests.is_empty();
    if done || now >= stop.deadline {
        state.emit(effect::Effect::Stopped);
    }
}

fn hand_over(state: &mut state::State, now: time::Time) {
    let open: Vec<u64> = state
        .active_requests
        .iter()
        .filter(|(_, a)| !a.detached)
        .map(|(id, _)| *id)
        .collect();
    for id in open {
        let verdict = verdict_now(state, id);
        let code = refusal::Code::Stopping;
        let refusal = refusal::Refusal {
            code,
            verdict,
            retry_at: Some(now),
        };
        expire(state, now, id, refusal);
    }
}

fn due(state: &mut state::State, now: time::Time, id: u64) {
    let Some(active) = state.active_requests.get(&id) else {
        return;
    };
    match active.stage {
        active_request::Stage::Recording => claims::relay_response(state, now, id),
        active_request::Stage::Backoff(_) => wait::retry(state, now, id),
        _ if active.detached => {
            let refusal = late(state, now, id);
            attempt::cancel(state, now, id);
            close::give_up(state, now, id, refusal);
        }
        _ => {
            let refusal = late(state, now, id);
            expire(state, now, id, refusal);
        }
    }
}

fn late(state: &state::State, now: time::Time, id: u64) -> refusal::Refusal {
    refusal::Refusal {
        code: refusal::Code::Deadline,
        verdict: verdict_now(state, id),
        retry_at: Some(now.after(close::DEFAULT_RETRY_DELAY)),
    }
}

fn verdict_now(state: &state::State, id: u64) -> verdict::Verdict {
    let running = |a: &active_request::ActiveRequest| {
        a.started || matches!(a.stage, active_request::Stage::Running(_))
    };
    match state.active_requests.get(&id).is_some_and(running) {
        true => verdict::Verdict::MayHaveRun,
        false => verdict::Verdict::NotRun,
    }
}

/// Gives the final answer; a claimed run goes on for a while so that its end is recorded.
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
