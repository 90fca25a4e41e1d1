//! Connects the reducer with the quarantine of requests that crash upstreams.

use std::sync;

use crate::name;
use crate::peering;
use crate::poison;
use crate::reduce::{self, close, dispatch, peers};
use crate::refusal;
use crate::state;
use crate::time;

/// Applies the effects of the quarantine.
pub fn apply(state: &mut state::State, now: time::Time, effects: Vec<poison::Effect>) {
    for effect in effects {
        match effect {
            poison::Effect::Broadcast(fact) => {
                let expiry = poison::expiry(now, &fact);
                reduce::publish_fact(state, now, fact, expiry);
            }
            poison::Effect::Send { to, message } => send(state, now, to, &message),
            poison::Effect::Start(id) | poison::Effect::StartIsolated(id) => {
                dispatch::dispatch(state, now, id);
            }
            poison::Effect::Block(id) => block(state, now, id),
            poison::Effect::Refuse(id) => refuse(state, now, id),
        }
    }
}

/// Handles a message from another entry. One that cannot be decoded is dropped; its sender repeats
/// it later.
pub fn receive(state: &mut state::State, now: time::Time, from: &name::Name, body: &[u8]) {
    if let Ok(note) = serde_json::from_slice(body) {
        let effects = state.quarantine.receive(now, from, note);
        apply(state, now, effects);
    }
}

/// Refuses a request that crashes upstreams.
pub fn block(state: &mut state::State, now: time::Time, id: u64) {
    close::give_up(
        state,
        now,
        id,
        refusal::Refusal::not_run(refusal::Code::Blocked, None),
    );
}

/// Refuses a request that did not get to run alone in time.
pub fn refuse(state: &mut state::State, now: time::Time, id: u64) {
    let retry_at = Some(now.after(close::DEFAULT_RETRY_DELAY));
    close::give_up(
        state,
        now,
        id,
        refusal::Refusal::not_run(refusal::Code::Overloaded, retry_at),
    );
}

fn send(state: &mut state::State, now: time::Time, to: name::Name, note: &poison::Message) {
    let body = sync::Arc::from(serde_json::to_vec(note).unwrap_or_default());
    peers::handle_input(state, now, peering::Input::Forward { to, body });
}
