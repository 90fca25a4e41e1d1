//! Other instances: the members of the own group by their digests, all others by summaries.

mod readers;
mod roles;
mod senders;
mod shares;

pub use readers::Reader;
pub(super) use senders::RATE_PER_SENDER;
pub use senders::phase;

use std::collections;
use std::net;
use std::time::Duration;

use super::digest;
use super::group;
use super::groups;
use super::heartbeat;
use super::member;
use super::peer;
use super::prefill_totals;
use super::summary;
use super::usage_counts;
use crate::name;
use crate::time;

/// Silence after which an instance counts as lost, and its requests on engines with it.
const LOST_AFTER: Duration = Duration::from_secs(12);
/// Silence after which an instance is forgotten. Until then it may be running behind a network
/// partition and using its share of the limits.
pub(super) const FORGET_AFTER: Duration = Duration::from_secs(600);
/// Members of the own group that are remembered, and the maximum of unverified addresses.
const MAX_PEERS: usize = 1_024;
/// Addresses in one digest.
const MAX_ADVERTISED: usize = 16;
/// Instances from lists that are remembered.
const MAX_LISTED: usize = 4_096;
/// Instances of one scope that a summary names.
const MAX_NAMED: usize = 4;

/// What this instance knows of all others.
#[derive(Clone, Debug)]
pub struct Peers {
    own: member::Member,
    division: group::Division,
    /// The other members of the own group.
    peers: collections::BTreeMap<name::Name, peer::Peer>,
    /// All other groups.
    groups: groups::Groups,
    /// Addresses from which no message has come yet, each with the time until which it is tried.
    unverified: collections::BTreeMap<net::SocketAddr, time::Time>,
    /// Instances named by lists, by address.
    listed: collections::BTreeMap<net::SocketAddr, member::Member>,
    prefill_totals: prefill_totals::PrefillTotals,
    /// Instances that have moved to another group since the last call of `take_regrouped`.
    regrouped: Vec<name::Name>,
}

impl Peers {
    /// Builds the view of an instance that knows no others.
    pub const fn new(own: member::Member) -> Self {
        Self {
            own,
            division: group::Division::UNDIVIDED,
            peers: collections::BTreeMap::new(),
            groups: groups::Groups::new(),
            unverified: collections::BTreeMap::new(),
            listed: collections::BTreeMap::new(),
            prefill_totals: prefill_totals::PrefillTotals::new(),
            regrouped: Vec::new(),
        }
    }

    /// Returns how the fleet is divided into groups.
    pub const fn division(&self) -> group::Division {
        self.division
    }

    /// Returns the group of this instance.
    pub fn group(&self) -> group::Group {
        self.division.group(&self.own.domain, &self.own.name)
    }

    /// Adopts a finer division of the fleet. Members of other groups are dropped, since they send
    /// no digests here from then on, and so are the groups of the old division.
    fn adopt_division(&mut self, division: group::Division) {
        if division <= self.division {
            return;
        }
        self.division = division;
        let own = self.group();
        let is_in_own_group = |name: &name::Name, peer: &peer::Peer| {
            division.group(&peer.digest.heartbeat.domain, name) == own
        };
        let regrouped = self
            .peers
            .extract_if(.., |name, peer| !is_in_own_group(name, peer));
        self.regrouped.extend(regrouped.map(|(name, _)| name));
        self.groups.clear();
    }

    /// Returns and clears the instances that have moved to another group. Their load is reported
    /// in summaries from then on.
    pub fn take_regrouped(&mut self) -> Vec<name::Name> {
        std::mem::take(&mut self.regrouped)
    }

    /// Divides the fleet if it has grown too large for its groups.
    fn update_division(&mut self) {
        let listed = self.listed.values().map(|member| &member.domain);
        let unlisted_peers = self
            .peers
            .values()
            .filter(|peer| !self.listed.contains_key(&peer.digest.address));
        let unlisted = unlisted_peers.map(|peer| &peer.digest.heartbeat.domain);
        let division =
            group::Division::from_domains(listed.chain(unlisted).chain([&self.own.domain]));
        self.adopt_division(division);
    }

    /// Adds instances named by a list.
    pub fn add_listed(
        &mut self,
        now: time::Time,
        members: impl IntoIterator<Item = member::Member>,
    ) {
        for member in members {
            if member.address == self.own.address || self.listed.len() >= MAX_LISTED {
                continue;
            }
            self.add_unverified(now, [member.address]);
            self.listed.insert(member.address, member);
        }
        self.update_division();
    }

