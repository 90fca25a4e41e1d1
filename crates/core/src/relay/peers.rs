//! Other instances: those of the own group as their digests show them, all others as sums.

use std::collections;
use std::net;
use std::time::Duration;

use super::digest;
use super::group;
use super::groups;
use super::member;
use super::peer;
use super::pulse;
use super::sum;
use super::summary;
use super::tallies;
use super::works;
use crate::name;
use crate::time;

/// Silence after which an instance is taken as lost, and its work with it.
const LOST: Duration = Duration::from_secs(12);
/// Silence after which an instance is forgotten. Until then it may live behind a cut and use its
/// part of the shared limits.
pub(super) const FORGOTTEN: Duration = Duration::from_secs(600);
/// Instances that are remembered.
const MAX_PEERS: usize = 1_024;
/// Addresses that one digest tells.
const MAX_TOLD: usize = 16;
/// Instances that are remembered from a list.
const MAX_LISTED: usize = 4_096;
/// Instances of one scope that a summary names.
const MAX_NAMED: usize = 4;

/// Other instances.
#[derive(Clone, Debug)]
pub struct Peers {
    own: member::Member,
    division: group::Division,
    /// The members of the own group.
    peers: collections::BTreeMap<name::Name, peer::Peer>,
    /// All other groups.
    groups: groups::Groups,
    /// Addresses of which nothing has been heard yet, until when they are tried.
    hints: collections::BTreeMap<net::SocketAddr, time::Time>,
    /// Instances that a list has named, by address, with their failure domains.
    listed: collections::BTreeMap<net::SocketAddr, member::Member>,
    works: works::Works,
}

impl Peers {
    /// Builds the view of an instance.
    pub const fn new(own: member::Member) -> Self {
        Self {
            own,
            division: group::Division::WHOLE,
            peers: collections::BTreeMap::new(),
            groups: groups::Groups::new(),
            hints: collections::BTreeMap::new(),
            listed: collections::BTreeMap::new(),
            works: works::Works::new(),
        }
    }

    /// Returns how the fleet is divided.
    pub const fn division(&self) -> group::Division {
        self.division
    }

    /// Returns the group of this instance.
    pub fn group(&self) -> group::Group {
        self.division.group(&self.own.domain, &self.own.name)
    }

    /// Takes over a finer division of the fleet. Members of other groups are heard no more from then
    /// on, and what was known of groups that are no more is forgotten.
    fn divide(&mut self, division: group::Division) {
        if division <= self.division {
            return;
        }
        self.division = division;
        let own = self.group();
        self.peers
            .retain(|name, peer| division.group(&peer.digest.pulse.domain, name) == own);
        self.groups.clear();
    }

    /// Divides the fleet if it has grown too large for its groups.
    fn divide_by_size(&mut self) {
        let listed = self.listed.values().map(|member| &member.domain);
        let unlisted = self
            .peers
            .values()
            .filter(|peer| !self.listed.contains_key(&peer.digest.address));
        let heard = unlisted.map(|peer| &peer.digest.pulse.domain);
        let division = group::Division::of(listed.chain(heard).chain([&self.own.domain]));
        self.divide(division);
    }

    /// Notes the instances that a list names.
    pub fn list(&mut self, now: time::Time, members: impl IntoIterator<Item = member::Member>) {
        for member in members {
            if member.address == self.own.address || self.listed.len() >= MAX_LISTED {
                continue;
            }
            self.hint(now, [member.address]);
            self.listed.insert(member.address, member);
        }
        self.divide_by_size();
    }

    /// Tells whether an address may be that of a member of the own group.
    fn is_near(&self, address: &net::SocketAddr) -> bool {
        let listed = self.listed.get(address);
        listed.is_none_or(|member| self.group_of(member) == self.group())
    }

    /// Returns the group of an instance.
    pub fn group_of(&self, member: &member::Member) -> group::Group {
        self.division.group(&member.domain, &member.name)
    }

    /// Notes addresses at which instances may be.
    pub fn hint(&mut self, now: time::Time, addresses: impl IntoIterator<Item = net::SocketAddr>) {
        for address in addresses {
            let is_known = self.peers.values().any(|p| p.digest.address == address);
            if !is_known && address != self.own.address && self.hints.len() < MAX_PEERS {
                self.hints.entry(address).or_insert(now.after(LOST));
            }
        }
    }

