//! Simulation of three controllers with one store and one clock.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use guavausher_core::control;
use guavausher_core::declaration;
use guavausher_core::fact;
use guavausher_core::name;
use guavausher_core::peering;
use guavausher_core::rollout;
use guavausher_core::store;
use guavausher_core::time;
use guavausher_core::verdict;

pub const STEP: Duration = Duration::from_millis(250);
pub const NODES: usize = 3;
pub const SERVICE: &str = "verse-scribe";

pub fn at(millis: u64) -> time::Time {
    time::Time::from_millis(millis)
}

/// An engine that records its orders.
#[derive(Default)]
pub struct Engine {
    pub fencing: bool,
    pub fencing_token: u64,
    pub version: String,
    pub orders: Vec<control::Order>,
}

pub struct Simulation {
    pub now: time::Time,
    pub nodes: Vec<Option<control::State>>,
    pub paused: [bool; NODES],
    pub down: bool,
    pub lose_every: usize,
    pub facts: Vec<(time::Time, fact::Fact)>,
    pub engines: BTreeMap<String, Engine>,
    pub held_orders: Vec<control::Order>,
    pub hold_orders: bool,
    pub instances: Vec<store::Instance>,
    pub writes: usize,
    objects: BTreeMap<String, store::Object>,
    revision: u64,
    watches: Vec<(usize, u64, String, u64)>,
    queue: VecDeque<(usize, control::Event)>,
    writer: u64,
    sent_version: u64,
}

impl Simulation {
    pub fn new(declaration: &declaration::Declaration) -> Self {
        let mut simulation = Self {
            now: at(1_000),
            nodes: Vec::new(),
            paused: [false; NODES],
            down: false,
            lose_every: 0,
            facts: Vec::new(),
            engines: BTreeMap::new(),
            held_orders: Vec::new(),
            hold_orders: false,
            instances: Vec::new(),
            writes: 0,
            objects: BTreeMap::new(),
            revision: 0,
            watches: Vec::new(),
            queue: VecDeque::new(),
            writer: 100,
            sent_version: 0,
        };
        for upstream in &declaration.upstreams {
            let service = declaration
                .services
                .iter()
                .find(|s| s.name == upstream.service);
            let engine = Engine {
                fencing: service.unwrap().fencing,
                ..Engine::default()
            };
            simulation.engines.insert(upstream.name.to_string(), engine);
        }
        for index in 0..NODES {
            simulation.nodes.push(None);
            simulation.start(index, declaration);
        }
        simulation
    }

    /// Starts a new process of a node.
    pub fn start(&mut self, index: usize, declaration: &declaration::Declaration) {
        self.writer += 1;
        let mut state = control::State::new(member(index).name, self.writer);
        let events = [
            control::Event::Members((0..NODES).map(member).collect()),
            control::Event::Config {
                generation: 7,
                declaration: Arc::new(declaration.clone()),
            },
        ];
        for event in events {
            let effects = control::reduce(&mut state, self.now, event);
            assert!(
                effects
                    .iter()
                    .all(|e| matches!(e, control::Effect::Store { .. }))
            );
            self.nodes[index] = Some(state.clone());
            self.apply(index, effects);
            state = self.nodes[index].take().unwrap();
        }
        self.nodes[index] = Some(state);
    }

    pub fn holder(&self) -> Option<usize> {
        let shard = guavausher_core::lease::shard(&name::Name::from(SERVICE));
        let holds = |index: &usize| {
            let node = self.nodes[*index].as_ref();
            node.is_some_and(|node| node.shards(self.now).contains(&shard))
        };
        let holders: Vec<_> = (0..NODES).filter(holds).collect();
        assert!(holders.len() <= 1, "two active holders");
        holders.first().copied()
    }

    /// Advances the time by [`STEP`] and delivers these reports to every controller.
    pub fn step(&mut self, reports: &[peering::Report]) {
        self.now = self.now.after(STEP);
        for index in 0..NODES {
            self.queue
                .push_back((index, control::Event::Reports(reports.to_vec())));
            self.queue.push_back((index, control::Event::Tick));
        }
        self.send_rollouts();
        self.deliver_events();
        self.holder();
    }

    pub fn idle(&mut self, duration: Duration) {
        let end = self.now.after(duration);
        while self.now < end {
            self.step(&[]);
        }
    }

    pub fn put(&mut self, key: &str, body: &str) {
        self.revision += 1;
        let object = store::Object {
            version: self.revision,
            body: Arc::from(body.as_bytes()),
        };
        self.objects.insert(key.to_owned(), object);
        self.reply_to_watches();
    }

    pub fn status(&self) -> Option<rollout::Status> {
        let object = self.objects.get(rollout::KEY)?;
        let book = rollout::Table::decode(&object.body).unwrap();
        book.statuses.get(SERVICE).cloned()
    }

    pub fn audits(&self) -> Vec<control::AuditRecord> {
        let audits = self
            .objects
            .iter()
            .filter(|(key, _)| key.starts_with("audit/"));
        audits
            .map(|(_, o)| serde_json::from_slice(&o.body).unwrap())
            .collect()
    }

    pub fn deliver(&mut self, order: &control::Order) -> control::Outcome {
        let engine = self.engines.get_mut(order.upstream.as_str()).unwrap();
        if engine.fencing && order.fencing_token < engine.fencing_token {
            return control::Outcome::Fenced;
        }
        engine.fencing_token = order.fencing_token;
        engine.version = order.version.to_string();
        engine.orders.push(order.clone());
        control::Outcome::Accepted
    }

