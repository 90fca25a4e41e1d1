//! Documents and notices from the platform's store: initial reads, watches and retries.

use std::sync;
use std::time::Duration;

use crate::fact;
use crate::name;
use crate::peering;
use crate::reduce::{self, claims, peers, status};
use crate::state;
use crate::store;
use crate::time;

/// Object key of the configuration.
pub const CONFIG_KEY: &str = "config/current";

/// Object key of the rollout states.
pub const ROLLOUTS_KEY: &str = "rollouts/current";

/// How often a watcher reads the instance list.
const LIST_PERIOD: Duration = Duration::from_secs(1);

/// Minimum delay before a failed call is retried; jitter adds up to the same again.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Delay before a document is read again while a read of it is pending.
const REREAD_DELAY: Duration = Duration::from_millis(100);

/// Lifetime of a [`fact::Fact::Leaving`].
const LEAVING_LIFETIME: Duration = Duration::from_secs(3_600);

/// Reads each document once.
pub fn start(state: &mut state::State, now: time::Time) {
    for topic in peering::Topic::ALL {
        read(state, now, topic);
    }
    peers::handle_input(state, now, peering::Input::Tick);
}

/// Starts or stops watching a topic in the store.
pub fn watch(state: &mut state::State, now: time::Time, topic: peering::Topic, active: bool) {
    if !active {
        state.watched.remove(&topic);
        return;
    }
    if !state.watched.insert(topic) {
        return;
    }
    match topic {
        peering::Topic::Members => {
            read(state, now, topic);
            await_notices(state, 0);
        }
        _ => await_change(state, topic),
    }
}

/// Handles a reply of the store.
pub fn handle_reply(state: &mut state::State, now: time::Time, call: u64, reply: store::Reply) {
    let Some(purpose) = state.calls.remove(&call) else {
        return;
    };
    match purpose {
        state::Purpose::Ledger(partition) => {
            claims::handle_input(state, now, crate::ledger::Input::Reply { partition, reply });
        }
        state::Purpose::Document(topic) => handle_document(state, now, topic, reply),
        state::Purpose::Watch(topic) => handle_change(state, now, topic, reply),
        state::Purpose::Notices(since) => handle_notices(state, now, since, reply),
        state::Purpose::Status | state::Purpose::StatusRead => {
            status::handle_reply(state, now, reply)
        }
    }
}

/// Runs the deferred calls that are due.
pub fn run_due_calls(state: &mut state::State, now: time::Time) {
    while let Some(entry) = state
        .deferred_calls
        .first_entry()
        .filter(|e| *e.key() <= now)
    {
        for purpose in entry.remove() {
            run_call(state, now, purpose);
        }
    }
}

/// Defers a call until `at`; of two equivalent calls only the earlier one is kept.
pub fn defer(state: &mut state::State, at: time::Time, purpose: state::Purpose) {
    let equivalent = |p: &state::Purpose| p.is_equivalent(purpose);
    let planned = state
        .deferred_calls
        .iter()
        .find_map(|(at, due)| due.iter().any(equivalent).then_some(*at));
    if planned.is_some_and(|planned| planned <= at) {
        return;
    }
    state.deferred_calls.retain(|_, due| {
        due.retain(|p| !equivalent(p));
        !due.is_empty()
    });
    state.deferred_calls.entry(at).or_default().push(purpose);
}

fn run_call(state: &mut state::State, now: time::Time, purpose: state::Purpose) {
    match purpose {
        state::Purpose::Document(topic) => read(state, now, topic),
        state::Purpose::Watch(topic) => await_change(state, topic),
        state::Purpose::Notices(since) => await_notices(state, since),
        state::Purpose::Status => status::write(state, now),
        state::Purpose::StatusRead => status::read(state),
        state::Purpose::Ledger(_) => {}
    }
}

/// Reads a document. While a read is pending, which may miss the latest change, the new one is
/// deferred.
fn read(state: &mut state::State, now: time::Time, topic: peering::Topic) {
    let purpose = state::Purpose::Document(topic);
    if state.is_pending(purpose) {
        return defer(state, now.after(REREAD_DELAY), purpose);
    }
    let call = match key(topic) {
        Some(key) => store::Call::Read {
            key: name::Name::from(key),
        },
        None => store::Call::Instances,
    };
    state.call(purpose, call);
}

