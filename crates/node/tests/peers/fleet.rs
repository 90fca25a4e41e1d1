//! Reducers over real loopback sockets: facts, documents, a killed and a restarted node.

use std::net;
use std::sync;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crossbeam::channel;
use guavausher_core::fact;
use guavausher_core::name;
use guavausher_core::peering;
use guavausher_core::time;
use guavausher_node::peers;

use crate::node;

/// A node with its reducer in a thread of its own.
struct Driven {
    member: peering::Member,
    inputs: channel::Sender<peering::Input>,
    state: sync::Arc<sync::Mutex<peering::Peering>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Driven {
    fn start(index: usize, listen: net::SocketAddr, incarnation: u64) -> Self {
        let node = node::start_at(
            &format!("entry-{index}"),
            node::KEY,
            peers::Limits::default(),
            listen,
            incarnation,
        );
        let member = peering::Member {
            domain: name::Name::from(format!("domain-{}", index % 3)),
            ..node.member.clone()
        };
        let state = peering::Peering::new(member.clone(), index as u64);
        let state = sync::Arc::new(sync::Mutex::new(state));
        let (inputs, received) = channel::unbounded();
        let shared = state.clone();
        let thread = thread::spawn(move || drive(&node, &received, &shared));
        Self {
            member,
            inputs,
            state,
            thread: Some(thread),
        }
    }

    fn give(&self, input: peering::Input) {
        self.inputs.send(input).unwrap();
    }

    fn holds(&self, check: impl Fn(&peering::Peering) -> bool) -> bool {
        check(&self.state.lock().unwrap())
    }

    /// Ends the node at once; its links break.
    fn kill(mut self) -> net::SocketAddr {
        let (closed, _) = channel::unbounded();
        self.inputs = closed;
        self.thread.take().unwrap().join().unwrap();
        self.member.address
    }
}

fn drive(
    node: &node::Node,
    inputs: &channel::Receiver<peering::Input>,
    state: &sync::Mutex<peering::Peering>,
) {
    loop {
        let wait = now().until(state.lock().unwrap().wake());
        let input = crossbeam::select! {
            recv(inputs) -> input => match input {
                Ok(input) => input,
                Err(_) => return,
            },
            recv(node.events) -> event => event.unwrap().into(),
            default(wait) => peering::Input::Tick,
        };
        let outputs = state.lock().unwrap().reduce(now(), input);
        for output in outputs {
            match output {
                peering::Output::Send { to, message } => node.handle.send(&to, message),
                peering::Output::Link(member) => node.handle.link(member),
                peering::Output::Unlink(peer) => node.handle.unlink(&peer),
                _ => {}
            }
        }
    }
}

fn now() -> time::Time {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    time::Time::from_micros(0).after(since.unwrap())
}

fn wait_all(nodes: &[Driven], what: &str, check: impl Fn(&peering::Peering) -> bool) {
    let deadline = Instant::now() + node::PATIENCE;
    while !nodes.iter().all(|node| node.holds(&check)) {
        assert!(Instant::now() < deadline, "not at all nodes: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

fn leaving(incarnation: u64) -> fact::Fact {
    fact::Fact::Leaving {
        upstream: name::Name::from("verse-scribe-1"),
        incarnation,
    }
}

fn learn(node: &Driven, fact: &fact::Fact) {
    let expiry = now().after(Duration::from_secs(60));
    let fact = fact.clone();
    node.give(peering::Input::AddFact { fact, expiry });
}

fn publish(node: &Driven, generation: u64) {
    node.give(peering::Input::Publish(peering::Document {
        topic: peering::Topic::Config,
        generation,
        body: sync::Arc::from(format!("generation {generation}").into_bytes()),
    }));
}

#[test]
fn nodes_agree_through_kill_and_restart() {
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let mut nodes: Vec<_> = (0..9).map(|index| Driven::start(index, any, 1)).collect();
    let mut list: Vec<_> = nodes.iter().map(|node| node.member.clone()).collect();
    for node in &nodes {
        node.give(peering::Input::Members(list.clone()));
    }
    publish(&nodes[0], 1);
    let config = |generation| {
        move |state: &peering::Peering| state.generation(peering::Topic::Config) == generation
    };
    wait_all(&nodes, "first generation", config(1));
    wait_all(&nodes, "ready", peering::Peering::is_synced);

    let address = nodes.remove(4).kill();
    learn(&nodes[0], &leaving(1));
    wait_all(&nodes, "fact", |state| state.has_fact(&leaving(1)));
    publish(&nodes[7], 2);
    wait_all(&nodes, "second generation", config(2));

    // The store stays unread by the restarted node; its peers tell it all.
    let restarted = Driven::start(4, address, 2);
    list[4] = restarted.member.clone();
    nodes.push(restarted);
    for node in &nodes {
        node.give(peering::Input::Members(list.clone()));
    }
    wait_all(&nodes, "after restart", |state| {
        config(2)(state) && state.has_fact(&leaving(1)) && state.is_synced()
    });
    learn(&nodes[8], &leaving(2));
    wait_all(&nodes, "fact of the restarted", |state| {
        state.has_fact(&leaving(2))
    });
}
