//! Roles among the instances: store watchers, lease candidates and delegates.

use std::collections;
use std::net;

use super::MAX_NAMED;
use super::Peers;
use crate::name;
use crate::relay::group;
use crate::relay::member;
use crate::time;

impl Peers {
    /// Returns the names of the members of the own group that are reachable and not stopping.
    pub fn serving(&self, now: time::Time) -> impl Iterator<Item = &name::Name> {
        let reachable = self.peers.values().filter(move |p| !p.is_unreachable(now));
        reachable
            .filter(|p| !p.digest.heartbeat.leaving)
            .map(|p| &p.digest.heartbeat.sender)
    }

    /// Returns `true` if an instance in a failure domain is known by a list or its messages.
    pub fn has_instance_in(&self, domain: &name::Name) -> bool {
        let listed = self.listed.values().map(|member| &member.domain);
        let members = self.peers.values().map(|p| &p.digest.heartbeat.domain);
        listed.chain(members).any(|known| known == domain)
    }

    /// Returns how many store watchers come before `own` in selection order.
    pub fn store_watchers_before(&self, now: time::Time, own: &name::Name) -> usize {
        let own = group::selection_key(own);
        let watchers: collections::BTreeSet<_> = self.store_watchers(now).collect();
        let before = watchers
            .into_iter()
            .filter(|name| group::selection_key(name) < own);
        before.count()
    }

    /// Returns how many members of the own group come before `own` in the order in which they
    /// become store watchers, those not seen yet included.
    pub fn group_peers_before(&self, now: time::Time, own: &name::Name) -> usize {
        let own = group::selection_key(own);
        let unverified = self
            .unverified
            .keys()
            .filter_map(|address| self.listed.get(address));
        let listed = unverified.filter(|m| self.group_of(m) == self.group());
        let names = self.serving(now).chain(listed.map(|m| &m.name));
        let names: collections::BTreeSet<_> = names.collect();
        let before = names
            .into_iter()
            .filter(|name| group::selection_key(name) < own);
        before.count()
    }

    /// Returns `true` if any other instance watches the store.
    pub fn has_store_watcher(&self, now: time::Time) -> bool {
        self.store_watchers(now).next().is_some()
    }

    fn store_watchers(&self, now: time::Time) -> impl Iterator<Item = &name::Name> {
        let reachable = self.peers.values().filter(move |p| !p.is_unreachable(now));
        let watchers =
            reachable.filter(|p| p.digest.heartbeat.watching && !p.digest.heartbeat.leaving);
        let watchers = watchers.map(|p| &p.digest.heartbeat.sender);
        watchers.chain(self.groups.store_watchers(now))
    }

    /// Returns the lease candidates: the first instances in the order of their names.
    pub fn lease_candidates(&self, now: time::Time, leaving: bool) -> Vec<member::Member> {
        let members = self.group_members(now, leaving);
        first(members.chain(self.groups.lease_candidates(now).cloned()))
    }

    /// Returns the lease candidates of the own group.
    pub fn group_lease_candidates(&self, now: time::Time, leaving: bool) -> Vec<member::Member> {
        first(self.group_members(now, leaving))
    }

    /// Returns the members of the own group that are reachable and not stopping, this one
    /// included.
    fn group_members(
        &self,
        now: time::Time,
        leaving: bool,
    ) -> impl Iterator<Item = member::Member> {
        let reachable = self.peers.values().filter(move |p| !p.is_unreachable(now));
        let serving = reachable.filter(|p| !p.digest.heartbeat.leaving);
        let members = serving.map(|p| member::Member {
            name: p.digest.heartbeat.sender.clone(),
            domain: p.digest.heartbeat.domain.clone(),
            address: p.digest.address,
        });
        members.chain((!leaving).then(|| self.own.clone()))
    }

    /// Returns the delegates of the own group, as seen by this instance.
    pub fn delegates(&self, now: time::Time, leaving: bool) -> Vec<member::Member> {
        let mut members: Vec<_> = self.group_members(now, leaving).collect();
        members.sort_by_key(|member| group::selection_key(&member.name));
        members.truncate(group::MAX_DELEGATES);
        members
    }

    /// Returns `true` if this instance exchanges summaries with other groups.
    pub fn is_delegate(&self, now: time::Time) -> bool {
        let is_own = |member: &member::Member| member.name == self.own.name;
        self.division.is_divided() && self.delegates(now, false).iter().any(is_own)
    }

    /// Returns some members of the own group that watch the store.
    pub fn group_store_watchers(&self, now: time::Time) -> Vec<name::Name> {
        let reachable = self.peers.values().filter(|p| !p.is_unreachable(now));
        let watchers =
            reachable.filter(|p| p.digest.heartbeat.watching && !p.digest.heartbeat.leaving);
        let mut watchers: Vec<_> = watchers
            .map(|p| p.digest.heartbeat.sender.clone())
            .collect();
        watchers.sort_by_key(group::selection_key);
        watchers.truncate(MAX_NAMED);
        watchers
    }

    /// Returns the addresses of the reachable members of the own group, the longest running first.
    pub fn oldest_first(&self, now: time::Time) -> Vec<net::SocketAddr> {
        let reachable = self.peers.values().filter(|p| !p.is_unreachable(now));
        let mut digests: Vec<_> = reachable.map(|p| &p.digest).collect();
        digests.sort_by_key(|digest| digest.heartbeat.incarnation);
        digests.into_iter().map(|digest| digest.address).collect()
    }
}

/// Returns the first instances in the order of their names.
fn first(members: impl Iterator<Item = member::Member>) -> Vec<member::Member> {
    let all: collections::BTreeSet<_> = members.collect();
    all.into_iter().take(MAX_NAMED).collect()
}
