//! Changes of the list of engines, and notices of engines.

use std::time::Duration;

use super::crashes;
use super::evacuations;
use super::rate_limits;
use crate::name;
use crate::relay::effect;
use crate::relay::engine;
use crate::relay::event;
use crate::relay::state;
use crate::time;

/// Applies a new list of engines.
pub(super) fn replace(state: &mut state::State, now: time::Time, list: Vec<engine::Engine>) {
    state.suspects.record_engines(now, &list);
    let known = state.ahead_since.take().unwrap_or(now);
    let kept = state.outage.kept_until(now, known, &state.settings);
    let change = state.fleet.replace(now, list, kept);
    for crashed in &change.crashed {
        crashes::record_crash(state, now, &crashed.name, crashed.incarnation);
    }
    let started = change
        .started
        .into_iter()
        .map(effect::Effect::EngineStarted);
    let left = change
        .left
        .into_iter()
        .map(|engine| effect::Effect::EngineLeft {
            engine,
            source: effect::Source::List,
            age: Duration::ZERO,
        });
    state.out.extend(started.chain(left));
    state.fleet.evacuations_mut().expect(now);
    evacuations::update(state, now);
    rate_limits::update(state, now);
}

/// Applies a notice of an engine.
pub(super) fn apply_notice(
    state: &mut state::State,
    now: time::Time,
    engine: name::Name,
    incarnation: u64,
    notice: event::Notice,
) {
    let has_left = match notice {
        event::Notice::Leaving => state.fleet.record_leaving(now, &engine, incarnation),
        event::Notice::Hold(until) => {
            let held_engine = engine.clone();
            state.out.push(effect::Effect::EngineHeld {
                engine: held_engine,
                until,
            });
            state.fleet.record_hold(now, &engine, incarnation, until)
        }
        event::Notice::Limit(statement) => {
            rate_limits::record(state, now, &engine, incarnation, statement);
            false
        }
        event::Notice::Load(report) => {
            state.fleet.record_load(now, &engine, incarnation, report);
            false
        }
    };
    if has_left {
        state.out.push(effect::Effect::EngineLeft {
            engine,
            source: effect::Source::Answer,
            age: Duration::ZERO,
        });
    }
}
