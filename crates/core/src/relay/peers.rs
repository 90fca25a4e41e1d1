//! Other instances, as their digests show them.

use std::collections;
use std::net;
use std::time::Duration;

use super::digest;
use super::peer;
use super::pulse;
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

/// Other instances.
#[derive(Clone, Debug)]
pub struct Peers {
    own: net::SocketAddr,
    peers: collections::BTreeMap<name::Name, peer::Peer>,
    /// Addresses of which nothing has been heard yet, until when they are tried.
    hints: collections::BTreeMap<net::SocketAddr, time::Time>,
    /// Microseconds of work that all of them have given to each service since this process began.
    work: collections::BTreeMap<name::Name, u64>,
}

impl Peers {
    /// Builds the view of an instance that listens on `own`.
    pub const fn new(own: net::SocketAddr) -> Self {
        Self {
            own,
            peers: collections::BTreeMap::new(),
            hints: collections::BTreeMap::new(),
            work: collections::BTreeMap::new(),
        }
    }

    /// Notes addresses at which instances may be.
    pub fn hint(&mut self, now: time::Time, addresses: impl IntoIterator<Item = net::SocketAddr>) {
        for address in addresses {
            let is_known = self.peers.values().any(|p| p.digest.address == address);
            if !is_known && address != self.own && self.hints.len() < MAX_PEERS {
                self.hints.entry(address).or_insert(now.after(LOST));
            }
        }
    }