    fn send_rollouts(&mut self) {
        let Some(object) = self.objects.get(rollout::KEY).filter(|_| !self.down) else {
            return;
        };
        if object.version == self.sent_version {
            return;
        }
        self.sent_version = object.version;
        let book = rollout::Table::decode(&object.body).unwrap();
        let version = object.version;
        for index in 0..NODES {
            let book = book.clone();
            self.queue
                .push_back((index, control::Event::Rollouts { version, book }));
        }
    }

    fn deliver_events(&mut self) {
        let mut later = VecDeque::new();
        while let Some((index, event)) = self.queue.pop_front() {
            if self.paused[index] {
                if !matches!(event, control::Event::Tick) {
                    later.push_back((index, event));
                }
                continue;
            }
            let Some(mut state) = self.nodes[index].take() else {
                continue;
            };
            let effects = control::reduce(&mut state, self.now, event);
            self.nodes[index] = Some(state);
            self.apply(index, effects);
        }
        self.queue = later;
    }

    fn apply(&mut self, index: usize, effects: Vec<control::Effect>) {
        for effect in effects {
            match effect {
                control::Effect::Store { id, call } => self.call(index, id, call),
                control::Effect::Publish { fact, .. } => {
                    self.facts.push((self.now, fact.clone()));
                    for node in 0..NODES {
                        let event = control::Event::Fact(fact.clone());
                        self.queue.push_back((node, event));
                    }
                }
                control::Effect::Order(order) if self.hold_orders => self.held_orders.push(order),
                control::Effect::Order(order) => {
                    let outcome = self.deliver(&order);
                    let upstream = order.upstream;
                    let event = control::Event::OrderEnded { upstream, outcome };
                    self.queue.push_back((index, event));
                }
                control::Effect::Acquired { .. }
                | control::Effect::Lost { .. }
                | control::Effect::Decided(_) => {}
            }
        }
    }

    fn call(&mut self, index: usize, id: u64, call: store::Call) {
        if let store::Call::Watch { prefix, since } = &call
            && !self.down
        {
            self.watches.push((index, id, prefix.to_string(), *since));
            return self.reply_to_watches();
        }
        let reply = self.run(&call);
        self.queue
            .push_back((index, control::Event::Reply { id, reply }));
    }

    fn run(&mut self, call: &store::Call) -> store::Reply {
        let unknown = store::Reply::Failed(verdict::Verdict::MayHaveRun);
        if self.down {
            return unknown;
        }
        match call {
            store::Call::Read { key } => match self.objects.get(key.as_str()) {
                Some(object) => store::Reply::Found(object.clone()),
                None => store::Reply::Missing,
            },
            store::Call::Write {
                key,
                expected,
                body,
            } => {
                let current = self.objects.get(key.as_str()).map(|object| object.version);
                if current != *expected {
                    return store::Reply::Conflict;
                }
                self.put(key, std::str::from_utf8(body).unwrap());
                self.writes += 1;
                if self.lose_every > 0 && self.writes.is_multiple_of(self.lose_every) {
                    return unknown;
                }
                store::Reply::Written(self.revision)
            }
            store::Call::Instances => store::Reply::Instances {
                revision: 1,
                instances: self.instances.clone(),
            },
            _ => unknown,
        }
    }

    fn reply_to_watches(&mut self) {
        let (revision, objects) = (self.revision, &self.objects);
        let changed = |prefix: &str, since: u64| -> Vec<store::Entry> {
            let under = objects.iter().filter(|(key, _)| key.starts_with(prefix));
            let new = under.filter(|(_, object)| object.version > since);
            new.map(|(key, object)| store::Entry {
                key: name::Name::from(key.as_str()),
                version: object.version,
            })
            .collect()
        };
        self.watches.retain(|(index, id, prefix, since)| {
            let objects = changed(prefix, *since);
            if objects.is_empty() {
                return true;
            }
            let reply = store::Reply::Listed { revision, objects };
            let event = control::Event::Reply { id: *id, reply };
            self.queue.push_back((*index, event));
            false
        });
    }
}

pub fn member(index: usize) -> peering::Member {
    peering::Member {
        name: name::Name::from(format!("entry-{index}")),
        domain: name::Name::from(["altan-ulgii", "tolgoit", "bayanzurkh"][index]),
        region: name::Name::from("ulaanbaatar"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9_400)),
        incarnation: 1,
    }
}

/// Returns a declaration with one service of two engines, and a rollout if there is a deadline.
pub fn declare(fencing: bool, deadline: Option<time::Time>) -> declaration::Declaration {
    let service = declaration::Service {
        name: name::Name::from(SERVICE),
        kind: declaration::Kind::Model,
        version: name::Name::from("v1"),
        fencing,
        deduplicates: false,
    };
    let upstream = |version: &str| declaration::Upstream {
        name: name::Name::from(format!("engine-{version}")),
        service: name::Name::from(SERVICE),
        version: name::Name::from(version),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9_500)),
        domain: name::Name::from("tolgoit"),
        class: name::Name::from("gpu-small"),
        market: declaration::Market::Reclaimable,
        slots: 8,
    };
    let rollout = |deadline: time::Time| declaration::Rollout {
        service: name::Name::from(SERVICE),
        from: name::Name::from("v1"),
        to: name::Name::from("v2"),
        share: 50,
        deadline: jiff::Timestamp::from_microsecond(deadline.as_micros() as i64).unwrap(),
    };
    declaration::Declaration {
        services: vec![service],
        upstreams: vec![upstream("v1"), upstream("v2")],
        rollouts: deadline.into_iter().map(rollout).collect(),
        ..declaration::Declaration::default()
    }
}
