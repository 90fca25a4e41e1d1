//! The thread that runs the reducer.

use std::collections;

use crossbeam::channel;
use guavausher_core::{effect, event, peering, reduce, refusal, state, time};
use tokio::sync::mpsc;

use crate::entry::{command, exchange, metrics};
use crate::{admin, clock, peers, store};

/// Longest sleep of the reducer's thread.
const MAX_SLEEP: std::time::Duration = std::time::Duration::from_secs(1);

/// Everything that the reducer's thread reads from and acts on.
pub struct Driver {
    /// Source of the present time.
    pub clock: clock::Clock,
    /// Client of the platform's store.
    pub store: store::Store,
    /// Links to peers.
    pub peers: peers::Handle,
    /// Readiness as shown to the balancer.
    pub readiness: admin::Readiness,
    /// Requests and events from tasks.
    pub inputs: channel::Receiver<command::Input>,
    /// Replies of the store.
    pub replies: channel::Receiver<store::Answer>,
    /// Events of peer links.
    pub links: channel::Receiver<peers::Event>,
    /// Metrics.
    pub metrics: metrics::Metrics,
    /// Unique number of this process, part of every request's and attempt's id.
    pub writer: u64,
}

/// Shortest time between two ticks.
const MIN_SLEEP: std::time::Duration = std::time::Duration::from_millis(1);

/// The ways to the tasks of requests and the last tick.
#[derive(Default)]
struct Tasks {
    ticked: time::Time,
    requests: collections::HashMap<u64, mpsc::Sender<command::Command>>,
}

/// Whether the thread goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Run {
    On,
    Stopped,
}

impl Driver {
    /// Runs the reducer until a planned stop is over.
    pub fn run(self, own: peering::Member, seeds: Vec<peering::Member>) {
        let mut state = state::State::new(own, self.writer);
        let mut tasks = Tasks::default();
        let seeds = event::Event::Peer(peering::Input::Members(seeds));
        self.step(&mut state, &mut tasks, seeds);
        let mut run = self.step(&mut state, &mut tasks, event::Event::Start);
        while run == Run::On {
            let event = self.next(&state, &mut tasks);
            run = self.step(&mut state, &mut tasks, event);
        }
    }

    /// Returns the next event; ticks that are due come at most once in [`MIN_SLEEP`], so that they
    /// can neither starve the other events nor be starved by them.
    fn next(&self, state: &state::State, tasks: &mut Tasks) -> event::Event {
        let now = self.clock.now();
        let due = state.wake().max(tasks.ticked.after(MIN_SLEEP));
        let left = now.until(due).min(MAX_SLEEP);
        if left.is_zero() {
            tasks.ticked = now;
            return event::Event::Tick;
        }
        crossbeam::select! {
            recv(self.inputs) -> input => input.map_or(event::Event::Tick, |i| tasks.take_in(i)),
            recv(self.replies) -> answer => answer.map_or(event::Event::Tick, replied),
            recv(self.links) -> link => link.map_or(event::Event::Tick, linked),
            default(left) => {
                tasks.ticked = self.clock.now();
                event::Event::Tick
            }
        }
    }

    fn step(&self, state: &mut state::State, tasks: &mut Tasks, event: event::Event) -> Run {
        let now = self.clock.now();
        let mut effects = reduce::reduce(state, now, event);
        let mut run = Run::On;
        while !effects.is_empty() {
            let mut refused = Vec::new();
            for effect in effects {
                match effect {
                    effect::Effect::Stopped => run = Run::Stopped,
                    effect::Effect::Call { id, call } => {
                        refused.extend(self.store.submit(id, call).err());
                    }
                    other => self.act(tasks, other),
                }
            }
            let again = refused.into_iter().map(replied);
            effects = again
                .flat_map(|event| reduce::reduce(state, now, event))
                .collect();
        }
        self.show(state);
        run
    }

    fn act(&self, tasks: &mut Tasks, effect: effect::Effect) {
        match effect {
            effect::Effect::Dispatch(dispatch) => {
                self.log_dispatch(&dispatch);
                tasks.send(dispatch.request, command::Command::Dispatch(dispatch));
            }
            effect::Effect::Cancel { request, attempt } => {
                tasks.send(request, command::Command::Cancel(attempt));
            }
            effect::Effect::Resume { request, attempt } => {
                tasks.send(request, command::Command::Resume(attempt));
            }
            effect::Effect::Ended { request } => tasks.end(request),
            effect::Effect::Refuse { request, refusal } => {
                self.metrics.refused(refusal);
                self.log_refusal(request, refusal);
                tasks.send(request, command::Command::Refuse(refusal));
            }
            effect::Effect::Replay { request, kept } => {
                tasks.send(request, command::Command::Replay(kept));
            }
            effect::Effect::Relay { request } => tasks.send(request, command::Command::Relay),
            effect::Effect::Send { to, message } => self.peers.send(&to, message),
            effect::Effect::Link(member) => self.peers.link(member),
            effect::Effect::Unlink(name) => self.peers.unlink(&name),
            effect::Effect::ConfigApplied { generation } => {
                self.metrics.generation.set(generation.cast_signed());
                log::info!(generation; "configuration in force");
            }
            effect::Effect::DocumentRejected { key, fault } => {
                log::error!(key:%, fault; "document rejected, the former one stays in force");
            }
            effect::Effect::Call { .. } | effect::Effect::Stopped => {}
        }
    }

    fn log_dispatch(&self, dispatch: &effect::Dispatch) {
        let request = exchange::unique_id(self.writer, dispatch.request);
        let attempt = exchange::unique_id(self.writer, dispatch.attempt);
        log::debug!(
            request:%,
            attempt:%,
            upstream:% = dispatch.upstream,
            version:% = dispatch.version,
            offset = dispatch.offset;
            "attempt sent"
        );
    }

    fn log_refusal(&self, request: u64, refusal: refusal::Refusal) {
        let request = exchange::unique_id(self.writer, request);
        log::info!(
            request:%,
            code = refusal.code.as_str(),
            verdict = refusal.verdict.as_str();
            "request refused"
        );
    }

    fn show(&self, state: &state::State) {
        match state.unready_reason() {
            Some(reason) => self.readiness.set_unready(reason),
            None => self.readiness.set_ready(),
        }
        self.metrics
            .in_flight
            .set(state.active_requests.len().try_into().unwrap_or(i64::MAX));
    }
}

impl Tasks {
    fn take_in(&mut self, input: command::Input) -> event::Event {
        match input {
            command::Input::Event(event) => event,
            command::Input::Arrived(arrival) => {
                self.requests.insert(arrival.request.id, arrival.commands);
                event::Event::Arrived(arrival.request)
            }
        }
    }

    /// A task that has gone or does not read is caught by the request's deadline.
    fn send(&mut self, request: u64, command: command::Command) {
        if let Some(task) = self.requests.get(&request) {
            let _ = task.try_send(command);
        }
    }

    /// Lets go of a task, which ends once it has obeyed its last command.
    fn end(&mut self, request: u64) {
        self.requests.remove(&request);
    }
}

fn replied(answer: store::Answer) -> event::Event {
    event::Event::Replied {
        call: answer.id,
        reply: answer.reply,
    }
}

fn linked(link: peers::Event) -> event::Event {
    event::Event::Peer(link.into())
}
