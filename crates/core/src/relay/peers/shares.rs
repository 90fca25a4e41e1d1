//! How many instances there are, and their demand on the shared limits.

use std::net;
use std::time::Duration;

use super::Peers;
use crate::relay::name_table;
use crate::relay::sum;
use crate::time;

impl Peers {
    /// Returns the load of the other members of the own group.
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

    /// Returns how many other members of the own group may be using their share of the limits.
    pub fn limit_sharers(&self) -> usize {
        let sharing = self.peers.values().filter(|p| !p.digest.heartbeat.leaving);
        sharing.count()
    }

    /// Returns how many other instances are reachable.
    pub fn reachable(&self, now: time::Time) -> usize {
        let members = self
            .peers
            .values()
            .filter(|p| !p.is_unreachable(now))
            .count();
        members + self.groups.reachable(now)
    }

    /// Returns the number of instances that share the load, this one included.
    pub fn instances(&self) -> usize {
        self.peers.len() + self.groups.known_instances() + 1
    }

    /// Returns the share of the limits that this instance and those it can reach may use.
    /// Instances of which only an address is known may be using theirs.
    pub fn reachable_share(&self, now: time::Time) -> f64 {
        let serving = self.peers.values().filter(|p| !p.digest.heartbeat.leaving);
        let reachable =
            serving.filter(|p| !p.is_unreachable(now)).count() + self.groups.reachable(now) + 1;
        reachable as f64 / self.limit_holders() as f64
    }

    /// Returns the number of instances that may be using a share of a limit, reachable or not,
    /// this one included.
    pub fn limit_holders(&self) -> usize {
        self.limit_sharers() + self.groups.known_instances() + self.unreported() + 1
    }

    /// Returns how many instances are known by address only and are covered by no summary.
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

    /// Returns the demand on the other members of the own group, in units per second by workspace.
    pub fn group_demands(&self, now: time::Time) -> name_table::NameTable<u64> {
        let reachable = self.peers.values().filter(|p| !p.is_unreachable(now));
        let mut demands = name_table::NameTable::default();
        for peer in reachable {
            let mut cursor = name_table::Cursor::default();
            for usage in &peer.digest.heartbeat.usage {
                *demands.next(&mut cursor, &usage.workspace) += usage.demand;
            }
        }
        demands
    }

    /// Returns the demand on all other instances, in units per second by workspace.
    pub fn demands(&self, now: time::Time) -> name_table::NameTable<f64> {
        let reachable = self.peers.values().filter(|p| !p.is_unreachable(now));
        let members = reachable.map(|p| &p.digest.heartbeat.usage);
        let others = self.groups.fresh_summaries(now).map(|s| &s.sum.usage);
        let mut demands = name_table::NameTable::default();
        for list in members.chain(others) {
            let mut cursor = name_table::Cursor::default();
            for usage in list {
                *demands.next(&mut cursor, &usage.workspace) += usage.demand as f64;
            }
        }
        demands
    }

    /// Returns the time until all others know what one instance has admitted.
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

    /// Returns `true` if an instance has become unreachable that may return soon.
    pub fn has_unreachable(&self, now: time::Time) -> bool {
        let mut peers = self.peers.values();
        let is_unreachable =
            peers.any(|p| !p.digest.heartbeat.leaving && !p.lost && p.is_unreachable(now));
        is_unreachable || self.groups.has_unreachable(now)
    }
}
