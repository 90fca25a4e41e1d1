//! Reducers wired in memory, with the bytes and the time of each.

use std::cmp;
use std::collections;
use std::time::{Duration, Instant};

use guavausher_core::name;
use guavausher_core::peering;
use guavausher_core::time;
use guavausher_wire::peer;

use super::{meter, model};

/// One-way delay within a failure domain.
const NEAR: Duration = Duration::from_micros(500);
/// One-way delay between failure domains.
const FAR: Duration = Duration::from_millis(5);

/// One node.
#[derive(Debug)]
pub struct Node {
    /// Its reducer.
    pub state: peering::Peering,
    /// Who it is.
    pub member: peering::Member,
    /// Its counts.
    pub meter: meter::Meter,
    /// Topics that it watches in the store.
    pub watches: collections::BTreeSet<peering::Topic>,
    ticked: time::Time,
}

#[derive(Debug)]
enum Event {
    Tick,
    Input(peering::Input),
    Frame { from: name::Name, frame: Vec<u8> },
}

/// Reducers wired in memory.
#[derive(Debug)]
pub struct Fleet {
    /// The fleet's own clock.
    pub now: time::Time,
    /// The nodes.
    pub nodes: Vec<Node>,
    queue: collections::BinaryHeap<cmp::Reverse<(time::Time, u64, usize)>>,
    events: collections::HashMap<u64, Event>,
    order: u64,
}

impl Fleet {
    /// Builds a fleet whose nodes all know the list.
    pub fn new(size: usize, seed: u64) -> Self {
        let build = |index: usize| {
            let member = model::member(index, size);
            Node {
                state: peering::Peering::new(member.clone(), seed + index as u64),
                member,
                meter: meter::Meter::default(),
                watches: collections::BTreeSet::new(),
                ticked: time::Time::MAX,
            }
        };
        let mut fleet = Self {
            now: time::Time::from_millis(1_790_000_000_000),
            nodes: (0..size).map(build).collect(),
            queue: collections::BinaryHeap::new(),
            events: collections::HashMap::new(),
            order: 0,
        };
        let list: Vec<_> = fleet.nodes.iter().map(|node| node.member.clone()).collect();
        for index in 0..size {
            fleet.input(index, peering::Input::Members(list.clone()));
        }
        fleet
    }

    /// Clears all counts.
    pub fn reset(&mut self) {
        for node in &mut self.nodes {
            node.meter = meter::Meter::default();
        }
    }

    /// Runs for a time or until the condition holds; returns whether it holds.
    pub fn run(&mut self, span: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now.after(span);
        while !done(self) {
            let next = self.queue.peek().map(|next| next.0);
            let Some((at, order, index)) = next.filter(|next| next.0 <= end) else {
                self.now = end;
                return done(self);
            };
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&order) {
                self.handle(index, event);
            }
        }
        true
    }

    /// Gives one node an input and carries out its outputs.
    pub fn input(&mut self, index: usize, input: peering::Input) {
        let start = Instant::now();
        let node = &mut self.nodes[index];
        let outputs = node.state.reduce(self.now, input);
        let mut frames = Vec::new();
        let mut others = Vec::new();
        for output in outputs {
            match output {
                peering::Output::Send { to, message } => {
                    if let Ok(frame) = peer::encode(&message) {
                        node.meter.count(frame.len());
                        frames.push((to, frame.to_vec()));
                    }
                }
                other => others.push(other),
            }
        }
        node.meter.busy += start.elapsed();
        for (to, frame) in frames {
            self.send(index, &to, frame);
        }
        for other in others {
            self.carry_out(index, other);
        }
        self.schedule(index);
    }

    fn handle(&mut self, index: usize, event: Event) {
        match event {
            Event::Tick => {
                self.nodes[index].ticked = time::Time::MAX;
                self.input(index, peering::Input::Tick);
            }
            Event::Input(input) => self.input(index, input),
            Event::Frame { from, frame } => {
                let start = Instant::now();
                let message = peer::decode(&frame[peer::LENGTH_BYTES..]);
                let meter = &mut self.nodes[index].meter;
                meter.busy += start.elapsed();
                meter.count(frame.len());
                if let Ok(Some(message)) = message {
                    self.input(index, peering::Input::Message { from, message });
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: &name::Name, frame: Vec<u8>) {
        let Some(to) = find(to) else {
            return;
        };
        let delay = self.delay(from, to);
        let from = self.nodes[from].member.name.clone();
        self.push(delay, to, Event::Frame { from, frame });
    }

    fn carry_out(&mut self, index: usize, output: peering::Output) {
        match output {
            peering::Output::Link(member) => {
                let Some(to) = find(&member.name) else {
                    return;
                };
                let own = self.nodes[index].member.name.clone();
                let delay = self.delay(index, to);
                self.push(delay, to, Event::Input(peering::Input::Linked(own)));
                let linked = peering::Input::Linked(member.name);
                self.push(delay, index, Event::Input(linked));
            }
            peering::Output::Watch { topic, active } => {
                let watches = &mut self.nodes[index].watches;
                let _ = match active {
                    true => watches.insert(topic),
                    false => watches.remove(&topic),
                };
            }
            _ => {}
        }
    }

    fn delay(&self, a: usize, b: usize) -> Duration {
        if self.nodes[a].member.domain == self.nodes[b].member.domain {
            NEAR
        } else {
            FAR
        }
    }

    fn schedule(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let wake = node.state.wake();
        if node.ticked <= wake {
            return;
        }
        node.ticked = wake;
        let delay = self.now.until(wake);
        self.push(delay, index, Event::Tick);
    }

    fn push(&mut self, delay: Duration, index: usize, event: Event) {
        self.order += 1;
        let at = self.now.after(delay);
        self.queue.push(cmp::Reverse((at, self.order, index)));
        self.events.insert(self.order, event);
    }
}

fn find(name: &str) -> Option<usize> {
    name.strip_prefix("entry-")?.parse().ok()
}
