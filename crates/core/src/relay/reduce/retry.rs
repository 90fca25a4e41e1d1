//! Whether a request may be sent to another engine, and the budget for it.

use super::dispatch;
use crate::name;
use crate::relay::effect;
use crate::relay::flight;
use crate::relay::route;
use crate::relay::state;
use crate::time;

/// Spends one retry of the budget that all instances share.
pub(super) fn spend(
    state: &mut state::State,
    now: time::Time,
    service: &name::Name,
) -> Result<(), effect::NoRetry> {
    let instances = state.peers.limit_holders();
    let is_allowed = state.budget.spend(now, &state.settings, service, instances);
    is_allowed.then_some(()).ok_or(effect::NoRetry::Budget)
}

/// Checks whether the route and the progress of a request allow another attempt.
pub(super) fn check(flight: &flight::Flight) -> Result<(), effect::NoRetry> {
    let policy = flight.request.route.retry_policy;
    let is_open = !flight.responding || policy == route::RetryPolicy::ResumableStream;
    let is_safe = !flight.may_have_run || policy.is_idempotent();
    if !(is_open && is_safe) {
        return Err(effect::NoRetry::Policy);
    }
    let has_attempts = dispatch::has_attempts_left(flight);
    has_attempts.then_some(()).ok_or(effect::NoRetry::Attempts)
}