    /// Tells whether a message comes from a member of the own group; a finer division that it tells
    /// is taken over first.
    pub fn is_mate(&mut self, pulse: &pulse::Pulse) -> bool {
        self.divide(pulse.division);
        self.division.group(&pulse.domain, &pulse.sender) == self.group()
    }

    /// Takes a digest of a member of the own group; returns what it adds to the caps, or `None` if it
    /// is an old one.
    pub fn hear(&mut self, now: time::Time, digest: digest::Digest) -> Option<Vec<peer::Charge>> {
        if !self.is_mate(&digest.pulse) {
            return None;
        }
        let known = self.peers.get(&digest.pulse.sender);
        if known.is_some_and(|p| p.is_former(&digest.pulse, now)) {
            return None;
        }
        if known.is_none() && self.peers.len() >= MAX_PEERS {
            return None;
        }
        self.hints.remove(&digest.address);
        self.hint(now, digest.members.iter().copied().take(MAX_TOLD));
        let process = digest.tally().process;
        self.works.hear(now, &process, &digest.work);
        let known = self.peers.get_mut(&digest.pulse.sender);
        if let Some(peer) = known.filter(|p| p.is_same(&digest.pulse)) {
            let charges = peer.charge(now, &digest.pulse);
            peer.digest = digest;
            peer.told = now;
            return Some(charges);
        }
        let name = digest.pulse.sender.clone();
        self.peers.insert(name, peer::Peer::new(now, digest));
        Some(Vec::new())
    }

    /// Takes a pulse; returns what it adds to the caps, or `None` if no digest came before it.
    pub fn beat(&mut self, now: time::Time, pulse: pulse::Pulse) -> Option<Vec<peer::Charge>> {
        let peer = self.peers.get_mut(&pulse.sender)?;
        if !peer.is_same(&pulse) {
            return None;
        }
        let charges = peer.charge(now, &pulse);
        peer.digest.pulse = pulse;
        Some(charges)
    }

    /// Takes a delegate's summary; returns what it adds to the caps.
    pub fn sum_up(&mut self, now: time::Time, summary: summary::Summary) -> Vec<peer::Charge> {
        self.divide(summary.division);
        let own = self.group();
        let is_other = match &summary.scope {
            summary::Scope::Group(group) => *group != own,
            summary::Scope::Outside => self.peers.contains_key(&summary.sender),
        };
        if summary.division < self.division || summary.sender == self.own.name || !is_other {
            return Vec::new();
        }
        self.hints.remove(&summary.address);
        self.groups.hear(now, summary)
    }

    /// Notes the work that an instance of another group has given.
    pub fn account(&mut self, now: time::Time, process: &tallies::Process, work: &[digest::Work]) {
        if !self.peers.contains_key(&process.name) && process.name != self.own.name {
            self.works.hear(now, process, work);
        }
    }

    /// Returns the microseconds of work that the others have given to a service, as far as they
    /// were told here.
    pub fn work(&self, service: &name::Name) -> u64 {
        self.works.of(service)
    }

    /// Notes which instances are lost, and returns the names of those that were not before;
    /// forgets those that have been for long.
    ///
    /// Only the larger side of a cut forgets the other one and takes over its part of the limits. An
    /// instance that said that it stops is forgotten as soon as it is lost.
    pub fn sweep(&mut self, now: time::Time) -> Vec<name::Name> {
        self.hints.retain(|_, until| *until > now);
        self.divide_by_size();
        let is_direct = self.is_delegate(now);
        self.groups.set_direct(is_direct);
        let mut lost = Vec::new();
        for peer in self.peers.values_mut() {
            if !peer.lost && peer.heard.after(LOST) <= now {
                peer.lost = true;
                lost.push(peer.digest.pulse.sender.clone());
            }
        }
        let is_larger = 2 * (self.heard(now) + 1) > self.instances();
        self.groups.sweep(now, is_larger);
        self.peers.retain(|_, peer| {
            let is_forgotten = is_larger && peer.heard.after(FORGOTTEN) <= now;
            let is_gone = peer.lost && peer.digest.pulse.leaving;
            !(is_forgotten || is_gone)
        });
        lost
    }