    /// Takes a digest; returns what it adds to the caps, or `None` if it is an old one.
    pub fn hear(&mut self, now: time::Time, digest: digest::Digest) -> Option<Vec<peer::Charge>> {
        let known = self.peers.get(&digest.pulse.sender);
        if known.is_some_and(|p| p.is_former(&digest.pulse, now)) {
            return None;
        }
        if known.is_none() && self.peers.len() >= MAX_PEERS {
            return None;
        }
        self.hints.remove(&digest.address);
        self.hint(now, digest.members.iter().copied().take(MAX_TOLD));
        self.add_work(&digest);
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

    /// Adds what an instance has given since its last digest; a new process begins at zero.
    fn add_work(&mut self, digest: &digest::Digest) {
        let known = self.peers.get(&digest.pulse.sender);
        let same = known.filter(|p| p.is_same(&digest.pulse));
        for work in &digest.work {
            let told = same.and_then(|p| p.digest.work.iter().find(|w| w.service == work.service));
            let before = told.map_or(0, |w| w.micros);
            let sum = self.work.entry(work.service.clone()).or_default();
            *sum = sum.saturating_add(work.micros.saturating_sub(before));
        }
    }

    /// Returns the microseconds of work that the others have given to a service.
    pub fn work(&self, service: &name::Name) -> u64 {
        self.work.get(service).copied().unwrap_or(0)
    }

    /// Notes which instances are lost, and returns the names of those that were not before;
    /// forgets those that have been for long.
    ///
    /// Only the larger side of a cut forgets the other one and takes over its part of the limits. An
    /// instance that said that it stops is forgotten as soon as it is lost.
    pub fn sweep(&mut self, now: time::Time) -> Vec<name::Name> {
        self.hints.retain(|_, until| *until > now);
        let mut lost = Vec::new();
        for peer in self.peers.values_mut() {
            if !peer.lost && peer.heard.after(LOST) <= now {
                peer.lost = true;
                lost.push(peer.digest.pulse.sender.clone());
            }
        }
        let is_larger = 2 * (self.heard(now) + 1) > self.peers.len() + 1;
        self.peers.retain(|_, peer| {
            let is_forgotten = is_larger && peer.heard.after(FORGOTTEN) <= now;
            let is_gone = peer.lost && peer.digest.pulse.leaving;
            !(is_forgotten || is_gone)
        });
        lost
    }

    /// Tells whether an instance is remembered, heard or not.
    pub fn knows(&self, name: &name::Name) -> bool {
        self.peers.contains_key(name)
    }

    /// Tells whether an instance is known and heard.
    pub fn is_member(&self, now: time::Time, name: &name::Name) -> bool {
        self.peers.get(name).is_some_and(|p| !p.is_quiet(now))
    }

    /// Returns the other instances.
    pub fn all(&self) -> impl Iterator<Item = &peer::Peer> {
        self.peers.values()
    }

    /// Returns the addresses that get this instance's digests.
    pub fn addresses(&self) -> Vec<net::SocketAddr> {
        let known = self.peers.values().map(|p| p.digest.address);
        known.chain(self.hints.keys().copied()).collect()
    }

    /// Returns some addresses to tell others.
    pub fn told(&self, now: time::Time) -> Vec<net::SocketAddr> {
        let fresh = self.peers.values().filter(|p| !p.is_quiet(now));
        fresh.map(|p| p.digest.address).take(MAX_TOLD).collect()
    }

    /// Returns the names of the instances that are heard and not stopping.
    pub fn serving(&self, now: time::Time) -> impl Iterator<Item = &name::Name> {
        let heard = self.peers.values().filter(move |p| !p.is_quiet(now));
        heard
            .filter(|p| !p.digest.pulse.leaving)
            .map(|p| &p.digest.pulse.sender)
    }

    /// Returns how many instances that come before `own` hear of changes from the store.
    pub fn fed_before(&self, now: time::Time, own: &name::Name) -> usize {
        let own = feeding_order(own);
        self.fed(now)
            .filter(|name| feeding_order(name) < own)
            .count()
    }

    /// Tells whether any of them hears of changes from the store.
    pub fn is_fed(&self, now: time::Time) -> bool {
        self.fed(now).next().is_some()
    }

    fn fed(&self, now: time::Time) -> impl Iterator<Item = &name::Name> {
        let heard = self.peers.values().filter(move |p| !p.is_quiet(now));
        let fed = heard.filter(|p| p.digest.pulse.fed && !p.digest.pulse.leaving);
        fed.map(|p| &p.digest.pulse.sender)
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
        self.peers.values().filter(|p| !p.is_quiet(now)).count()
    }

    /// Returns the number of instances that share the work, this one included.
    pub fn instances(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the part of shared limits that this instance and those it hears may use; those of
    /// which only an address is known may be using theirs.
    pub fn part(&self, now: time::Time) -> f64 {
        let serving = self.peers.values().filter(|p| !p.digest.pulse.leaving);
        let heard = serving.filter(|p| !p.is_quiet(now)).count() + 1;
        let leaving = self
            .peers
            .values()
            .filter(|p| p.digest.pulse.leaving)
            .count();
        let all = self.peers.len() - leaving + self.hints.len() + 1;
        heard as f64 / all as f64
    }

    /// Returns the units a second that the instances that are heard are asked for, by workspace.
    pub fn demands(&self, now: time::Time) -> collections::BTreeMap<name::Name, f64> {
        let mut demands = collections::BTreeMap::new();
        let heard = self.peers.values().filter(|p| !p.is_quiet(now));
        let spent = heard.flat_map(|p| &p.digest.pulse.spent);
        for spent in spent.filter(|spent| spent.demand > 0) {
            let sum = demands.entry(spent.workspace.clone()).or_default();
            *sum += spent.demand as f64;
        }
        demands
    }

    /// Tells whether an instance has fallen silent that may yet be heard soon.
    pub fn has_quiet(&self, now: time::Time) -> bool {
        self.peers
            .values()
            .any(|p| !p.digest.pulse.leaving && !p.lost && p.is_quiet(now))
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
    ) -> impl Iterator<Item = &peer::Peer> {
        let fresh = self.peers.values().filter(move |p| !p.is_quiet(now));
        fresh.filter(move |p| {
            let position = p.position(kind);
            position.changed > own.changed && position.content != own.content
        })
    }

    /// Returns the highest revision at which an instance knows the same objects of a kind.
    pub fn confirmed(&self, now: time::Time, kind: usize, own: digest::Position) -> u64 {
        let fresh = self.peers.values().filter(|p| !p.is_quiet(now));
        let same = fresh.map(|p| p.position(kind));
        let same = same.filter(|position| position.content == own.content);
        same.fold(own.changed, |most, position| most.max(position.changed))
    }
}

/// Returns an instance's place in the order in which they hear from the store. Names of one
/// failure domain are often alike, and a cut there must not meet all that hear.
fn feeding_order(name: &name::Name) -> u64 {
    twox_hash::XxHash64::oneshot(0, name.as_bytes())
}
