//! Selection of an engine for each attempt, and refusal if none can serve the request.

use std::time::Duration;

use super::probes;
use super::refuse;
use super::waiting;
use crate::name;
use crate::refusal;
use crate::relay::effect;
use crate::relay::fleet;
use crate::relay::flight;
use crate::relay::request;
use crate::relay::rollouts;
use crate::relay::route;
use crate::relay::state;
use crate::relay::subject;
use crate::time;

/// Latest expected first event with which a request is still sent, as a multiple of the time of its
/// goal.
const MAX_LATENESS: f64 = 1.6;
/// The same for a request that would be on time if nothing else were waiting. In an overload the wait
/// grows to whatever is accepted: with a longer one nearly all requests are late.
const MAX_QUEUED_LATENESS: f64 = 1.0;
/// Time after which a request that no engine can serve is worth a retry.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(700);
/// Remaining time below which a request is not sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// Shortest time that an idempotent request waits for its response before another engine is
/// considered.
pub(super) const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);
/// The same as a multiple of the expected time.
const RESPONSE_TIMEOUT_FACTOR: u32 = 4;
/// Gap after which it is considered to continue a stream at another engine, as a multiple of the
/// longest gap that is on time.
const MAX_GAP_FACTOR: u32 = 2;

/// Why a request cannot be sent to an engine now.
pub(super) struct Rejection {
    code: refusal::Code,
    /// When a retry by the caller may succeed.
    retry_at: Option<time::Time>,
    /// Expected time to the first event, if that was the reason.
    expected: Option<Duration>,
    pub reason: effect::NoRetry,
}

impl Rejection {
    fn new(code: refusal::Code, retry_at: Option<time::Time>, reason: effect::NoRetry) -> Self {
        Self {
            code,
            retry_at,
            expected: None,
            reason,
        }
    }
}

/// Sends a request to an engine, or refuses it.
pub(super) fn dispatch(state: &mut state::State, now: time::Time, id: u64) {
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    flight.no_retry = None;
    match choose(state, now, id) {
        Ok(choice) => send(state, now, id, choice),
        Err(Rejection { reason, .. })
            if reason == effect::NoRetry::Suspect && probes::hold(state, now, id) => {}
        Err(rejection) => {
            if let Some(flight) = state.flights.get_mut(&id).filter(|f| f.attempts > 0) {
                flight.no_retry = Some(rejection.reason);
            }
            let Rejection { code, retry_at, .. } = rejection;
            refuse::give_up_with_delay(state, now, id, code, retry_at, rejection.expected);
        }
    }
}

/// Selects an engine for the next attempt of a request in progress.
pub(super) fn choose(
    state: &mut state::State,
    now: time::Time,
    id: u64,
) -> Result<fleet::Choice, Rejection> {
    let no_engine = |at| {
        let code = refusal::Code::NoUpstream;
        Rejection::new(code, Some(at), effect::NoRetry::Engines)
    };
    let Some(flight) = state.flights.get(&id) else {
        return Err(no_engine(now));
    };
    let request = &flight.request;
    let suspects = &state.suspects;
    let is_probe = suspects.probes.is_probe(id) && !flight.may_have_run;
    let blocked = suspects.find_blocked(now, subject::of_request(request));
    if blocked.is_some() && !is_probe {
        let code = refusal::Code::Suspect;
        return Err(Rejection::new(code, None, effect::NoRetry::Suspect));
    }
    if now.after(MIN_TIME_LEFT) >= request.deadline {
        let code = refusal::Code::Deadline;
        return Err(Rejection::new(code, None, effect::NoRetry::Time));
    }
    let (service, route) = (request.service.clone(), request.route.name.clone());
    let is_repeat = !flight.tried.is_empty();
    let wanted = version_filter(state, now, &service, &route, is_repeat);
    let Some(flight) = state.flights.get(&id) else {
        return Err(no_engine(now));
    };
    let request = &flight.request;
    let choice = choose_engine(state, now, flight, &wanted).map_err(|reason| match reason {
        fleet::Unavailability::NotBefore(until) => {
            let at = until.after(retry_jitter(request));
            let code = refusal::Code::Overloaded;
            Rejection::new(code, Some(at), effect::NoRetry::Engines)
        }
        _ => no_engine(now.after(RETRY_DELAY)),
    })?;
    let alone = state
        .fleet
        .first_event_delay(&request.service, choice.uncached);
    let max_lateness = match flight.attempts == 0 && now.after(alone) <= request.goal {
        true => MAX_QUEUED_LATENESS,
        false => MAX_LATENESS,
    };
    let too_late = retry_if_too_late(now, request, choice.expected, max_lateness);
    let Some(at) = too_late.filter(|_| !flight.responding && !is_probe) else {
        return Ok(choice);
    };
    choose_probe(state, now, flight, &wanted).ok_or_else(|| Rejection {
        expected: Some(choice.expected),
        ..Rejection::new(refusal::Code::Overloaded, Some(at), effect::NoRetry::Time)
    })
}

