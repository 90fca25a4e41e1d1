//! One end of links over loopback sockets.

use std::net;
use std::time::{Duration, Instant};

use crossbeam::channel;
use guavausher_core::name;
use guavausher_core::peering;
use guavausher_node::peers;

pub const KEY: &str = "a-key-for-the-tests-only";
pub const PATIENCE: Duration = Duration::from_secs(30);

pub struct Node {
    pub handle: peers::Handle,
    pub events: channel::Receiver<peers::Event>,
    pub member: peering::Member,
}

pub fn member(name: &str, address: net::SocketAddr, incarnation: u64) -> peering::Member {
    peering::Member {
        name: name::Name::from(name),
        domain: name::Name::from("tolgoit"),
        region: name::Name::from("ulaanbaatar"),
        address,
        incarnation,
    }
}

pub fn start(name: &str, key: &str, limits: peers::Limits) -> Node {
    let listen = net::SocketAddr::from(([127, 0, 0, 1], 0));
    start_at(name, key, limits, listen, 1)
}

pub fn start_at(
    name: &str,
    key: &str,
    limits: peers::Limits,
    listen: net::SocketAddr,
    incarnation: u64,
) -> Node {
    let (sender, events) = channel::bounded(1024);
    let config = peers::Config {
        listen: Some(listen),
        key: peers::Key::new(key).unwrap(),
        own: member(name, listen, incarnation),
        limits,
    };
    let handle = peers::start(config, sender).unwrap();
    let member = member(name, handle.address().unwrap(), incarnation);
    Node {
        handle,
        events,
        member,
    }
}

pub fn plain(name: &str) -> Node {
    start(name, KEY, peers::Limits::default())
}

impl Node {
    pub fn wait(&self, what: &str, found: impl Fn(&peers::Event) -> bool) -> peers::Event {
        let deadline = Instant::now() + PATIENCE;
        loop {
            let event = self.events.recv_deadline(deadline);
            let event = event.unwrap_or_else(|_| panic!("{}: no {what}", self.member.name));
            if found(&event) {
                return event;
            }
        }
    }

    pub fn wait_linked(&self, peer: &Node) {
        let linked = peers::Event::Linked(peer.member.name.clone());
        self.wait("link", |event| *event == linked);
    }

    pub fn wait_unlinked(&self, peer: &str) {
        let unlinked = peers::Event::Unlinked(name::Name::from(peer));
        self.wait("end of link", |event| *event == unlinked);
    }

    pub fn wait_count(&self, count: impl Fn(&peers::Counters) -> u64, least: u64) {
        let deadline = Instant::now() + PATIENCE;
        while count(self.handle.counters()) < least {
            assert!(Instant::now() < deadline, "{}: no count", self.member.name);
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}
