//! Silent attempts: each is kept until another attempt of its request has responded.

use std::time::Duration;

use crate::active_request;
use crate::effect;
use crate::event;
use crate::reduce::{attempt, dispatch};
use crate::routing;
use crate::state;
use crate::time;
use crate::verdict;

/// How long an attempt of a started stream may be silent if nothing responds in its place.
///
/// Its caller may leave before; this frees what an upstream that never responds again holds.
const MAX_SILENCE: Duration = Duration::from_secs(120);

/// Handles the silence of the running attempt, which the runtime does not read until it is resumed.
///
/// If another upstream can take the request, it gets it and this attempt is paused. Otherwise an
/// attempt goes on: the one that is paused already, or else this one.
pub fn handle(state: &mut state::State, now: time::Time, id: u64, offset: u32) {
    let Some(since) = record(state, now, id, offset) else {
        return;
    };
    if since.until(now) >= MAX_SILENCE {
        return give_up(state, now, id, offset);
    }
    match select(state, now, id, offset) {
        Some(selection) => replace(state, now, id, selection),
        None => resume_next(state, id),
    }
}

/// Ends the paused attempt of a request whose running attempt has responded.
pub fn end_paused(state: &mut state::State, now: time::Time, id: u64) {
    let Some(paused) = attempt::take_paused(state, id) else {
        return;
    };
    if let Some(active) = state.active_requests.get_mut(&id) {
        active.may_have_run = true;
    }
    // Its silence has been counted already.
    state
        .fleet
        .end(now, paused.attempt, routing::Outcome::Cancelled);
    attempt::record_failure(state, now, id, &paused, failure(0));
    state.emit(effect::Effect::Cancel {
        request: id,
        attempt: paused.attempt,
    });
}

/// Lets the paused attempt go on in the place of one that has ended; returns `true` if there is one.
pub fn resume_paused(state: &mut state::State, id: u64) -> bool {
    let Some(active) = state.active_requests.get_mut(&id) else {
        return false;
    };
    let Some(paused) = active.paused.take() else {
        return false;
    };
    let timer = active.response_timer();
    let attempt = paused.attempt;
    active.stage = active_request::Stage::Running(paused);
    state.set_timer(id, timer);
    state.emit(effect::Effect::Resume {
        request: id,
        attempt,
    });
    true
}

/// Records the silence and the progress before it; returns since when the attempt is silent.
fn record(state: &mut state::State, now: time::Time, id: u64, offset: u32) -> Option<time::Time> {
    let active = state.active_requests.get_mut(&id)?;
    let has_progressed = active.record_progress(offset);
    let active_request::Stage::Running(running) = &mut active.stage else {
        return None;
    };
    let since = running.silent_since.filter(|_| !has_progressed);
    running.silent_since = since.or(Some(now));
    if since.is_none() {
        state.fleet.record_silence(now, running.attempt);
    }
    running.silent_since
}

/// Selects another upstream for a request and spends a retry, if the request may run there as well.
///
/// A request that may crash its upstream runs at one at a time.
fn select(
    state: &mut state::State,
    now: time::Time,
    id: u64,
    offset: u32,
) -> Option<dispatch::Selection> {
    let active = state.active_requests.get_mut(&id)?;
    active.exclude_running();
    if !state.quarantine.is_clear(active.request.fingerprint) {
        return None;
    }
    let selection = dispatch::select(state, now, id);
    let Some(selection) = selection.filter(|s| !state.fleet.is_ejected(now, &s.choice.upstream))
    else {
        let active = state.active_requests.get_mut(&id)?;
        active.excluded.clear();
        return None;
    };
    attempt::may_retry(state, now, id, failure(offset)).then_some(selection)
}

/// Pauses the running attempt, instead of one that is paused already, and sends another one.
fn replace(state: &mut state::State, now: time::Time, id: u64, selection: dispatch::Selection) {
    end_paused(state, now, id);
    let Some(active) = state.active_requests.get_mut(&id) else {
        return;
    };
    let stage = std::mem::replace(&mut active.stage, active_request::Stage::Queued);
    if let active_request::Stage::Running(running) = stage {
        active.paused = Some(running);
    }
    dispatch::send(state, now, id, selection);
}

/// Resumes the paused attempt in the place of the running one, or else the running one itself.
fn resume_next(state: &mut state::State, id: u64) {
    let Some(active) = state.active_requests.get_mut(&id) else {
        return;
    };
    active.swap_paused();
    if let active_request::Stage::Running(running) = &active.stage {
        let attempt = running.attempt;
        state.emit(effect::Effect::Resume {
            request: id,
            attempt,
        });
    }
}

/// Ends an attempt that has been silent for too long.
fn give_up(state: &mut state::State, now: time::Time, id: u64, offset: u32) {
    let active = state.active_requests.get(&id);
    let Some(active_request::Stage::Running(running)) = active.map(|a| &a.stage) else {
        return;
    };
    let attempt = running.attempt;
    state.emit(effect::Effect::Cancel {
        request: id,
        attempt,
    });
    attempt::handle_failure(state, now, id, failure(offset));
}

fn failure(offset: u32) -> event::Failure {
    event::Failure {
        verdict: verdict::Verdict::MayHaveRun,
        crashed: false,
        offset,
    }
}