    /// Returns `true` if the other instances have been listed.
    pub fn is_listed(&self) -> bool {
        !self.listed.is_empty()
    }

    /// Returns `true` if an address may be that of a member of the own group.
    fn may_be_group_peer(&self, address: &net::SocketAddr) -> bool {
        let listed = self.listed.get(address);
        listed.is_none_or(|member| self.group_of(member) == self.group())
    }

    /// Returns the group of an instance.
    pub fn group_of(&self, member: &member::Member) -> group::Group {
        self.division.group(&member.domain, &member.name)
    }

    /// Adds addresses at which instances may run.
    pub fn add_unverified(
        &mut self,
        now: time::Time,
        addresses: impl IntoIterator<Item = net::SocketAddr>,
    ) {
        for address in addresses {
            let is_known = self.peers.values().any(|p| p.digest.address == address);
            if !is_known && address != self.own.address && self.unverified.len() < MAX_PEERS {
                self.unverified
                    .entry(address)
                    .or_insert(now.after(LOST_AFTER));
            }
        }
    }

    /// Returns `true` if a message comes from a member of the own group. A finer division in the
    /// message is adopted first.
    pub fn is_group_peer(&mut self, heartbeat: &heartbeat::Heartbeat) -> bool {
        self.adopt_division(heartbeat.division);
        self.division.group(&heartbeat.domain, &heartbeat.sender) == self.group()
    }

    /// Applies a digest of a member of the own group. Returns what it adds to the caps, or `None`
    /// if it was ignored: its sender is in another group, it comes from an earlier process, or no
    /// more instances can be remembered.
    pub fn apply_digest(
        &mut self,
        now: time::Time,
        digest: digest::Digest,
    ) -> Option<Vec<peer::Charge>> {
        if !self.is_group_peer(&digest.heartbeat) {
            return None;
        }
        let known = self.peers.get(&digest.heartbeat.sender);
        if known.is_some_and(|p| p.is_outdated(&digest.heartbeat, now)) {
            return None;
        }
        if known.is_none() && self.peers.len() >= MAX_PEERS {
            return None;
        }
        self.unverified.remove(&digest.address);
        self.add_unverified(now, digest.members.iter().copied().take(MAX_ADVERTISED));
        let process = digest.process_counts().process;
        self.prefill_totals
            .record(now, &process, &digest.prefill_work);
        let known = self.peers.get_mut(&digest.heartbeat.sender);
        if let Some(peer) = known.filter(|p| p.is_same_process(&digest.heartbeat)) {
            let charges = peer.record_heartbeat(now, &digest.heartbeat);
            peer.digest = digest;
            peer.digest_at = now;
            return Some(charges);
        }
        let name = digest.heartbeat.sender.clone();
        self.peers.insert(name, peer::Peer::new(now, digest));
        Some(Vec::new())
    }

    /// Applies a heartbeat. Returns what it adds to the caps, or `None` if no digest of the same
    /// process came before it.
    pub fn apply_heartbeat(
        &mut self,
        now: time::Time,
        heartbeat: heartbeat::Heartbeat,
    ) -> Option<Vec<peer::Charge>> {
        let peer = self.peers.get_mut(&heartbeat.sender)?;
        if !peer.is_same_process(&heartbeat) {
            return None;
        }
        let charges = peer.record_heartbeat(now, &heartbeat);
        peer.digest.heartbeat = heartbeat;
        Some(charges)
    }

    /// Applies a delegate's summary and returns what it adds to the caps.
    pub fn apply_summary(
        &mut self,
        now: time::Time,
        summary: summary::Summary,
    ) -> Vec<peer::Charge> {
        self.adopt_division(summary.division);
        let own = self.group();
        let is_other = match &summary.scope {
            summary::Scope::Group(group) => *group != own,
            summary::Scope::Outside => self.peers.contains_key(&summary.sender),
        };
        if summary.division < self.division || summary.sender == self.own.name || !is_other {
            return Vec::new();
        }
        self.unverified.remove(&summary.address);
        self.groups.apply_summary(now, summary)
    }

