//! Engines that crash while they run requests.

use crate::name;
use crate::relay::crash_report;
use crate::relay::effect;
use crate::relay::failed_attempts;
use crate::relay::fleet;
use crate::relay::saved_suspect;
use crate::relay::state;
use crate::relay::subject;
use crate::time;

/// Records that an attempt in progress is silent or ends without a complete response.
pub(super) fn record_failed_attempt(
    state: &mut state::State,
    now: time::Time,
    id: u64,
    number: usize,
    symptom: failed_attempts::Symptom,
) {
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    let Some(attempt) = flight.attempt(number) else {
        return;
    };
    let choice = &attempt.choice;
    let failed = failed_attempts::FailedAttempt {
        subjects: subject::of_request(&flight.request).collect(),
        engine: choice.engine.clone(),
        incarnation: choice.incarnation,
        symptom,
        at: now,
    };
    match state.fleet.status(now, choice) {
        fleet::Status::Listed => state.failed_attempts.record(failed),
        fleet::Status::Gone => {
            blame(state, now, failed);
            update_blocked(state, now);
        }
        // An engine that announced that it is leaving ends its requests without a crash.
        fleet::Status::Leaving => {}
    }
}

/// Counts the crash of an engine against the requests that it ran.
pub(super) fn record_crash(
    state: &mut state::State,
    now: time::Time,
    engine: &name::Name,
    incarnation: u64,
) {
    for failed in state.failed_attempts.remove_crashed(engine, incarnation) {
        blame(state, now, failed);
    }
    update_blocked(state, now);
}

/// Records that engines have responded completely to a request, or to requests with a part.
pub(super) fn record_successes(
    state: &mut state::State,
    now: time::Time,
    subjects: impl IntoIterator<Item = subject::Subject>,
) {
    for subject in subjects {
        state.suspects.record_success(now, subject);
    }
    update_blocked(state, now);
}

/// Records a response of an engine to an attempt that began at `began`.
pub(super) fn record_response(
    state: &mut state::State,
    now: time::Time,
    choice: &fleet::Choice,
    began: time::Time,
) {
    let complete = state.failed_attempts.record_response(choice, began);
    if !complete.is_empty() {
        record_successes(state, now, complete.into_iter().flat_map(|a| a.subjects));
    }
}

/// Merges another instance's report of crashes.
pub(super) fn merge(state: &mut state::State, now: time::Time, report: &crash_report::CrashReport) {
    if report.sender == state.own.name {
        return;
    }
    let new = state.suspects.merge(now, report);
    update_blocked(state, now);
    if new.is_empty() || state.failed_attempts.is_empty() {
        return;
    }
    for failed in state.failed_attempts.remove_reported(&new) {
        blame(state, now, failed);
    }
    update_blocked(state, now);
}

/// Adopts what is known of crashes in the store.
pub(super) fn restore(
    state: &mut state::State,
    now: time::Time,
    saved: &[saved_suspect::SavedSuspect],
) {
    let micros = state.clock.unix_micros(now);
    state.suspects.restore(now, micros, saved);
    update_blocked(state, now);
}

/// Counts the crashes of engines that have not responded since their connections broke.
pub(super) fn confirm_crashes(state: &mut state::State, now: time::Time) {
    if state.failed_attempts.is_empty() {
        return update_blocked(state, now);
    }
    let flights = &state.flights;
    let is_busy = |failed: &failed_attempts::FailedAttempt| {
        let mut attempts = flights.values().flat_map(|f| &f.running);
        attempts.any(|a| {
            let is_same =
                a.choice.engine == failed.engine && a.choice.incarnation == failed.incarnation;
            is_same && a.began < failed.at
        })
    };
    for failed in state.failed_attempts.remove_confirmed(now, is_busy) {
        blame(state, now, failed);
    }
    update_blocked(state, now);
}

fn blame(state: &mut state::State, now: time::Time, failed: failed_attempts::FailedAttempt) {
    let incarnation = failed.incarnation;
    // A silent engine may have crashed at any time since.
    let at = match failed.symptom {
        failed_attempts::Symptom::Silent => now,
        _ => failed.at,
    };
    let suspects = &mut state.suspects;
    let blamed = failed.subjects.into_iter().map(|subject| effect::Blame {
        subject,
        known: suspects.record_crash(now, subject, &failed.engine, incarnation, at),
    });
    let blamed = blamed.collect();
    state.out.push(effect::Effect::EngineCrashed {
        crash: crash_report::crash_id(&failed.engine, incarnation),
        engine: failed.engine,
        blamed,
    });
}

/// Decides what is blocked after crashes were added or cleared.
fn update_blocked(state: &mut state::State, now: time::Time) {
    for change in state.suspects.update_blocked(now) {
        let peer = state.suspects.reporter().cloned();
        state.suspects.own_evidence += u64::from(change.is_blocked && peer.is_none());
        state
            .out
            .push(effect::Effect::SuspectChanged { change, peer });
    }
}