    /// Tells whether an instance is remembered, heard or not.
    pub fn knows(&self, now: time::Time, name: &name::Name) -> bool {
        let since =
            time::Time::from_micros(now.as_micros().saturating_sub(FORGOTTEN.as_micros() as u64));
        self.peers.contains_key(name) || self.works.has_heard(name, since)
    }

    /// Tells whether an instance is known and heard.
    pub fn is_member(&self, now: time::Time, name: &name::Name) -> bool {
        self.peers.get(name).is_some_and(|p| !p.is_quiet(now))
    }

    /// Returns the other members of the own group.
    pub fn all(&self) -> impl Iterator<Item = &peer::Peer> {
        self.peers.values()
    }

    /// Returns the addresses that get this instance's digests.
    pub fn addresses(&self) -> Vec<net::SocketAddr> {
        let known = self.peers.values().map(|p| p.digest.address);
        let hints = self.hints.keys().filter(|address| self.is_near(address));
        known.chain(hints.copied()).collect()
    }

    /// Returns some addresses to tell others.
    pub fn told(&self, now: time::Time) -> Vec<net::SocketAddr> {
        let fresh = self.peers.values().filter(|p| !p.is_quiet(now));
        fresh.map(|p| p.digest.address).take(MAX_TOLD).collect()
    }

    /// Returns the names of the members of the own group that are heard and not stopping.
    pub fn serving(&self, now: time::Time) -> impl Iterator<Item = &name::Name> {
        let heard = self.peers.values().filter(move |p| !p.is_quiet(now));
        heard
            .filter(|p| !p.digest.pulse.leaving)
            .map(|p| &p.digest.pulse.sender)
    }

    /// Returns how many instances that come before `own` hear of changes from the store.
    pub fn fed_before(&self, now: time::Time, own: &name::Name) -> usize {
        let own = group::order(own);
        let fed: collections::BTreeSet<_> = self.fed(now).collect();
        let before = fed.into_iter().filter(|name| group::order(name) < own);
        before.count()
    }

    /// Returns how many members of the own group come before `own` in the order in which they are
    /// to hear from the store, those not heard yet included.
    pub fn before(&self, now: time::Time, own: &name::Name) -> usize {
        let own = group::order(own);
        let hints = self
            .hints
            .keys()
            .filter_map(|address| self.listed.get(address));
        let listed = hints.filter(|m| self.group_of(m) == self.group());
        let names = self.serving(now).chain(listed.map(|m| &m.name));
        let names: collections::BTreeSet<_> = names.collect();
        let before = names.into_iter().filter(|name| group::order(name) < own);
        before.count()
    }

    /// Tells whether any of them hears of changes from the store.
    pub fn is_fed(&self, now: time::Time) -> bool {
        self.fed(now).next().is_some()
    }

    fn fed(&self, now: time::Time) -> impl Iterator<Item = &name::Name> {
        let heard = self.peers.values().filter(move |p| !p.is_quiet(now));
        let fed = heard.filter(|p| p.digest.pulse.fed && !p.digest.pulse.leaving);
        let fed = fed.map(|p| &p.digest.pulse.sender);
        fed.chain(self.groups.feeders(now))
    }

    /// Returns the first in the order of their names of those that may be chosen for the duties.
    pub fn candidates(&self, now: time::Time, leaving: bool) -> Vec<member::Member> {
        let mates = self.mates(now, leaving);
        first(mates.chain(self.groups.candidates(now).cloned()))
    }

    /// Returns those of the own group among them.
    pub fn near_candidates(&self, now: time::Time, leaving: bool) -> Vec<member::Member> {
        first(self.mates(now, leaving))
    }

    /// Returns the members of the own group that are heard and not stopping, this one included.
    fn mates(&self, now: time::Time, leaving: bool) -> impl Iterator<Item = member::Member> {
        let heard = self.peers.values().filter(move |p| !p.is_quiet(now));
        let serving = heard.filter(|p| !p.digest.pulse.leaving);
        let mates = serving.map(|p| member::Member {
            name: p.digest.pulse.sender.clone(),
            domain: p.digest.pulse.domain.clone(),
            address: p.digest.address,
        });
        mates.chain((!leaving).then(|| self.own.clone()))
    }

