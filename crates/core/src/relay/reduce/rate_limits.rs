//! Rate limits of engines: what is known of them, and this instance's part of each.

use std::time::Duration;

use crate::name;
use crate::relay::effect;
use crate::relay::engine;
use crate::relay::fleet;
use crate::relay::pace;
use crate::relay::peers;
use crate::relay::rate_limit;
use crate::relay::state;
use crate::time;

/// Records whether a response of an engine contained a rate limit.
pub(super) fn record(
    state: &mut state::State,
    now: time::Time,
    engine: &name::Name,
    incarnation: u64,
    statement: rate_limit::Statement,
) {
    let fleet = &mut state.fleet;
    if !fleet.record_limit(now, engine, incarnation, statement) {
        return;
    }
    state.out.push(effect::Effect::EngineLimited {
        engine: engine.clone(),
        incarnation,
        rate: statement.rate,
        source: effect::Source::Answer,
        age: statement.latest.until(now),
    });
    update(state, now);
}

/// Merges another instance's report of rate limits.
pub(super) fn merge(state: &mut state::State, now: time::Time, reported: &[rate_limit::Report]) {
    let mut is_changed = false;
    for limit in reported {
        if !state.fleet.merge_limit(now, limit) {
            continue;
        }
        is_changed = true;
        state.out.push(effect::Effect::EngineLimited {
            engine: limit.engine.clone(),
            incarnation: limit.incarnation,
            rate: limit.rate,
            source: effect::Source::Peer,
            age: Duration::from_millis(limit.newest_ms),
        });
    }
    if is_changed {
        update(state, now);
    }
}

/// Forgets rate limits that no response has confirmed for long.
pub(super) fn expire(state: &mut state::State, now: time::Time) {
    for expired in state.fleet.expire_limits(now) {
        state.out.push(effect::Effect::EngineLimited {
            engine: expired.engine,
            incarnation: expired.incarnation,
            rate: None,
            source: effect::Source::Expiry,
            age: Duration::ZERO,
        });
    }
}

/// Updates this instance's part of each limit.
pub(super) fn update(state: &mut state::State, now: time::Time) {
    let (peers, own, leaving) = (&state.peers, &state.own.name, state.leaving);
    let part = |engine: &engine::Engine, limit: fleet::LimitInForce| {
        let unconfirmed = limit
            .confirmed_at
            .map_or(Duration::ZERO, |at| at.until(now));
        let rate = limit.rate.per_second();
        pace::Part {
            limit: limit.rate,
            rate: peers.sending_rate(now, &engine.name, rate, unconfirmed, leaving),
            phase: peers::phase(&engine.name, own),
            is_stated: limit.confirmed_at.is_some(),
        }
    };
    let services = state.manifest.as_ref().map(|manifest| manifest.services());
    let (bound, groups) = (state.settings.cold_bound, peers.groups().count() + 1);
    let cold_rate = |engine: &engine::Engine| {
        let rate = services?.get(&engine.service)?.cold_rate?;
        Some(bound.map_or(rate, |bound| bound.paced(rate, groups)))
    };
    let is_settled = peers.unreported() == 0;
    state.fleet.update_paces(now, is_settled, cold_rate, part);
}
