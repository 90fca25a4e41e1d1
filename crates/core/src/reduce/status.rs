//! This entry's status object: the generation in force and what it sees leaving.

use std::sync;
use std::time::Duration;

use crate::name;
use crate::reduce::document;
use crate::state;
use crate::store;
use crate::time;

/// The time that each entry adds to the spread of the writes after one change, so that a fleet of
/// any size makes some hundred writes a second.
const SPREAD_EACH: Duration = Duration::from_millis(10);

/// Longest spread of the writes after one change.
const MAX_SPREAD: Duration = Duration::from_secs(10);

/// Shortest wait after a failed write.
const RETRY_WAIT: Duration = Duration::from_secs(2);

/// What the status object states.
#[derive(Debug, serde::Serialize)]
struct Body<'a> {
    generation: u64,
    instance: &'a str,
    domain: &'a str,
    ready: bool,
    leaving: Vec<&'a str>,
    at: time::Time,
}

/// Plans a write of the status.
pub fn schedule_write(state: &mut state::State, now: time::Time) {
    if state.status.pending {
        return;
    }
    state.status.pending = true;
    let at = now.after(document::jitter(state, now, spread(state)));
    document::defer(state, at, state::Purpose::Status);
}

/// Plans a write if the entry has become ready or unready since the last one.
pub fn tick(state: &mut state::State, now: time::Time) {
    if state.status.ready != state.unready_reason().is_none() && state.config.is_some() {
        schedule_write(state, now);
    }
}

/// Writes the status.
pub fn write(state: &mut state::State, now: time::Time) {
    let generation = state.config.as_ref().map_or(0, |c| c.generation);
    let body = Body {
        generation,
        instance: state.own.name.as_str(),
        domain: state.own.domain.as_str(),
        ready: state.unready_reason().is_none(),
        leaving: state.leaving.keys().map(name::Name::as_str).collect(),
        at: now,
    };
    let body = sync::Arc::from(serde_json::to_vec(&body).unwrap_or_default());
    let call = store::Call::Write {
        key: key(state),
        expected: state.status.version,
        body,
    };
    state.status.generation = generation;
    state.status.ready = state.unready_reason().is_none();
    state.call(state::Purpose::Status, call);
}

/// Reads the status object to learn its version.
pub fn read(state: &mut state::State) {
    let key = key(state);
    state.call(state::Purpose::StatusRead, store::Call::Read { key });
}

/// Takes in the reply to a write or read of the status.
pub fn handle_reply(state: &mut state::State, now: time::Time, reply: store::Reply) {
    match reply {
        store::Reply::Written(version) => written(state, now, version),
        store::Reply::Found(object) => {
            state.status.version = Some(object.version);
            write(state, now);
        }
        store::Reply::Missing => {
            state.status.version = None;
            write(state, now);
        }
        store::Reply::Conflict => read(state),
        _ => {
            let spread = RETRY_WAIT + spread(state);
            let at = now.after(spread + document::jitter(state, now, spread));
            document::defer(state, at, state::Purpose::StatusRead);
        }
    }
}

fn written(state: &mut state::State, now: time::Time, version: store::Version) {
    state.status.version = Some(version);
    state.status.pending = false;
    let current = state.config.as_ref().map_or(0, |c| c.generation);
    if current != state.status.generation {
        schedule_write(state, now);
    }
}

fn spread(state: &state::State) -> Duration {
    SPREAD_EACH
        .saturating_mul(state.entry_count)
        .min(MAX_SPREAD)
}

fn key(state: &state::State) -> name::Name {
    name::Name::from(format!("status/{}/{}", state.own.domain, state.own.name))
}
