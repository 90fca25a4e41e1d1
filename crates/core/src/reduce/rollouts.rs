//! Rollouts at an entry: choice of versions, samples of attempts, halts by this entry alone and
//! totals for the controller.

use std::time::Duration;

use crate::active_request;
use crate::name;
use crate::peering;
use crate::reduce::{self, peers};
use crate::rollout;
use crate::state;
use crate::time;

/// How often the samples are evaluated while a rollout is in progress.
const EVALUATION_PERIOD: Duration = Duration::from_millis(250);

/// How often the totals are reported to the controller while a rollout is in progress.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Next times of the periodic tasks during a rollout.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    /// When the samples are evaluated next.
    pub evaluate_at: time::Time,
    /// When the totals are reported next.
    pub report_at: time::Time,
}

/// Result of an attempt as far as its version is responsible for it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// Whether the upstream failed the request.
    pub failed: bool,
    /// Tokens that the attempt delivered.
    pub tokens: u32,
}

/// Applies a new rollout document.
///
/// # Errors
///
/// Returns a description of the fault if the body cannot be decoded.
pub fn adopt(state: &mut state::State, now: time::Time, body: &[u8]) -> Result<(), String> {
    let book = rollout::Table::decode(body).map_err(|e| e.to_string())?;
    let statuses = book.list();
    state.split.adopt(&statuses);
    state.monitor.adopt(&statuses);
    let active = statuses.iter().any(|s| !s.phase.is_end());
    let fresh = Schedule {
        evaluate_at: now.after(EVALUATION_PERIOD),
        report_at: now.after(REPORT_PERIOD),
    };
    state.monitor_schedule = active.then(|| state.monitor_schedule.unwrap_or(fresh));
    Ok(())
}

/// Chooses the version for the next request of a service.
pub fn choose_version(
    state: &mut state::State,
    now: time::Time,
    service: &name::Name,
    declared: &name::Name,
) -> name::Name {
    if state.monitor_schedule.is_some() {
        state.split.expire(now);
    }
    state.split.choose(service, declared)
}

/// Records an attempt as a sample of its version.
pub fn record_attempt(
    state: &mut state::State,
    now: time::Time,
    id: u64,
    running: &active_request::Running,
    result: AttemptResult,
) {
    let Some(active) = state.active_requests.get(&id) else {
        return;
    };
    let first = running.first_token.or((!result.failed).then_some(now));
    let micros = |from: time::Time, to: time::Time| from.until(to).as_micros() as u64;
    let gaps = u64::from(result.tokens.saturating_sub(1));
    let sample = rollout::Sample {
        failed: result.failed,
        first_token: first.map_or(0, |first| micros(running.sent_at, first)),
        expected: micros(running.sent_at, running.choice.expected),
        gap: first
            .map_or(0, |first| micros(first, now))
            .checked_div(gaps)
            .unwrap_or(0),
        loaded: state.fleet.is_loaded(now, &running.choice.upstream),
    };
    let service = active.service.name.clone();
    let route = active.route.name.clone();
    state
        .monitor
        .record(now, &service, &running.choice.version, &route, sample);
}

/// Evaluates the samples and reports the totals when that is due.
pub fn tick(state: &mut state::State, now: time::Time) {
    let Some(mut schedule) = state.monitor_schedule else {
        return;
    };
    if schedule.evaluate_at <= now {
        schedule.evaluate_at = now.after(EVALUATION_PERIOD);
        for fact in state.monitor.detect_regressions(now) {
            reduce::publish_fact(state, now, fact, now.after(rollout::HALT_RETENTION));
        }
    }
    if schedule.report_at <= now {
        schedule.report_at = now.after(REPORT_PERIOD);
        let reports = state.monitor.drain();
        peers::handle_input(state, now, peering::Input::Report(reports));
    }
    state.monitor_schedule = Some(schedule);
}
