//! Progress, completion and failure of attempts.

use std::time::Duration;

use crate::active_request;
use crate::declaration;
use crate::effect;
use crate::event;
use crate::ledger;
use crate::reduce::{claims, close, dispatch, quarantine, rollouts, silence, wait};
use crate::refusal;
use crate::retry;
use crate::routing;
use crate::state;
use crate::time;
use crate::verdict;

/// Attempts without progress after which a request is not retried.
const MAX_ATTEMPTS: u32 = 4;

/// How long a complete response is held until the ledger has recorded it.
const RECORD_WAIT: Duration = Duration::from_millis(500);

/// Handles progress or the end of an attempt; ignores attempts that are no longer current.
pub fn handle_signal(
    state: &mut state::State,
    now: time::Time,
    attempt: u64,
    signal: event::Signal,
) {
    let Some(&id) = state.attempts.get(&attempt) else {
        return;
    };
    let active = state.active_requests.get_mut(&id);
    if let Some(active) = active.filter(|a| a.is_paused(attempt)) {
        active.swap_paused();
    }
    match signal {
        event::Signal::FirstToken => handle_first_token(state, now, attempt, id),
        event::Signal::Silent { offset } => silence::handle(state, now, id, offset),
        event::Signal::Finished(finish) => handle_finish(state, now, id, finish),
        event::Signal::Refused => handle_refusal(state, now, id),
        event::Signal::Failed(failure) => handle_failure(state, now, id, failure),
    }
}

/// Ends a request whose caller has disconnected.
///
/// A claimed request to a plain service keeps running so that its end is recorded.
pub fn abandon(state: &mut state::State, now: time::Time, id: u64) {
    let Some(active) = state.active_requests.get_mut(&id) else {
        return;
    };
    active.detached = true;
    let claimed = active.claim.is_some() || matches!(active.stage, active_request::Stage::Claiming);
    if claimed && active.service.kind == declaration::Kind::Plain {
        return;
    }
    let code = refusal::Code::Deadline;
    let verdict = verdict::Verdict::MayHaveRun;
    cancel(state, now, id);
    close::give_up(
        state,
        now,
        id,
        refusal::Refusal {
            code,
            verdict,
            retry_at: None,
        },
    );
}

/// Records a missed deadline as a failure of the version that was running the request.
pub fn record_missed_deadline(state: &mut state::State, now: time::Time, id: u64) {
    let active = state.active_requests.get(&id);
    let Some(active_request::Stage::Running(running)) = active.map(|a| a.stage.clone()) else {
        return;
    };
    if !is_leaving(state, &running) {
        let result = rollouts::AttemptResult {
            failed: true,
            tokens: 0,
        };
        rollouts::record_attempt(state, now, id, &running, result);
    }
}

/// Cancels the attempts in progress.
pub fn cancel(state: &mut state::State, now: time::Time, id: u64) {
    let attempts = [take_running(state, id), take_paused(state, id)];
    for running in attempts.into_iter().flatten() {
        state
            .fleet
            .end(now, running.attempt, routing::Outcome::Cancelled);
        state.emit(effect::Effect::Cancel {
            request: id,
            attempt: running.attempt,
        });
    }
}

fn handle_first_token(state: &mut state::State, now: time::Time, attempt: u64, id: u64) {
    silence::end_paused(state, now, id);
    state.fleet.first_token(now, attempt);
    let Some(active) = state.active_requests.get_mut(&id) else {
        return;
    };
    active.started = true;
    if let active_request::Stage::Running(running) = &mut active.stage {
        running.first_token.get_or_insert(now);
        running.silent_since = None;
    }
    state.set_timer(id, time::Time::MAX);
    let effects = state.quarantine.first_token(now, id);
    quarantine::apply(state, now, effects);
}

fn handle_finish(state: &mut state::State, now: time::Time, id: u64, finish: event::Finish) {
    silence::end_paused(state, now, id);
    let Some(running) = take_running(state, id) else {
        return;
    };
    let result = rollouts::AttemptResult {
        failed: finish.failed,
        tokens: finish.tokens,
    };
    rollouts::record_attempt(state, now, id, &running, result);
    let outcome = match finish.failed {
        true => routing::Outcome::Failed,
        false => routing::Outcome::Finished {
            prompt: finish.prompt,
            cached: finish.cached,
        },
    };
    state.fleet.end(now, running.attempt, outcome);
    let Some(active) = state.active_requests.get_mut(&id) else {
        return;
    };
    let Some(operation) = active.claim else {
        return claims::relay_response(state, now, id);
    };
    active.stage = active_request::Stage::Recording;
    state.set_timer(id, now.after(RECORD_WAIT));
    let input = match finish.kept {
        Some(response) => ledger::Input::Complete {
            operation,
            response,
        },
        None => ledger::Input::Unclear { operation },
    };
    claims::handle_input(state, now, input);
}

fn handle_refusal(state: &mut state::State, now: time::Time, id: u64) {
    let Some(running) = take_running(state, id) else {
        return;
    };
    state
        .fleet
        .end(now, running.attempt, routing::Outcome::Refused);
    let failure = event::Failure {
        verdict: verdict::Verdict::NotRun,
        crashed: false,
        offset: offset(state, id),
    };
    retry_or_refuse(state, now, id, running, failure);
}

