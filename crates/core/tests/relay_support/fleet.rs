//! A simulated fleet of reducers, with a network that delays, loses and duplicates messages.

use std::collections;
use std::net;
use std::time::Duration;

use guavausher_core::name;
use guavausher_core::relay::{effect, event, member, message, position, revision, state};
use guavausher_core::time;

use super::store_reader::StoreReader;
use super::{Instance, at, engine, engines, manifest};

/// Duration of a step in milliseconds.
pub const STEP: u64 = 50;
/// Steps between two rounds of messages.
const ROUND_STEPS: u64 = 3;
/// Steps between two ticks.
const TICK_STEPS: u64 = 2;
/// Steps until an instance that knows that it is behind has fetched the changes.
const FETCH_STEPS: u64 = 2;
/// Bytes of the IP and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;

/// Messages that one instance has sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sent {
    pub messages: u64,
    pub bytes: u64,
    /// Of these, bytes to other failure domains.
    pub far_bytes: u64,
}

/// Faults of the network.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    /// Lost messages per thousand.
    pub lost: u64,
    /// Duplicated messages per thousand; the duplicate arrives late.
    pub duplicated: u64,
}

struct Node {
    instance: Instance,
    positions: Vec<position::Position>,
    /// Step at which a fetch ends, and the position that it reaches.
    fetch: Option<(u64, position::Position)>,
    is_up: bool,
    sent: Sent,
    reader: StoreReader,
}

pub struct Fleet {
    nodes: Vec<Node>,
    indexes: collections::HashMap<net::SocketAddr, usize>,
    network: Network,
    /// Failure domain that no message enters or leaves.
    partitioned: Option<name::Name>,
    in_flight: collections::BTreeMap<u64, Vec<(usize, usize, message::Message)>>,
    step: u64,
    random: u64,
    domains: usize,
    incarnation: u64,
    /// Effects of ticks, by instance, since they were last taken.
    effects: Vec<(usize, Vec<effect::Effect>)>,
    /// The store, if the instances read it.
    store: Option<Store>,
}

/// The store that a fleet reads.
#[derive(Clone, Copy, Debug)]
pub struct Store {
    /// Revision of the last change.
    pub changed: u64,
    /// Time within which a change must be in force.
    pub bound: Duration,
}

