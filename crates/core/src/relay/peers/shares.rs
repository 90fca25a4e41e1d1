//! How many instances there are, and what they ask of the shared limits.

use std::collections;
use std::net;
use std::time::Duration;

use super::Peers;
use crate::name;
use crate::relay::sum;
use crate::time;

impl Peers {
    /// Returns what the members of the own group do besides this one.
    pub fn sum(&self, now: time::Time) -> sum::Sum {
        let mut loads = sum::Loads::default();
        let reachable = self.peers.values().filter(|p| !p.is_unreachable(now));
        reachable.for_each(|p| loads.add(&p.digest.loads));
        sum::Sum {
            reachable: self.serving(now).count() as u32,
            usage: Vec::new(),
            loads: loads.into_vec(),
        }
    }

    /// Returns how many members of the own group besides this one may be using their part of the shared
    /// limits.
    pub fn limit_sharers(&self) -> usize {
        let sharing = self.peers.values().filter(|p| !p.digest.heartbeat.leaving);
        sharing.count()
    }

    /// Returns how many others are heard.
    pub fn reachable(&self, now: time::Time) -> usize {
        let members = self
            .peers
            .values()
            .filter(|p| !p.is_unreachable(now))
            .count();
        members + self.groups.reachable(now)
    }

    /// Returns the number of instances that share the work, this one included.
    pub fn instances(&self) -> usize {
        self.peers.len() + self.groups.known_instances() + 1
    }

    /// Returns the part of shared limits that this instance and those it hears may use; those of
    /// which only an address is known may be using theirs.
    pub fn reachable_share(&self, now: time::Time) -> f64 {
        let serving = self.peers.values().filter(|p| !p.digest.heartbeat.leaving);
        let heard =
            serving.filter(|p| !p.is_unreachable(now)).count() + self.groups.reachable(now) + 1;
        let all = self.limit_sharers() + self.groups.known_instances() + self.unreported() + 1;
        heard as f64 / all as f64
    }

    /// Returns the instances of which only an address is known and of which no summary tells.
    pub fn unreported(&self) -> usize {
        let own = self.group();
        let is_unreported = |address: &&net::SocketAddr| {
            let group = self
                .listed
                .get(*address)
                .map(|member| self.group_of(member));
            group.is_none_or(|group| group == own || !self.groups.is_known(&group))
        };
        self.unverified.keys().filter(is_unreported).count()
    }

    /// Returns the units a second that the other members of the own group are asked for, by
    /// workspace.
    pub fn group_demands(&self, now: time::Time) -> collections::BTreeMap<name::Name, u64> {
        let reachable = self.peers.values().filter(|p| !p.is_unreachable(now));
        let mut demands = collections::BTreeMap::new();
        for usage in reachable.flat_map(|p| &p.digest.heartbeat.usage) {
            *demands.entry(usage.workspace.clone()).or_default() += usage.demand;
        }
        demands
    }

    /// Returns the units a second that the other instances are asked for, by workspace.
    pub fn demands(&self, now: time::Time) -> collections::BTreeMap<name::Name, f64> {
        let reachable = self.peers.values().filter(|p| !p.is_unreachable(now));
        let members = reachable.flat_map(|p| &p.digest.heartbeat.usage);
        let others = self.groups.fresh_summaries(now).flat_map(|s| &s.sum.usage);
        let mut demands = collections::BTreeMap::new();
        for usage in members.chain(others).filter(|usage| usage.demand > 0) {
            let sum = demands.entry(usage.workspace.clone()).or_default();
            *sum += usage.demand as f64;
        }
        demands
    }

    /// Returns the time until what one instance admits is known to all others.
    pub fn propagation_delay(&self) -> Duration {
        /// Within one group.
        const NEAR: Duration = Duration::from_millis(400);
        /// Through the delegates of two groups.
        const FAR: Duration = Duration::from_millis(700);
        match self.division.is_divided() {
            true => FAR,
            false => NEAR,
        }
    }

    /// Tells whether an instance has fallen silent that may yet be heard soon.
    pub fn has_unreachable(&self, now: time::Time) -> bool {
        let mut peers = self.peers.values();
        let is_unreachable =
            peers.any(|p| !p.digest.heartbeat.leaving && !p.lost && p.is_unreachable(now));
        is_unreachable || self.groups.has_unreachable(now)
    }
}