/// Selects an idle engine although it is expected to respond too late, if the request has its whole
/// time left.
fn choose_probe(
    state: &state::State,
    now: time::Time,
    flight: &flight::Flight,
    wanted: &rollouts::VersionFilter,
) -> Option<fleet::Choice> {
    let request = &flight.request;
    let goal = request.arrived.until(request.goal);
    let is_first = flight.tried.is_empty();
    if !is_first || now.until(request.deadline) < goal {
        return None;
    }
    let limits = fleet::Limits {
        excluded: &flight.tried,
        version: wanted.only.as_ref(),
        barred: wanted.excluded.as_ref(),
        reserve: waiting::reserve(state, now, request),
        connections: max_connections(state, &request.service),
    };
    state.fleet.choose_probe(now, request, limits)
}

/// Returns the versions that a rollout wants, as far as they have engines.
fn version_filter(
    state: &mut state::State,
    now: time::Time,
    service: &name::Name,
    route: &name::Name,
    is_repeat: bool,
) -> rollouts::VersionFilter {
    let arrival = rollouts::Arrival {
        service,
        route,
        is_retry: is_repeat,
        micros: state.clock.unix_micros(now),
        instance: &state.own.name,
        // The responses of the own group are known.
        scale: state.peers.instances() as f64 / (state.peers.group_peers().count() + 1) as f64,
    };
    let mut filter = state.rollouts.version_filter(&state.settings, arrival);
    let is_available = |version: &name::Name| state.fleet.has_version(now, service, version);
    filter.only = filter.only.filter(is_available);
    filter
}

/// Selects an engine of the version that a rollout wants, or of another one if that is allowed.
fn choose_engine(
    state: &state::State,
    now: time::Time,
    flight: &flight::Flight,
    pick: &rollouts::VersionFilter,
) -> Result<fleet::Choice, fleet::Unavailability> {
    let request = &flight.request;
    let limits = fleet::Limits {
        excluded: &flight.tried,
        version: pick.only.as_ref(),
        barred: pick.excluded.as_ref(),
        reserve: waiting::reserve(state, now, request),
        connections: max_connections(state, &request.service),
    };
    if state.suspects.probes.is_probe(request.id)
        && let Some(choice) = state.fleet.choose_least_loaded(now, request, limits)
    {
        return Ok(choice);
    }
    let chosen = state.fleet.choose(now, request, limits);
    chosen.or_else(|reason| {
        let others = match reason {
            fleet::Unavailability::NotBefore(_) if pick.allows_others => fleet::Limits {
                version: None,
                barred: pick.only.as_ref(),
                ..limits
            },
            fleet::Unavailability::Excluded | fleet::Unavailability::NoEngine
                if pick.allows_excluded =>
            {
                fleet::Limits {
                    barred: None,
                    ..limits
                }
            }
            _ => return Err(reason),
        };
        let other = state.fleet.choose(now, request, others);
        other.map_err(|_| reason)
    })
}

