//! Shortest paths through the link graph.

use std::collections;

use super::{links, member, topology};
use crate::name;

/// Maximum number of targets whose distances are cached.
const MAX_TARGETS: usize = 64;

/// Number of hops from each entry to one target.
#[derive(Debug)]
struct Distances {
    hops: collections::BTreeMap<name::Name, u16>,
    max_hops: u16,
}

/// Shortest paths through the link graph, with cached distances.
#[derive(Debug, Default)]
pub struct Routes {
    topology: topology::Topology,
    distances: collections::BTreeMap<name::Name, Distances>,
}

impl Routes {
    /// Builds the link graph of the listed entries, with an empty cache.
    pub fn new<'a>(members: impl IntoIterator<Item = &'a member::Member>) -> Self {
        Self {
            topology: topology::Topology::new(members),
            distances: collections::BTreeMap::new(),
        }
    }

    /// Returns the link graph.
    pub fn topology(&self) -> &topology::Topology {
        &self.topology
    }

    /// Returns how many hops farther from the target the farthest entry is than this node.
    pub fn height(&mut self, own: &name::Name, target: &name::Name) -> u16 {
        let distances = self.distances_to(target);
        let distance = distances.hops.get(own).copied();
        distances.max_hops - distance.unwrap_or(distances.max_hops)
    }

    /// Returns the linked peer nearest to the target if it is nearer than this node.
    pub fn next_hop(
        &mut self,
        own: &name::Name,
        target: &name::Name,
        links: &links::Links,
    ) -> Option<name::Name> {
        let limit = self.distances_to(target).hops.get(own).copied()?;
        let hop = self.nearest(target, links)?;
        let distance = self.distances_to(target).hops.get(&hop).copied()?;
        (distance < limit).then_some(hop)
    }

    /// Returns the linked peer nearest to the target.
    pub fn nearest(&mut self, target: &name::Name, links: &links::Links) -> Option<name::Name> {
        if links.get(target).is_some() {
            return Some(target.clone());
        }
        let distances = &self.distances_to(target).hops;
        links
            .iter()
            .filter(|(_, link)| !link.leaf)
            .filter_map(|(peer, _)| distances.get(peer).map(|distance| (distance, peer)))
            .min()
            .map(|(_, peer)| peer.clone())
    }

    fn distances_to(&mut self, target: &name::Name) -> &Distances {
        if self.distances.len() >= MAX_TARGETS && !self.distances.contains_key(target) {
            self.distances.clear();
        }
        let topology = &self.topology;
        self.distances.entry(target.clone()).or_insert_with(|| {
            let hops = topology.distances(target);
            let max_hops = hops.values().max().copied().unwrap_or(0);
            Distances { hops, max_hops }
        })
    }
}
