//! Link graph of the fleet, computed from the member list.

use std::collections;

use super::{member, topic};
use crate::name;

/// Store watchers of each topic in each failure domain.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// Rings that connect the entries of one failure domain.
const RINGS_PER_DOMAIN: u64 = 2;
/// Links between each pair of failure domains, up to [`MAX_FEW_DOMAINS`] of them.
const BRIDGES_FEW_DOMAINS: usize = 3;
/// Links between each pair of failure domains if there are more.
const BRIDGES_MANY_DOMAINS: usize = 2;
/// Number of failure domains above which each pair has fewer links.
const MAX_FEW_DOMAINS: usize = 4;
/// Maximum number of candidates for one link.
const MAX_CANDIDATES: usize = 8;

/// The links of the whole fleet; nodes with the same member list compute the same graph.
///
/// The entries of a failure domain are connected by rings in different pseudo-random orders, and
/// each pair of failure domains by a few links. The degree of a node therefore grows with the
/// number of failure domains, not with the fleet, and a change of the member list changes few
/// links.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    domains: collections::BTreeMap<name::Name, Vec<name::Name>>,
    edges: collections::BTreeMap<name::Name, collections::BTreeSet<name::Name>>,
}

impl Topology {
    /// Builds the link graph of a member list.
    pub fn new<'a>(members: impl IntoIterator<Item = &'a member::Member>) -> Self {
        let mut topology = Self::default();
        for member in members {
            topology.edges.entry(member.name.clone()).or_default();
            let domain = topology.domains.entry(member.domain.clone()).or_default();
            domain.push(member.name.clone());
        }
        let names: Vec<_> = topology.edges.keys().cloned().collect();
        for domain in topology.domains.values() {
            for ring in 0..RINGS_PER_DOMAIN {
                link_ring(&mut topology.edges, &shuffle(domain, ring));
            }
        }
        let domains: Vec<_> = topology.domains.keys().cloned().collect();
        for (index, first) in domains.iter().enumerate() {
            for second in &domains[index + 1..] {
                topology.link_domains(first, second);
            }
        }
        debug_assert_eq!(names.len(), topology.edges.len());
        topology
    }

    /// Returns the peers that an entry is linked to in the graph.
    pub fn neighbours(&self, own: &str) -> impl Iterator<Item = &name::Name> {
        self.edges.get(own).into_iter().flatten()
    }

    /// Returns the links that an entry dials, each as its candidates in order of preference.
    pub fn slots(&self, own: &member::Member) -> Vec<Vec<name::Name>> {
        let mut slots = Vec::new();
        for ring in 0..RINGS_PER_DOMAIN {
            slots.push(self.successors(own, ring));
        }
        for domain in self.domains.keys().filter(|domain| **domain != own.domain) {
            slots.extend(self.bridges(own, domain));
        }
        slots.retain(|slot| !slot.is_empty());
        slots
    }

    /// Returns `true` if an entry is a store watcher of a topic.
    pub fn is_watcher(&self, own: &member::Member, topic: topic::Topic) -> bool {
        let Some(domain) = self.domains.get(&own.domain) else {
            return true;
        };
        shuffle(domain, WATCHER_SEED + topic.index() as u64)
            .iter()
            .take(WATCHERS_PER_DOMAIN)
            .any(|name| *name == own.name)
    }

    /// Returns the number of hops from each reachable entry to the target.
    pub fn distances(&self, target: &str) -> collections::BTreeMap<name::Name, u16> {
        let mut distances = collections::BTreeMap::new();
        let mut queue = collections::VecDeque::new();
        if let Some((name, _)) = self.edges.get_key_value(target) {
            distances.insert(name.clone(), 0);
            queue.push_back((name, 0));
        }
        while let Some((name, distance)) = queue.pop_front() {
            for next in self.neighbours(name) {
                if !distances.contains_key(next) {
                    distances.insert(next.clone(), distance + 1);
                    queue.push_back((next, distance + 1));
                }
            }
        }
        distances
    }

    fn successors(&self, own: &member::Member, ring: u64) -> Vec<name::Name> {
        let Some(domain) = self.domains.get(&own.domain) else {
            return Vec::new();
        };
        let ring = shuffle(domain, ring);
        let Some(position) = ring.iter().position(|name| *name == own.name) else {
            return Vec::new();
        };
        (1..ring.len())
            .take(MAX_CANDIDATES)
            .map(|offset| ring[(position + offset) % ring.len()].clone())
            .collect()
    }

    fn bridges(&self, own: &member::Member, other: &name::Name) -> Vec<Vec<name::Name>> {
        let (Some(near), Some(far)) = (self.domains.get(&own.domain), self.domains.get(other))
        else {
            return Vec::new();
        };
        let seed = pair_seed(&own.domain, other);
        let near = shuffle(near, seed);
        let far = shuffle(far, seed);
        (0..self.bridge_count(near.len(), far.len()))
            .filter(|rank| near[rank % near.len()] == own.name)
            .map(|rank| {
                (0..far.len())
                    .take(MAX_CANDIDATES)
                    .map(|offset| far[(rank + offset) % far.len()].clone())
                    .collect()
            })
            .collect()
    }

    fn bridge_count(&self, near: usize, far: usize) -> usize {
        let bridges = match self.domains.len() {
            0..=MAX_FEW_DOMAINS => BRIDGES_FEW_DOMAINS,
            _ => BRIDGES_MANY_DOMAINS,
        };
        bridges.min(near.max(far))
    }

    fn link_domains(&mut self, first: &name::Name, second: &name::Name) {
        let seed = pair_seed(first, second);
        let near = shuffle(&self.domains[first], seed);
        let far = shuffle(&self.domains[second], seed);
        for rank in 0..self.bridge_count(near.len(), far.len()) {
            link(
                &mut self.edges,
                &near[rank % near.len()],
                &far[rank % far.len()],
            );
        }
    }
}

/// First seed of the orders that select store watchers; distinct from the seeds of the rings.
const WATCHER_SEED: u64 = 1 << 32;

type Edges = collections::BTreeMap<name::Name, collections::BTreeSet<name::Name>>;

fn link_ring(edges: &mut Edges, ring: &[name::Name]) {
    if ring.len() < 2 {
        return;
    }
    for (index, name) in ring.iter().enumerate() {
        link(edges, name, &ring[(index + 1) % ring.len()]);
    }
}

fn link(edges: &mut Edges, a: &name::Name, b: &name::Name) {
    edges.entry(a.clone()).or_default().insert(b.clone());
    edges.entry(b.clone()).or_default().insert(a.clone());
}

fn shuffle(names: &[name::Name], seed: u64) -> Vec<name::Name> {
    let mut ranked: Vec<_> = names.to_vec();
    ranked.sort_by_cached_key(|name| {
        let rank = twox_hash::XxHash64::oneshot(seed, name.as_bytes());
        (rank, name.clone())
    });
    ranked
}

fn pair_seed(a: &name::Name, b: &name::Name) -> u64 {
    let (first, second) = (a.min(b), a.max(b));
    let seed = twox_hash::XxHash64::oneshot(0, first.as_bytes());
    twox_hash::XxHash64::oneshot(seed, second.as_bytes())
}
