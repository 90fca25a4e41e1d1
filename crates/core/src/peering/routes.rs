//! Ways through the links to one node.

use std::collections;

use super::{links, member, topology};
use crate::name;

/// Targets whose distances are kept.
const MAX_TARGETS: usize = 64;

/// How many links lie between each entry and one target.
#[derive(Debug)]
struct Distances {
    near: collections::BTreeMap<name::Name, u16>,
    most: u16,
}

/// Ways through the links to one node.
#[derive(Debug, Default)]
pub struct Routes {
    topology: topology::Topology,
    distances: collections::BTreeMap<name::Name, Distances>,
}

impl Routes {
    /// Builds the ways between the listed entries.
    pub fn new<'a>(members: impl IntoIterator<Item = &'a member::Member>) -> Self {
        Self {
            topology: topology::Topology::new(members),
            distances: collections::BTreeMap::new(),
        }
    }

    /// Returns the links that the ways follow.
    pub fn topology(&self) -> &topology::Topology {
        &self.topology
    }

    /// Returns how many links the longest way to the target has before it passes this node.
    pub fn behind(&mut self, own: &name::Name, target: &name::Name) -> u16 {
        let distances = self.to(target);
        let distance = distances.near.get(own).copied();
        distances.most - distance.unwrap_or(distances.most)
    }

    /// Returns the linked peer nearest to the target, if it is nearer than this node.
    pub fn closer(
        &mut self,
        own: &name::Name,
        target: &name::Name,
        links: &links::Links,
    ) -> Option<name::Name> {
        let limit = self.to(target).near.get(own).copied()?;
        let hop = self.nearest(target, links)?;
        let distance = self.to(target).near.get(&hop).copied()?;
        (distance < limit).then_some(hop)
    }

    /// Returns the linked peer nearest to the target.
    pub fn nearest(&mut self, target: &name::Name, links: &links::Links) -> Option<name::Name> {
        if links.get(target).is_some() {
            return Some(target.clone());
        }
        let distances = &self.to(target).near;
        links
            .iter()
            .filter(|(_, link)| !link.leaf)
            .filter_map(|(peer, _)| distances.get(peer).map(|distance| (distance, peer)))
            .min()
            .map(|(_, peer)| peer.clone())
    }

    fn to(&mut self, target: &name::Name) -> &Distances {
        if self.distances.len() >= MAX_TARGETS && !self.distances.contains_key(target) {
            self.distances.clear();
        }
        let topology = &self.topology;
        self.distances.entry(target.clone()).or_insert_with(|| {
            let near = topology.distances(target);
            let most = near.values().max().copied().unwrap_or(0);
            Distances { near, most }
        })
    }
}