    /// Returns the delegates of the own group as this instance sees it.
    pub fn delegates(&self, now: time::Time, leaving: bool) -> Vec<member::Member> {
        let mut mates: Vec<_> = self.mates(now, leaving).collect();
        mates.sort_by_key(|mate| group::order(&mate.name));
        mates.truncate(group::DELEGATES);
        mates
    }

    /// Tells whether this instance speaks with other groups.
    pub fn is_delegate(&self, now: time::Time) -> bool {
        let is_own = |mate: &member::Member| mate.name == self.own.name;
        self.division.is_divided() && self.delegates(now, false).iter().any(is_own)
    }

    /// Returns what is known of the other groups.
    pub const fn groups(&self) -> &groups::Groups {
        &self.groups
    }

    /// Returns where each other group is reached: its delegates, and while it is silent, any instance
    /// that a list has named.
    pub fn routes(
        &self,
        now: time::Time,
    ) -> collections::BTreeMap<group::Group, Vec<net::SocketAddr>> {
        let mut routes = collections::BTreeMap::<_, Vec<_>>::new();
        let mut heard = collections::BTreeSet::new();
        for route in self.groups.routes(now) {
            if !route.is_silent() {
                heard.insert(route.group.clone());
            }
            routes.insert(route.group, route.addresses);
        }
        for member in self.listed.values() {
            let group = self.group_of(member);
            if group != self.group() && !heard.contains(&group) {
                routes.entry(group).or_default().push(member.address);
            }
        }
        routes
    }

    /// Returns what the members of the own group do besides this one.
    pub fn sum(&self, now: time::Time) -> sum::Sum {
        let mut loads = sum::Loads::default();
        let heard = self.peers.values().filter(|p| !p.is_quiet(now));
        heard.for_each(|p| loads.add(&p.digest.loads));
        sum::Sum {
            heard: self.serving(now).count() as u32,
            spent: Vec::new(),
            loads: loads.into_vec(),
        }
    }

    /// Returns how many members of the own group besides this one may be using their part of the shared
    /// limits.
    pub fn sharing(&self) -> usize {
        let sharing = self.peers.values().filter(|p| !p.digest.pulse.leaving);
        sharing.count()
    }

    /// Returns some members of the own group that hear of changes from the store.
    pub fn feeders(&self, now: time::Time) -> Vec<name::Name> {
        let heard = self.peers.values().filter(|p| !p.is_quiet(now));
        let fed = heard.filter(|p| p.digest.pulse.fed && !p.digest.pulse.leaving);
        let mut fed: Vec<_> = fed.map(|p| p.digest.pulse.sender.clone()).collect();
        fed.sort_by_key(group::order);
        fed.truncate(MAX_NAMED);
        fed
    }

    /// Returns where to ask the instances that are heard, the one that has run longest first.
    pub fn eldest(&self, now: time::Time) -> Vec<net::SocketAddr> {
        let heard = self.peers.values().filter(|p| !p.is_quiet(now));
        let mut digests: Vec<_> = heard.map(|p| &p.digest).collect();
        digests.sort_by_key(|digest| digest.pulse.incarnation);
        digests.into_iter().map(|digest| digest.address).collect()
    }

    /// Returns how many others are heard.
    pub fn heard(&self, now: time::Time) -> usize {
        let mates = self.peers.values().filter(|p| !p.is_quiet(now)).count();
        mates + self.groups.heard(now)
    }

    /// Returns the number of instances that share the work, this one included.
    pub fn instances(&self) -> usize {
        self.peers.len() + self.groups.known() + 1
    }

    /// Returns the part of shared limits that this instance and those it hears may use; those of
    /// which only an address is known may be using theirs.
    pub fn part(&self, now: time::Time) -> f64 {
        let serving = self.peers.values().filter(|p| !p.digest.pulse.leaving);
        let heard = serving.filter(|p| !p.is_quiet(now)).count() + self.groups.heard(now) + 1;
        let all = self.sharing() + self.groups.known() + self.unheard() + 1;
        heard as f64 / all as f64
    }