fn await_notices(state: &mut state::State, since: u64) {
    let purpose = state::Purpose::Notices(since);
    if !state.is_pending(purpose) {
        state.call(purpose, store::Call::Notices { since });
    }
}

fn await_change(state: &mut state::State, topic: peering::Topic) {
    let (Some(key), true) = (key(topic), state.watched.contains(&topic)) else {
        return;
    };
    if state.is_pending(state::Purpose::Watch(topic)) {
        return;
    }
    let since = state.revisions.get(&topic).copied().unwrap_or(0);
    let prefix = name::Name::from(key);
    state.call(
        state::Purpose::Watch(topic),
        store::Call::Watch { prefix, since },
    );
}

const fn key(topic: peering::Topic) -> Option<&'static str> {
    match topic {
        peering::Topic::Config => Some(CONFIG_KEY),
        peering::Topic::Rollouts => Some(ROLLOUTS_KEY),
        peering::Topic::Members => None,
    }
}

fn handle_document(
    state: &mut state::State,
    now: time::Time,
    topic: peering::Topic,
    reply: store::Reply,
) {
    match reply {
        store::Reply::Found(object) => publish(state, now, topic, object.version, object.body),
        store::Reply::Instances {
            revision,
            instances,
        } => {
            let body = serde_json::to_vec(&instances).unwrap_or_default();
            publish(state, now, topic, revision, sync::Arc::from(body));
        }
        store::Reply::Missing if topic == peering::Topic::Rollouts => return,
        _ => return retry(state, now, state::Purpose::Document(topic)),
    }
    if topic == peering::Topic::Members && state.watched.contains(&topic) {
        defer(
            state,
            now.after(LIST_PERIOD),
            state::Purpose::Document(topic),
        );
    }
}

fn publish(
    state: &mut state::State,
    now: time::Time,
    topic: peering::Topic,
    generation: u64,
    body: sync::Arc<[u8]>,
) {
    let document = peering::Document {
        topic,
        generation,
        body,
    };
    peers::handle_input(state, now, peering::Input::Publish(document));
}

fn handle_change(
    state: &mut state::State,
    now: time::Time,
    topic: peering::Topic,
    reply: store::Reply,
) {
    let store::Reply::Listed { revision, objects } = reply else {
        return retry(state, now, state::Purpose::Watch(topic));
    };
    state.revisions.insert(topic, revision);
    let own = |entry: &store::Entry| Some(entry.key.as_str()) == key(topic);
    if objects.iter().any(own) {
        read(state, now, topic);
    }
    await_change(state, topic);
}

fn handle_notices(state: &mut state::State, now: time::Time, since: u64, reply: store::Reply) {
    let store::Reply::Notices { next, notices } = reply else {
        return retry(state, now, state::Purpose::Notices(since));
    };
    for notice in notices {
        mark_leaving(state, now, notice.instance, None);
    }
    if state.watched.contains(&peering::Topic::Members) {
        await_notices(state, next);
    }
}

/// Publishes that an incarnation of an upstream is leaving; `None` means the one in use.
pub fn mark_leaving(
    state: &mut state::State,
    now: time::Time,
    upstream: name::Name,
    incarnation: Option<u64>,
) {
    let Some(incarnation) = incarnation.or_else(|| state.fleet.incarnation(&upstream)) else {
        return;
    };
    let fact = fact::Fact::Leaving {
        upstream,
        incarnation,
    };
    if !state.peering.has_fact(&fact) {
        reduce::publish_fact(state, now, fact, now.after(LEAVING_LIFETIME));
    }
}

/// Defers a failed call if its result is still needed; jitter spreads the retries of the entries.
fn retry(state: &mut state::State, now: time::Time, purpose: state::Purpose) {
    let wanted = match purpose {
        state::Purpose::Document(topic) | state::Purpose::Watch(topic) => {
            state.watched.contains(&topic) || state.peering.generation(topic) == 0
        }
        _ => state.watched.contains(&peering::Topic::Members),
    };
    if wanted {
        defer(
            state,
            now.after(MIN_RETRY_DELAY + jitter(state, now, MIN_RETRY_DELAY)),
            purpose,
        );
    }
}

/// Returns a delay below `limit` that differs between entries.
pub fn jitter(state: &state::State, now: time::Time, limit: Duration) -> Duration {
    let seed = state.own.incarnation;
    let hash = twox_hash::XxHash64::oneshot(seed, &now.as_micros().to_le_bytes());
    limit.mul_f64((hash % 1_000) as f64 / 1_000.0)
}