/// Returns an additional delay for the retry of a caller, so that callers do not retry at the same
/// time.
pub(super) fn retry_jitter(request: &request::Request) -> Duration {
    /// Upper bound of the delay in milliseconds.
    const MAX_MILLIS: u64 = 1_000;
    let draw = twox_hash::XxHash64::oneshot(0, request.trace.as_bytes());
    Duration::from_millis(draw % MAX_MILLIS)
}

/// Returns how many connections one engine of a service accepts from all instances, if limited.
fn max_connections(state: &state::State, service: &name::Name) -> Option<u32> {
    let manifest = state.manifest.as_ref()?;
    let service = manifest.services().get(service)?;
    (service.max_connections > 0).then_some(service.max_connections)
}

/// Returns how many idle connections to one engine of a service this instance may keep, so that
/// those of all instances leave capacity for requests on new ones.
fn max_idle_connections(state: &state::State, service: &name::Name) -> usize {
    /// Divisor of an engine's connections; the quotient may be idle.
    const IDLE_DIVISOR: u32 = 2;
    let all = max_connections(state, service).map(|connections| connections / IDLE_DIVISOR);
    all.map_or(usize::MAX, |all| all as usize / state.peers.limit_holders())
}

/// Returns when to retry if a first event after `expected` is too late to be worth sending the
/// request.
fn retry_if_too_late(
    now: time::Time,
    request: &request::Request,
    expected: Duration,
    max_lateness: f64,
) -> Option<time::Time> {
    let goal = request.arrived.until(request.goal);
    let limit = goal.mul_f64(max_lateness).min(now.until(request.deadline));
    (expected > limit).then(|| now.after(expected.saturating_sub(goal / 2)))
}

/// Sends a request to the selected engine.
pub(super) fn send(state: &mut state::State, now: time::Time, id: u64, choice: fleet::Choice) {
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    let max_idle = max_idle_connections(state, &flight.request.service);
    let Some(flight) = state.flights.get_mut(&id) else {
        return;
    };
    state.fleet.begin_attempt(now, &choice, &flight.request);
    flight.no_retry = None;
    flight.tried.push(choice.engine.clone());
    flight.attempts += 1;
    flight.running.push(flight::Attempt {
        number: flight.tried.len(),
        choice: choice.clone(),
        began: now,
        has_first_event: false,
        silent_since: None,
        was_silent: false,
        is_resumed: flight.responding,
    });
    let dispatch = effect::Dispatch {
        number: flight.last_attempt(),
        decided_at: now,
        response_deadline: response_deadline(now, flight, &choice),
        max_gap: max_gap(flight),
        max_idle,
        choice,
    };
    state.out.push(effect::Effect::Send {
        request: id,
        dispatch,
    });
    waiting::occupy(state, now, id);
}

/// Returns when it is first considered to send a request that may be retried to another engine, if
/// nothing has arrived.
fn response_deadline(
    now: time::Time,
    flight: &flight::Flight,
    choice: &fleet::Choice,
) -> Option<time::Time> {
    let route = &flight.request.route;
    if !route.retry_policy.is_idempotent() || !has_attempts_left(flight) {
        return None;
    }
    let half_goal = route.goal / 2;
    let timeout = (choice.expected * RESPONSE_TIMEOUT_FACTOR)
        .max(half_goal)
        .max(MIN_RESPONSE_TIMEOUT);
    Some(now.after(timeout))
}

/// Returns the gap after which it is considered to continue a stream at another engine.
pub(super) fn max_gap(flight: &flight::Flight) -> Option<Duration> {
    let route = &flight.request.route;
    let may_resume =
        route.retry_policy == route::RetryPolicy::ResumableStream && has_attempts_left(flight);
    route
        .gap
        .filter(|_| may_resume)
        .map(|gap| gap * MAX_GAP_FACTOR)
}

pub(super) fn has_attempts_left(flight: &flight::Flight) -> bool {
    flight.attempts < flight.request.route.attempts
}