    /// Returns the instances of which only an address is known and of which no summary tells.
    pub fn unheard(&self) -> usize {
        let own = self.group();
        let is_unheard = |address: &&net::SocketAddr| {
            let group = self
                .listed
                .get(*address)
                .map(|member| self.group_of(member));
            group.is_none_or(|group| group == own || !self.groups.has_heard(&group))
        };
        self.hints.keys().filter(is_unheard).count()
    }

    /// Returns the units a second that the other members of the own group are asked for, by
    /// workspace.
    pub fn mate_demands(&self, now: time::Time) -> collections::BTreeMap<name::Name, u64> {
        let heard = self.peers.values().filter(|p| !p.is_quiet(now));
        let mut demands = collections::BTreeMap::new();
        for spent in heard.flat_map(|p| &p.digest.pulse.spent) {
            *demands.entry(spent.workspace.clone()).or_default() += spent.demand;
        }
        demands
    }

    /// Returns the units a second that the other instances are asked for, by workspace.
    pub fn demands(&self, now: time::Time) -> collections::BTreeMap<name::Name, f64> {
        let heard = self.peers.values().filter(|p| !p.is_quiet(now));
        let mates = heard.flat_map(|p| &p.digest.pulse.spent);
        let others = self.groups.fresh(now).flat_map(|s| &s.sum.spent);
        let mut demands = collections::BTreeMap::new();
        for spent in mates.chain(others).filter(|spent| spent.demand > 0) {
            let sum = demands.entry(spent.workspace.clone()).or_default();
            *sum += spent.demand as f64;
        }
        demands
    }

    /// Returns the time until what one instance admits is known to all others.
    pub fn lag(&self) -> Duration {
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
    pub fn has_quiet(&self, now: time::Time) -> bool {
        let mut peers = self.peers.values();
        let is_quiet = peers.any(|p| !p.digest.pulse.leaving && !p.lost && p.is_quiet(now));
        is_quiet || self.groups.has_quiet(now)
    }

    /// Returns how far the others' true time lies ahead of this instance's, in microseconds.
    pub fn ahead(&self, now: time::Time, micros: u64) -> Vec<i64> {
        let fresh = self.peers.values().filter(|p| !p.is_quiet(now));
        fresh
            .map(|p| {
                let age = p.told.until(now).as_micros() as i64;
                p.digest.micros as i64 + age - micros as i64
            })
            .collect()
    }

    /// Returns the instances that know of changes of a kind of object that this one does not.
    pub fn beyond(
        &self,
        now: time::Time,
        kind: usize,
        own: digest::Position,
    ) -> impl Iterator<Item = Reader<'_>> {
        let readers = self.readers(now, kind);
        readers.filter(move |reader| {
            let position = reader.position;
            position.changed > own.changed && position.content != own.content
        })
    }

    /// Returns the highest revision at which an instance knows the same objects of a kind.
    pub fn confirmed(&self, now: time::Time, kind: usize, own: digest::Position) -> u64 {
        let same = self.readers(now, kind).map(|reader| reader.position);
        let same = same.filter(|position| position.content == own.content);
        same.fold(own.changed, |most, position| most.max(position.changed))
    }

    /// Returns the instances that are heard themselves, with how far they have read a kind.
    fn readers(&self, now: time::Time, kind: usize) -> impl Iterator<Item = Reader<'_>> {
        let mates = self.peers.values().filter(move |p| !p.is_quiet(now));
        let mates = mates.map(move |p| Reader {
            name: &p.digest.pulse.sender,
            address: p.digest.address,
            position: p.position(kind),
        });
        let contacts = self.groups.contacts(now).map(move |summary| Reader {
            name: &summary.sender,
            address: summary.address,
            position: summary.positions.get(kind).copied().unwrap_or_default(),
        });
        mates.chain(contacts)
    }
}

/// Returns the first instances in the order of their names.
fn first(members: impl Iterator<Item = member::Member>) -> Vec<member::Member> {
    let all: collections::BTreeSet<_> = members.collect();
    all.into_iter().take(MAX_NAMED).collect()
}

/// An instance that may tell what it has read.
#[derive(Clone, Copy, Debug)]
pub struct Reader<'a> {
    /// Its name.
    pub name: &'a name::Name,
    /// Where it serves changes.
    pub address: net::SocketAddr,
    /// How far it has read.
    pub position: digest::Position,
}