impl Fleet {
    /// Starts `size` instances in `domains` failure domains; each knows those started before it.
    pub fn new(size: usize, domains: usize, network: Network) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            indexes: collections::HashMap::new(),
            network,
            partitioned: None,
            in_flight: collections::BTreeMap::new(),
            step: 0,
            random: 1,
            domains,
            incarnation: 1,
            effects: Vec::new(),
            store: None,
        };
        for index in 0..size {
            let instance = fleet.build(index);
            let node = Node {
                positions: vec![position::Position::default()],
                fetch: None,
                is_up: true,
                sent: Sent::default(),
                reader: StoreReader::new(&instance.state.own.name),
                instance,
            };
            fleet.indexes.insert(node.instance.state.own.address, index);
            fleet.nodes.push(node);
        }
        for index in 0..size {
            let members: Vec<_> = (0..=index).map(|other| fleet.member(other)).collect();
            let now = fleet.now();
            fleet.nodes[index]
                .instance
                .state
                .peers
                .add_listed(now, members);
        }
        fleet
    }

    fn build(&self, index: usize) -> Instance {
        let address = net::SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16));
        let own = state::Identity {
            name: name::Name::from(format!(
                "front-{:04}-{index}",
                scramble(index as u64) % 10_000
            )),
            incarnation: self.incarnation,
            address,
            domain: name::Name::from(format!("d{}", index % self.domains)),
        };
        let mut instance = Instance::of(own);
        instance.apply(self.now(), manifest(1, 0.0, None));
        instance.apply(self.now(), engines((0..4).map(engine).collect()));
        instance
    }

    fn member(&self, index: usize) -> member::Member {
        let own = &self.nodes[index].instance.state.own;
        member::Member {
            name: own.name.clone(),
            domain: own.domain.clone(),
            address: own.address,
        }
    }

    pub fn now(&self) -> time::Time {
        at(self.step * STEP)
    }

    pub fn size(&self) -> usize {
        self.nodes.len()
    }

    pub fn instance(&mut self, index: usize) -> &mut Instance {
        &mut self.nodes[index].instance
    }

    /// Returns the states of the running instances.
    pub fn states(&self) -> impl Iterator<Item = &state::State> {
        let up = self.nodes.iter().filter(|node| node.is_up);
        up.map(|node| &node.instance.state)
    }

    pub fn apply_all(&mut self, event: &event::Event) {
        let now = self.now();
        for node in &mut self.nodes {
            node.instance.apply(now, event.clone());
        }
    }

    /// Stops instances without notice to the others.
    pub fn kill(&mut self, which: impl Fn(usize) -> bool) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.is_up &= !which(index);
        }
    }

    /// Restarts all instances; each knows all others.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        let members: Vec<_> = (0..self.size()).map(|index| self.member(index)).collect();
        for index in 0..self.size() {
            let mut instance = self.build(index);
            instance.state.peers.add_listed(self.now(), members.clone());
            let node = &mut self.nodes[index];
            node.instance = instance;
            node.is_up = true;
            node.positions = vec![position::Position::default()];
        }
    }

    /// Restarts one instance; it knows all others.
    pub fn restart_one(&mut self, index: usize) {
        self.incarnation += 1;
        let members: Vec<_> = (0..self.size()).map(|other| self.member(other)).collect();
        let mut instance = self.build(index);
        instance.state.peers.add_listed(self.now(), members);
        let node = &mut self.nodes[index];
        node.instance = instance;
        node.positions = vec![position::Position::default()];
    }

    /// Loses the messages on their way: they reach nobody before killed instances have started again.
    pub fn drop_messages(&mut self) {
        self.in_flight.clear();
    }

    /// Partitions one failure domain from the others, or none.
    pub fn partition(&mut self, domain: Option<usize>) {
        self.partitioned = domain.map(|number| name::Name::from(format!("d{number}")));
    }

    /// Sets the position up to which an instance has read changes.
    pub fn set_position(&mut self, index: usize, changed: u64) {
        self.nodes[index].positions = vec![position(changed)];
    }

    /// Starts or stops the store watch of each instance as its state asks.
    pub fn update_watchers(&mut self) {
        let now = self.now();
        for node in self.nodes.iter_mut().filter(|node| node.is_up) {
            let is_watcher = node.instance.state.should_watch_store(now);
            node.instance.apply(now, event::Event::Watching(is_watcher));
        }
    }

    /// Returns the number of instances that watch the store.
    pub fn watchers(&self) -> usize {
        self.states().filter(|state| state.watching).count()
    }

    /// Lets the instances read the store from now on; changes must be in force within `bound`.
    pub fn read_store(&mut self, bound: Duration) {
        self.store = Some(Store { changed: 1, bound });
    }

    /// Changes the store and returns the revision of the change.
    pub fn change_store(&mut self) -> u64 {
        let store = self.store.as_mut().unwrap();
        store.changed += 1;
        store.changed
    }

    /// Cuts instances off from the store, which is silent to them from now on.
    pub fn cut_from_store(&mut self, which: impl Fn(&state::State) -> bool) {
        for node in &mut self.nodes {
            node.reader.is_cut |= which(&node.instance.state);
        }
    }

    /// Returns how often the instances have read the store for want of a confirmation.
    pub fn store_reads(&self) -> u64 {
        self.nodes.iter().map(|node| node.reader.reads).sum()
    }

    /// Returns the number of running instances that have not read up to this change.
    pub fn behind(&self, changed: u64) -> usize {
        let up = self.nodes.iter().filter(|node| node.is_up);
        up.filter(|node| node.positions[0].revision < revision::Revision::from_packed(changed))
            .count()
    }

    /// Returns what each instance has sent since the last call.
    pub fn take_sent(&mut self) -> Vec<Sent> {
        let sent = self.nodes.iter_mut();
        sent.map(|node| std::mem::take(&mut node.sent)).collect()
    }

    /// Returns the effects of ticks since the last call, by instance.
    pub fn take_effects(&mut self) -> Vec<(usize, Vec<effect::Effect>)> {
        std::mem::take(&mut self.effects)
    }

    /// Runs one step.
    pub fn step(&mut self) {
        self.deliver();
        let now = self.now();
        for index in 0..self.size() {
            if !self.nodes[index].is_up {
                continue;
            }
            if (self.step + index as u64).is_multiple_of(TICK_STEPS) {
                let effects = self.nodes[index].instance.apply(now, event::Event::Tick);
                self.effects.push((index, effects));
                self.catch_up(index);
                if let Some(store) = self.store {
                    let node = &mut self.nodes[index];
                    node.reader
                        .step(now, &mut node.instance, &mut node.positions, store);
                }
            }
            if (self.step + index as u64).is_multiple_of(ROUND_STEPS) {
                self.send(index);
            }
        }
        self.step += 1;
        self.effects.retain(|(_, effects)| !effects.is_empty());
    }

    pub fn run_for(&mut self, span: Duration) {
        let steps = span.as_millis() as u64 / STEP;
        (0..steps).for_each(|_| self.step());
    }

    fn catch_up(&mut self, index: usize) {
        let now = self.now();
        let node = &mut self.nodes[index];
        if let Some((step, position)) = node.fetch.filter(|(step, _)| *step <= self.step) {
            let _ = step;
            node.fetch = None;
            if position.revision > node.positions[0].revision {
                node.positions = vec![position];
            }
        }
        let beyond = node
            .instance
            .state
            .peers
            .readers_ahead(now, 0, node.positions[0]);
        let furthest = beyond
            .map(|reader| reader.position)
            .max_by_key(|p| p.revision);
        if let Some(position) = furthest.filter(|_| node.fetch.is_none()) {
            node.fetch = Some((self.step + FETCH_STEPS, position));
        }
    }

    fn send(&mut self, index: usize) {
        let now = self.now();
        let number = (self.step / ROUND_STEPS) as usize;
        let node = &self.nodes[index];
        let outgoing = message::outgoing(&node.instance.state, now, number, &node.positions);
        for parcel in outgoing {
            let bytes = bincode::serde::encode_to_vec(&parcel.message, bincode::config::standard());
            let bytes = bytes.unwrap().len() as u64 + HEADER_BYTES;
            for address in &parcel.addresses {
                let to = self.indexes[address];
                self.count(index, to, bytes);
                self.post(index, to, &parcel.message);
            }
        }
    }

    fn count(&mut self, from: usize, to: usize, bytes: u64) {
        let is_far = from % self.domains != to % self.domains;
        let sent = &mut self.nodes[from].sent;
        sent.messages += 1;
        sent.bytes += bytes;
        sent.far_bytes += if is_far { bytes } else { 0 };
    }

    fn post(&mut self, from: usize, to: usize, message: &message::Message) {
        if self.draw() % 1_000 >= self.network.lost {
            let step = self.step + 1;
            let due = self.in_flight.entry(step).or_default();
            due.push((from, to, message.clone()));
        }
        if self.draw() % 1_000 < self.network.duplicated {
            let step = self.step + 4;
            let due = self.in_flight.entry(step).or_default();
            due.push((from, to, message.clone()));
        }
    }

    fn deliver(&mut self) {
        let now = self.now();
        for (from, to, message) in self.in_flight.remove(&self.step).unwrap_or_default() {
            let domains = [from, to].map(|index| &self.nodes[index].instance.state.own.domain);
            let is_blocked = domains[0] != domains[1]
                && domains
                    .iter()
                    .any(|domain| Some(*domain) == self.partitioned.as_ref());
            let node = &mut self.nodes[to];
            if node.is_up && !is_blocked {
                let effects = node.instance.apply(now, event::Event::from(message));
                self.effects.push((to, effects));
            }
        }
    }

    fn draw(&mut self) -> u64 {
        self.random = scramble(self.random.wrapping_add(1));
        self.random >> 16
    }
}

pub fn position(changed: u64) -> position::Position {
    position::Position {
        revision: revision::Revision::from_packed(changed),
        content_hash: changed,
    }
}

/// A fixed mapping that scatters consecutive numbers.
fn scramble(value: u64) -> u64 {
    let mixed = value.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ (mixed >> 32)
}
