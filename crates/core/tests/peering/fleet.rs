//! In-memory simulation of many reducers with seeded delay, loss, duplication and partitions.

use std::cmp;
use std::collections;
use std::net;
use std::time::Duration;

use guavausher_core::name;
use guavausher_core::peering;
use guavausher_core::time;
use rand::{Rng, SeedableRng, rngs};

/// Faults of the links between the nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Messages lost, in thousandths.
    pub lost: u32,
    /// Messages delivered twice, in thousandths.
    pub duplicated: u32,
    /// Maximum extra delay in milliseconds; messages on a link are reordered by it.
    pub jitter: u64,
}

#[derive(Debug, PartialEq)]
struct Event {
    at: time::Time,
    order: u64,
    to: usize,
    input: peering::Input,
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

pub struct Node {
    pub state: peering::Peering,
    pub member: peering::Member,
    pub up: bool,
    pub watches: collections::BTreeSet<peering::Topic>,
    pub adopted: Vec<peering::Document>,
    pub reports: Vec<peering::Report>,
    pub delivered: Vec<name::Name>,
    pub sent: collections::BTreeMap<&'static str, u64>,
    links: collections::BTreeSet<usize>,
    scheduled_tick: time::Time,
}

pub struct Fleet {
    pub now: time::Time,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    events: collections::BinaryHeap<Event>,
    random: rngs::SmallRng,
    order: u64,
    partitioned: Option<name::Name>,
}

const DELAY_MS: u64 = 5;
const DIAL_MS: u64 = 10;

pub fn member(index: usize, domains: usize) -> peering::Member {
    let address = net::SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 9400));
    peering::Member {
        name: name::Name::from(format!("entry-{index}")),
        domain: name::Name::from(format!("domain-{}", index % domains)),
        region: name::Name::from(format!("region-{}", index % domains / 3)),
        address,
        incarnation: 1,
    }
}

impl Fleet {
    pub fn new(size: usize, domains: usize, seed: u64, faults: Faults) -> Self {
        let mut fleet = Self {
            now: time::Time::from_millis(1_000_000),
            nodes: Vec::new(),
            faults,
            events: collections::BinaryHeap::new(),
            random: rngs::SmallRng::seed_from_u64(seed),
            order: 0,
            partitioned: None,
        };
        for index in 0..size {
            fleet.add(member(index, domains));
        }
        let list = fleet.list();
        for index in 0..size {
            fleet.input(index, peering::Input::Members(list.clone()));
        }
        fleet
    }

    pub fn add(&mut self, member: peering::Member) -> usize {
        let seed = self.random.random();
        self.nodes.push(Node {
            state: peering::Peering::new(member.clone(), seed),
            member,
            up: true,
            watches: collections::BTreeSet::new(),
            adopted: Vec::new(),
            reports: Vec::new(),
            delivered: Vec::new(),
            sent: collections::BTreeMap::new(),
            links: collections::BTreeSet::new(),
            scheduled_tick: time::Time::default(),
        });
        self.nodes.len() - 1
    }

    pub fn list(&self) -> Vec<peering::Member> {
        self.nodes.iter().map(|node| node.member.clone()).collect()
    }

