//! One entry process.

use guavausher_core::{event, name, peering, state};

pub const NAMES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];

/// The failure domain of each entry.
pub type Domains = [&'static str; 3];
pub const APART: Domains = ["altan-ulgii", "tolgoit", "bayanzurkh"];
/// All in one domain; two of them watch the store for all three.
pub const TOGETHER: Domains = ["tolgoit"; 3];

/// One entry process and the events that wait for it while it is paused.
#[derive(Debug)]
pub struct Node {
    /// Unique among all starts of entries.
    pub process: u64,
    pub state: state::State,
    pub inbox: Option<Vec<event::Event>>,
    pub stopped: bool,
}

impl Node {
    pub fn new(domains: &Domains, entry: usize, process: u64) -> Self {
        Self {
            process,
            state: state::State::new(member(domains, entry, process), process),
            inbox: None,
            stopped: false,
        }
    }
}

pub fn member(domains: &Domains, entry: usize, incarnation: u64) -> peering::Member {
    peering::Member {
        name: name::Name::from(NAMES[entry]),
        domain: name::Name::from(domains[entry]),
        region: name::Name::from("ulaanbaatar"),
        address: address(entry),
        incarnation,
    }
}

pub fn address(entry: usize) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], 20_101 + entry as u16))
}

pub fn number(name: &str) -> Option<usize> {
    NAMES.iter().position(|own| *own == name)
}