    /// Records the prefill work that an instance of another group has sent to services.
    pub fn record_prefill_work(
        &mut self,
        now: time::Time,
        process: &usage_counts::Process,
        work: &[digest::PrefillWork],
    ) {
        if !self.peers.contains_key(&process.name) && process.name != self.own.name {
            self.prefill_totals.record(now, process, work);
        }
    }

    /// Returns the prefill work, in microseconds, that other instances have sent to a service
    /// since this process started, as far as it has been reported here.
    pub fn prefill_work(&self, service: &name::Name) -> u64 {
        self.prefill_totals.micros(service)
    }

    /// Marks silent instances as lost, returns the names of those newly lost, and forgets those
    /// that have been silent for long.
    ///
    /// Only the larger side of a network partition forgets the other side and takes over its share
    /// of the limits. An instance that announced its stop is forgotten as soon as it is lost.
    pub fn sweep(&mut self, now: time::Time) -> Vec<name::Name> {
        self.unverified.retain(|_, until| *until > now);
        self.update_division();
        let is_direct = self.is_delegate(now);
        self.groups.set_direct(is_direct);
        let mut lost = Vec::new();
        for peer in self.peers.values_mut() {
            if !peer.lost && peer.last_seen.after(LOST_AFTER) <= now {
                peer.lost = true;
                lost.push(peer.digest.heartbeat.sender.clone());
            }
        }
        let is_larger = 2 * (self.reachable(now) + 1) > self.instances();
        self.groups.sweep(now, is_larger);
        self.peers.retain(|_, peer| {
            let is_forgotten = is_larger && peer.last_seen.after(FORGET_AFTER) <= now;
            let is_gone = peer.lost && peer.digest.heartbeat.leaving;
            !(is_forgotten || is_gone)
        });
        lost
    }

    /// Returns `true` if an instance is remembered, reachable or not.
    pub fn is_known(&self, now: time::Time, name: &name::Name) -> bool {
        let since = now.before(FORGET_AFTER);
        self.peers.contains_key(name) || self.prefill_totals.is_reported_since(name, since)
    }

    /// Returns `true` if a member of the own group can be reached.
    pub fn is_reachable(&self, now: time::Time, name: &name::Name) -> bool {
        self.peers.get(name).is_some_and(|p| !p.is_unreachable(now))
    }

    /// Returns the other members of the own group.
    pub fn group_peers(&self) -> impl Iterator<Item = &peer::Peer> {
        self.peers.values()
    }

    /// Returns the addresses to which this instance sends its digests.
    pub fn recipients(&self) -> Vec<net::SocketAddr> {
        let known = self.peers.values().map(|p| p.digest.address);
        let unverified = self
            .unverified
            .keys()
            .filter(|address| self.may_be_group_peer(address));
        known.chain(unverified.copied()).collect()
    }

    /// Returns some addresses of reachable members, for use in digests.
    pub fn advertised(&self, now: time::Time) -> Vec<net::SocketAddr> {
        let fresh = self.peers.values().filter(|p| !p.is_unreachable(now));
        fresh
            .map(|p| p.digest.address)
            .take(MAX_ADVERTISED)
            .collect()
    }

    /// Returns the other groups.
    pub const fn groups(&self) -> &groups::Groups {
        &self.groups
    }

    /// Returns the addresses of each other group: its delegates and, while it is silent, all its
    /// instances that a list has named.
    pub fn routes(
        &self,
        now: time::Time,
    ) -> collections::BTreeMap<group::Group, Vec<net::SocketAddr>> {
        let mut routes = collections::BTreeMap::<_, Vec<_>>::new();
        let mut reachable = collections::BTreeSet::new();
        for route in self.groups.routes(now) {
            if !route.is_silent() {
                reachable.insert(route.group.clone());
            }
            routes.insert(route.group, route.addresses);
        }
        for member in self.listed.values() {
            let group = self.group_of(member);
            if group != self.group() && !reachable.contains(&group) {
                routes.entry(group).or_default().push(member.address);
            }
        }
        routes
    }

    /// Returns by how many microseconds the others' estimates of the true time are ahead of
    /// `micros`, this instance's own.
    pub fn clock_offsets(&self, now: time::Time, micros: u64) -> Vec<i64> {
        let fresh = self.peers.values().filter(|p| !p.is_unreachable(now));
        fresh
            .map(|p| {
                let age = p.digest_at.until(now).as_micros() as i64;
                p.digest.unix_micros as i64 + age - micros as i64
            })
            .collect()
    }
}