    /// Runs for a span of simulated time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now.after(span);
        self.run_until(end, |_| false);
    }

    /// Runs until the condition holds; returns the milliseconds taken, or `None` after the span.
    pub fn run_for(&mut self, span: Duration, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let start = self.now;
        self.run_until(self.now.after(span), &done)
            .then(|| start.until(self.now).as_millis() as u64)
    }

    pub fn input(&mut self, index: usize, input: peering::Input) {
        let outputs = self.nodes[index].state.reduce(self.now, input);
        for output in outputs {
            self.output(index, output);
        }
        self.schedule_tick(index);
    }

    /// Stops a node and closes its links.
    pub fn stop(&mut self, index: usize) {
        self.nodes[index].up = false;
        self.break_links(index, |_| true);
    }

    /// Restarts a node with empty state and a greater incarnation.
    pub fn restart(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.member.incarnation += 1;
        node.state = peering::Peering::new(node.member.clone(), 99);
        node.up = true;
        node.adopted.clear();
        node.watches.clear();
        node.scheduled_tick = time::Time::default();
        let list = self.list();
        self.input(index, peering::Input::Members(list));
    }

    /// Partitions one failure domain from the others, or ends the partition.
    pub fn partition(&mut self, domain: Option<&str>) {
        self.partitioned = domain.map(name::Name::from);
        for index in 0..self.nodes.len() {
            let unreachable: Vec<_> = (0..self.nodes.len())
                .filter(|other| !self.reaches(index, *other))
                .collect();
            self.break_links(index, |other| unreachable.contains(&other));
        }
    }

    pub fn all(&self, holds: impl Fn(&Node) -> bool) -> bool {
        self.nodes.iter().filter(|node| node.up).all(holds)
    }

    pub fn watchers(&self, topic: peering::Topic) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|index| self.nodes[*index].watches.contains(&topic))
            .collect()
    }

    fn run_until(&mut self, end: time::Time, done: impl Fn(&Self) -> bool) -> bool {
        while !done(self) {
            match self.events.peek() {
                Some(event) if event.at <= end => {}
                _ => {
                    self.now = end;
                    return done(self);
                }
            }
            if let Some(event) = self.events.pop() {
                self.now = self.now.max(event.at);
                self.deliver(event);
            }
        }
        true
    }

    fn deliver(&mut self, event: Event) {
        let node = &mut self.nodes[event.to];
        if !node.up {
            return;
        }
        if event.input == peering::Input::Tick {
            node.scheduled_tick = time::Time::default();
        }
        let from = match &event.input {
            peering::Input::Message { from, .. } => Some(from.clone()),
            _ => None,
        };
        if from.is_some_and(|from| !self.linked(event.to, &from)) {
            return;
        }
        self.input(event.to, event.input);
    }

    fn linked(&self, index: usize, peer: &name::Name) -> bool {
        let mut links = self.nodes[index].links.iter();
        links.any(|other| self.nodes[*other].member.name == *peer)
    }

    fn output(&mut self, from: usize, output: peering::Output) {
        match output {
            peering::Output::Send { to, message } => self.send(from, &to, message),
            peering::Output::Link(member) => self.dial(from, &member.name),
            peering::Output::Unlink(peer) => {
                if let Some(to) = self.find(&peer) {
                    self.nodes[from].links.remove(&to);
                    if self.nodes[to].links.remove(&from) {
                        self.unlinked(to, from);
                    }
                }
            }
            peering::Output::Adopted(document) => self.nodes[from].adopted.push(document),
            peering::Output::Watch { topic, active } => {
                let watches = &mut self.nodes[from].watches;
                let _ = match active {
                    true => watches.insert(topic),
                    false => watches.remove(&topic),
                };
            }
            peering::Output::Reports(reports) => self.nodes[from].reports.extend(reports),
            peering::Output::Delivered { from: sender, .. } => {
                self.nodes[from].delivered.push(sender);
            }
            peering::Output::FactAdded { .. } => {}
        }
    }

    fn send(&mut self, from: usize, to: &name::Name, message: peering::Message) {
        *self.nodes[from].sent.entry(kind(&message)).or_default() += 1;
        let Some(to) = self.find(to) else {
            return;
        };
        if !self.nodes[from].links.contains(&to) {
            return;
        }
        let name = self.nodes[from].member.name.clone();
        let copies = if self.chance(self.faults.duplicated) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if self.chance(self.faults.lost) {
                continue;
            }
            let jitter = self.random.random_range(0..=self.faults.jitter);
            let message = message.clone();
            let from = name.clone();
            self.push(
                DELAY_MS + jitter,
                to,
                peering::Input::Message { from, message },
            );
        }
    }

    fn dial(&mut self, from: usize, peer: &name::Name) {
        let name = self.nodes[from].member.name.clone();
        let Some(to) = self.find(peer) else {
            self.push(DIAL_MS, from, peering::Input::Unlinked(peer.clone()));
            return;
        };
        if !self.reaches(from, to) {
            self.push(DIAL_MS, from, peering::Input::Unlinked(peer.clone()));
            return;
        }
        self.nodes[from].links.insert(to);
        if self.nodes[to].links.insert(from) {
            self.push(DIAL_MS, to, peering::Input::Linked(name));
        }
        self.push(DIAL_MS, from, peering::Input::Linked(peer.clone()));
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.nodes[a], &self.nodes[b]);
        let separated = match &self.partitioned {
            Some(domain) => (a.member.domain == *domain) != (b.member.domain == *domain),
            None => false,
        };
        a.up && b.up && !separated
    }

    fn break_links(&mut self, index: usize, broken: impl Fn(usize) -> bool) {
        let links = self.nodes[index].links.clone();
        for other in links.into_iter().filter(|other| broken(*other)) {
            self.nodes[index].links.remove(&other);
            self.nodes[other].links.remove(&index);
            self.unlinked(other, index);
            self.unlinked(index, other);
        }
    }

    fn unlinked(&mut self, to: usize, from: usize) {
        let peer = self.nodes[from].member.name.clone();
        self.push(DELAY_MS, to, peering::Input::Unlinked(peer));
    }

    fn schedule_tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let wake = node.state.wake();
        assert!(wake > self.now, "a tick that is already due would loop");
        if node.scheduled_tick > self.now && node.scheduled_tick <= wake {
            return;
        }
        node.scheduled_tick = wake;
        let delay = self.now.until(wake).as_micros().div_ceil(1000) as u64;
        self.push(delay, index, peering::Input::Tick);
    }

    fn push(&mut self, delay: u64, to: usize, input: peering::Input) {
        self.order += 1;
        self.events.push(Event {
            at: self.now.after(Duration::from_millis(delay)),
            order: self.order,
            to,
            input,
        });
    }

    fn find(&self, name: &name::Name) -> Option<usize> {
        let index = name.strip_prefix("entry-")?.parse().ok()?;
        (index < self.nodes.len()).then_some(index)
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        thousandths > 0 && self.random.random_range(0..1000) < thousandths
    }
}

fn kind(message: &peering::Message) -> &'static str {
    match message {
        peering::Message::Hello(_) => "hello",
        peering::Message::Heartbeat(_) => "heartbeat",
        peering::Message::Buckets(_) => "buckets",
        peering::Message::Facts(_) => "facts",
        peering::Message::Fetch(_) => "fetch",
        peering::Message::Document(_) => "document",
        peering::Message::Patch(_) => "patch",
        peering::Message::Reports(_) => "reports",
        peering::Message::Forward(_) => "forward",
    }
}
