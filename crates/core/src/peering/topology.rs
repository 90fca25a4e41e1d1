//! Which peers link to which, as a function of the list of entries.

use std::collections;

use super::{member, topic};
use crate::name;

/// Watchers of the store for each topic in each failure domain.
pub const WATCHERS_IN_DOMAIN: usize = 2;
/// Rings that connect the entries of one failure domain.
const RINGS: u64 = 2;
/// Links between each two failure domains if there are few.
const BRIDGES: usize = 3;
/// Links between each two failure domains if there are many.
const FEWER_BRIDGES: usize = 2;
/// Failure domains above which each two have fewer links.
const FEW_DOMAINS: usize = 4;
/// Entries tried in turn for one link.
const CANDIDATES: usize = 8;

/// The links that the whole fleet should keep, the same at every node with the same list.
///
/// Each failure domain is held together by rings in different pseudo-random orders; each two
/// failure domains by a few links. So the number of links of one node grows with the failure
/// domains, not with the fleet, and one change of the list moves few links.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    domains: collections::BTreeMap<name::Name, Vec<name::Name>>,
    edges: collections::BTreeMap<name::Name, collections::BTreeSet<name::Name>>,
}

impl Topology {
    /// Builds the links of a list of entries.
    pub fn new<'a>(members: impl IntoIterator<Item = &'a member::Member>) -> Self {
        let mut built = Self::default();
        for member in members {
            built.edges.entry(member.name.clone()).or_default();
            let domain = built.domains.entry(member.domain.clone()).or_default();
            domain.push(member.name.clone());
        }
        let names: Vec<_> = built.edges.keys().cloned().collect();
        for domain in built.domains.values() {
            for ring in 0..RINGS {
                link_ring(&mut built.edges, &order(domain, ring));
            }
        }
        let domains: Vec<_> = built.domains.keys().cloned().collect();
        for (index, first) in domains.iter().enumerate() {
            for second in &domains[index + 1..] {
                built.link_domains(first, second);
            }
        }
        debug_assert_eq!(names.len(), built.edges.len());
        built
    }

    /// Returns the peers that an entry should be linked to.
    pub fn neighbours(&self, own: &str) -> impl Iterator<Item = &name::Name> {
        self.edges.get(own).into_iter().flatten()
    }

    /// Returns the links that an entry dials, each as the entries to try in turn.
    pub fn slots(&self, own: &member::Member) -> Vec<Vec<name::Name>> {
        let mut slots = Vec::new();
        for ring in 0..RINGS {
            slots.push(self.successors(own, ring));
        }
        for domain in self.domains.keys().filter(|domain| **domain != own.domain) {
            slots.extend(self.bridges(own, domain));
        }
        slots.retain(|slot| !slot.is_empty());
        slots
    }

    /// Returns whether an entry watches the store for a topic.
    pub fn watches(&self, own: &member::Member, topic: topic::Topic) -> bool {
        let Some(domain) = self.domains.get(&own.domain) else {
            return true;
        };
        order(domain, WATCH_SEED + topic.index() as u64)
            .iter()
            .take(WATCHERS_IN_DOMAIN)
            .any(|name| *name == own.name)
    }

    /// Returns how many links lie between each entry and the target.
    pub fn distances(&self, target: &str) -> collections::BTreeMap<name::Name, u16> {
        let mut found = collections::BTreeMap::new();
        let mut queue = collections::VecDeque::new();
        if let Some((name, _)) = self.edges.get_key_value(target) {
            found.insert(name.clone(), 0);
            queue.push_back((name, 0));
        }
        while let Some((name, distance)) = queue.pop_front() {
            for next in self.neighbours(name) {
                if !found.contains_key(next) {
                    found.insert(next.clone(), distance + 1);
                    queue.push_back((next, distance + 1));
                }
            }
        }
        found
    }

    fn successors(&self, own: &member::Member, ring: u64) -> Vec<name::Name> {
        let Some(domain) = self.domains.get(&own.domain) else {
            return Vec::new();
        };
        let ring = order(domain, ring);
        let Some(at) = ring.iter().position(|name| *name == own.name) else {
            return Vec::new();
        };
        (1..ring.len())
            .take(CANDIDATES)
            .map(|step| ring[(at + step) % ring.len()].clone())
            .collect()
    }

    fn bridges(&self, own: &member::Member, other: &name::Name) -> Vec<Vec<name::Name>> {
        let (Some(near), Some(far)) = (self.domains.get(&own.domain), self.domains.get(other))
        else {
            return Vec::new();
        };
        let seed = pair_seed(&own.domain, other);
        let near = order(near, seed);
        let far = order(far, seed);
        (0..self.ranks(near.len(), far.len()))
            .filter(|rank| near[rank % near.len()] == own.name)
            .map(|rank| {
                (0..far.len())
                    .take(CANDIDATES)
                    .map(|step| far[(rank + step) % far.len()].clone())
                    .collect()
            })
            .collect()
    }

    fn ranks(&self, near: usize, far: usize) -> usize {
        let bridges = match self.domains.len() {
            0..=FEW_DOMAINS => BRIDGES,
            _ => FEWER_BRIDGES,
        };
        bridges.min(near.max(far))
    }

    fn link_domains(&mut self, first: &name::Name, second: &name::Name) {
        let seed = pair_seed(first, second);
        let near = order(&self.domains[first], seed);
        let far = order(&self.domains[second], seed);
        for rank in 0..self.ranks(near.len(), far.len()) {
            link(
                &mut self.edges,
                &near[rank % near.len()],
                &far[rank % far.len()],
            );
        }
    }
}

/// Seeds of the orders by which watchers are chosen; apart from those of the rings.
const WATCH_SEED: u64 = 1 << 32;

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

fn order(names: &[name::Name], seed: u64) -> Vec<name::Name> {
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