/// Handles the failure of the running attempt.
pub fn handle_failure(state: &mut state::State, now: time::Time, id: u64, failure: event::Failure) {
    let Some(running) = take_running(state, id) else {
        return;
    };
    state
        .fleet
        .end(now, running.attempt, routing::Outcome::Failed);
    record_failure(state, now, id, &running, failure);
    retry_or_refuse(state, now, id, running, failure);
}

fn is_leaving(state: &state::State, running: &active_request::Running) -> bool {
    let highest = state.leaving.get(&running.choice.upstream);
    highest.is_some_and(|incarnation| *incarnation >= running.choice.incarnation)
}

/// Records a failure of the version and, after a crash of the upstream, suspects the request; that an
/// upstream which is leaving fails says nothing.
pub fn record_failure(
    state: &mut state::State,
    now: time::Time,
    id: u64,
    running: &active_request::Running,
    failure: event::Failure,
) {
    if is_leaving(state, running) {
        return;
    }
    let tokens = failure.offset.saturating_sub(offset(state, id));
    rollouts::record_attempt(
        state,
        now,
        id,
        running,
        rollouts::AttemptResult {
            failed: true,
            tokens,
        },
    );
    let Some(active) = state.active_requests.get(&id).filter(|_| failure.crashed) else {
        return;
    };
    let fingerprint = active.request.fingerprint;
    let upstream = &running.choice.upstream;
    let effects = state
        .quarantine
        .upstream_crashed(now, fingerprint, id, upstream);
    quarantine::apply(state, now, effects);
}

/// Goes on with the paused attempt of a request. Without one, retries the request or lets it back off
/// where that is allowed, and otherwise refuses it.
fn retry_or_refuse(
    state: &mut state::State,
    now: time::Time,
    id: u64,
    running: active_request::Running,
    failure: event::Failure,
) {
    if !failure.crashed {
        let effects = state.quarantine.released(now, id);
        quarantine::apply(state, now, effects);
    }
    let Some(active) = state.active_requests.get_mut(&id) else {
        return;
    };
    active.record_progress(failure.offset);
    active.may_have_run |= failure.verdict != verdict::Verdict::NotRun;
    active.excluded.push(running.choice.upstream);
    active.stage = active_request::Stage::Queued;
    let timer = active.response_timer();
    state.set_timer(id, timer);
    if silence::resume_paused(state, id) {
        return;
    }
    if may_retry(state, now, id, failure) {
        return dispatch::advance(state, now, id);
    }
    if wait::may_wait(state, now, id) {
        return wait::back_off(state, now, id);
    }
    let verdict = if offset(state, id) > 0 {
        verdict::Verdict::MayHaveRun
    } else {
        close::overall_verdict(state, id, failure.verdict)
    };
    let delay = retry::backoff(id, 0).max(close::DEFAULT_RETRY_DELAY);
    let retry_at = Some(now.after(delay));
    let code = match verdict {
        verdict::Verdict::NotRun => refusal::Code::NoUpstream,
        _ => refusal::Code::UpstreamFailed,
    };
    close::give_up(
        state,
        now,
        id,
        refusal::Refusal {
            code,
            verdict,
            retry_at,
        },
    );
}

/// Returns `true` if the request may be retried now.
///
/// Retries spend the retry budget. Exempt are those of a started stream and those after a crash,
/// which the quarantine limits; while most of the service's upstreams fail, none is exempt.
pub fn may_retry(
    state: &mut state::State,
    now: time::Time,
    id: u64,
    failure: event::Failure,
) -> bool {
    let Some(active) = state.active_requests.get(&id) else {
        return false;
    };
    let unkeyed = !active.route.idempotent && active.request.key.is_none();
    let safe = active.is_retryable() || failure.verdict == verdict::Verdict::NotRun;
    let expired = now >= active.deadline && !active.started;
    if unkeyed || !safe || expired || active.detached || active.tries >= MAX_ATTEMPTS {
        return false;
    }
    let service = active.service.name.clone();
    let exempt = (failure.crashed || active.offset > 0) && !state.fleet.is_failing(&service);
    exempt || state.budget.spend(now, &service)
}

/// Takes the paused attempt out of the tables.
pub fn take_paused(state: &mut state::State, id: u64) -> Option<active_request::Running> {
    let paused = state.active_requests.get_mut(&id)?.paused.take()?;
    state.attempts.remove(&paused.attempt);
    Some(paused)
}

fn offset(state: &state::State, id: u64) -> u32 {
    state.active_requests.get(&id).map_or(0, |a| a.offset)
}

fn take_running(state: &mut state::State, id: u64) -> Option<active_request::Running> {
    let active = state.active_requests.get_mut(&id)?;
    let stage = std::mem::replace(&mut active.stage, active_request::Stage::Queued);
    let active_request::Stage::Running(running) = stage else {
        active.stage = stage;
        return None;
    };
    state.attempts.remove(&running.attempt);
    Some(running)
}
