//! The reducer of an entry: applies one event to the state and returns effects.

mod arrival;
mod attempt;
mod claims;
mod close;
mod dispatch;
mod document;
mod peers;
mod quarantine;
pub(crate) mod rollouts;
mod silence;
mod status;
mod timer;
mod wait;

use crate::effect;
use crate::event;
use crate::peering;
use crate::state;
use crate::time;

/// Applies one event to the state and returns the effects that the runtime must perform.
pub fn reduce(
    state: &mut state::State,
    now: time::Time,
    event: event::Event,
) -> Vec<effect::Effect> {
    match event {
        event::Event::Start => document::start(state, now),
        event::Event::Tick => timer::tick(state, now),
        event::Event::Arrived(request) => arrival::arrive(state, now, request),
        event::Event::Abandoned { request } => attempt::abandon(state, now, request),
        event::Event::Attempt { attempt, signal } => {
            attempt::handle_signal(state, now, attempt, signal)
        }
        event::Event::Load { upstream, load } => state.fleet.apply_load(now, &upstream, load),
        event::Event::Replied { call, reply } => document::handle_reply(state, now, call, reply),
        event::Event::Peer(input) => peers::handle_input(state, now, input),
        event::Event::Stop { deadline } => timer::stop(state, now, deadline),
    }
    arrival::poll(state, now);
    timer::progress_stop(state, now);
    std::mem::take(&mut state.effects)
}

/// Adds a fact to the set shared by all entries.
fn publish_fact(
    state: &mut state::State,
    now: time::Time,
    fact: crate::fact::Fact,
    expiry: time::Time,
) {
    peers::handle_input(state, now, peering::Input::AddFact { fact, expiry });
}
