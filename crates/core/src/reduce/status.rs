//! This entry's status object in the store: generation, readiness and leaving upstreams.

use std::sync;
use std::time::Duration;

use crate::name;
use crate::reduce::document;
use crate::state;
use crate::store;
use crate::time;

/// Time that each entry of the fleet adds to the spread of the status writes after a change, so
/// that a fleet of any size makes about a hundred writes per second.
const SPREAD_PER_ENTRY: Duration = Duration::from_millis(10);

/// Maximum spread of the status writes after a change.
const MAX_SPREAD: Duration = Duration::from_secs(10);

/// Minimum delay before a failed write is retried.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Content of the status object.
#[derive(Debug, serde::Serialize)]
struct Body<'a> {
    generation: u64,
    instance: &'a str,
    domain: &'a str,
    ready: bool,
    leaving: Vec<&'a str>,
    at: time::Time,
}

/// Schedules a write of the status unless one is pending.
pub fn schedule_write(state: &mut state::State, now: time::Time) {
    if state.status.pending {
        return;
    }
    state.status.pending = true;
    let at = now.after(document::jitter(state, now, spread(state)));
    document::defer(state, at, state::Purpose::Status);
}

/// Schedules a write if the readiness has changed since the last one.
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

/// Reads the status object to get its version.
pub fn read(state: &mut state::State) {
    let key = key(state);
    state.call(state::Purpose::StatusRead, store::Call::Read { key });
}

/// Handles the reply to a write or read of the status.
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
            let spread = MIN_RETRY_DELAY + spread(state);
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
    SPREAD_PER_ENTRY
        .saturating_mul(state.entry_count)
        .min(MAX_SPREAD)
}

fn key(state: &state::State) -> name::Name {
    name::Name::from(format!("status/{}/{}", state.own.domain, state.own.name))
}
