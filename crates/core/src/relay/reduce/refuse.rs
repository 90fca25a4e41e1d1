//! Refusals: final responses that do not come from an engine.

use std::time::Duration;

use crate::refusal;
use crate::relay::effect;
use crate::relay::flight;
use crate::relay::request;
use crate::relay::state;
use crate::relay::subject;
use crate::time;
use crate::verdict;

/// Divisor of the time that a request has left; its caller is asked to retry within the quotient.
const RETRY_DIVISOR: u32 = 3;
/// Shortest time after which a caller is asked to retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Refuses a request in progress.
///
/// A request that may have run is never reported as not run. An engine's response takes precedence
/// over a refusal, also if it states a failure.
pub(super) fn give_up(
    state: &mut state::State,
    now: time::Time,
    id: u64,
    code: refusal::Code,
    at: Option<time::Time>,
) {
    give_up_with_delay(state, now, id, code, at, None);
}

/// Like [`give_up`], with the expected delay for the log.
pub(super) fn give_up_with_delay(
    state: &mut state::State,
    now: time::Time,
    id: u64,
    code: refusal::Code,
    at: Option<time::Time>,
    expected: Option<Duration>,
) {
    let holds_response = |flight: &flight::Flight| flight.holds_failure && !flight.responding;
    if code != refusal::Code::Deadline && state.flights.get(&id).is_some_and(holds_response) {
        return state
            .out
            .push(effect::Effect::ForwardFailure { request: id });
    }
    let Some(flight) = state.flights.remove(&id) else {
        return;
    };
    let refusal = if flight.may_have_run {
        let code = match code {
            refusal::Code::Deadline => code,
            _ => refusal::Code::UpstreamFailed,
        };
        refusal::Refusal {
            code,
            verdict: verdict::Verdict::MayHaveRun,
            retry_at: None,
        }
    } else {
        if let Some(workspace) = &flight.request.workspace {
            state.caps.refund(workspace, flight.request.units);
        }
        let code = match code {
            refusal::Code::Deadline => refusal::Code::Overloaded,
            _ => code,
        };
        not_run(code, at.map(|at| retry_time(now, &flight.request, at)))
    };
    let context = effect::RefusalContext {
        expected,
        no_retry: flight.no_retry,
        ..context(state, now, &flight.request, flight.attempts)
    };
    refuse(state, id, refusal, context);
}

/// Limits the retry time to one at which the caller can still be served.
pub(super) fn retry_time(
    now: time::Time,
    request: &request::Request,
    at: time::Time,
) -> time::Time {
    let latest = now.after(now.until(request.deadline) / RETRY_DIVISOR);
    at.max(now.after(MIN_RETRY_DELAY)).min(latest)
}

/// Returns a refusal of a request that has not run.
pub(super) const fn not_run(code: refusal::Code, at: Option<time::Time>) -> refusal::Refusal {
    refusal::Refusal::not_run(code, at)
}

/// Adds the effect that sends a refusal.
pub(super) fn refuse(
    state: &mut state::State,
    id: u64,
    refusal: refusal::Refusal,
    context: effect::RefusalContext,
) {
    state.out.push(effect::Effect::Refuse {
        request: id,
        refusal,
        context,
    });
}

/// Returns the facts that a refusal is based on.
pub(super) fn context(
    state: &state::State,
    now: time::Time,
    request: &request::Request,
    sent: u32,
) -> effect::RefusalContext {
    let available = state.fleet.available(now);
    let subjects = subject::of_request(request);
    effect::RefusalContext {
        engines: available.filter(|e| e.service == request.service).count(),
        limited: state.fleet.limited(now, &request.service),
        free: state.fleet.with_free_slot(now, &request.service),
        expected: None,
        cap_share: state.peers.reachable_share(now),
        sent,
        no_retry: None,
        suspect: state.suspects.find_blocked(now, subjects),
    }
}
