//! Link table of one node: links that are up, being dialled, or in backoff after a failure.

use std::cmp;
use std::collections;
use std::time::Duration;

use super::{event, heartbeat, member, topic};
use crate::name;
use crate::time;

/// Maximum number of links that are up.
pub const MAX_LINKS: usize = 64;
/// Time without a message after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(7);
/// Time after which an unfinished dial counts as failed.
const DIAL_TIMEOUT: Duration = Duration::from_secs(3);
/// Backoff after the first failure of a link; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum number of times the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// One link that is up.
#[derive(Clone, Debug)]
pub struct Link {
    /// Most recent heartbeat of the peer.
    pub last_heartbeat: Option<heartbeat::Heartbeat>,
    /// When the link is closed unless a message arrives.
    pub idle_deadline: time::Time,
    /// Whether the peer is a controller.
    pub leaf: bool,
    /// Whether the peer's digest of facts already differed at its previous heartbeat.
    pub digest_differed: bool,
    /// Sequence number of the last [`message::Reports`](super::message::Reports) from the peer.
    pub report_sequence: u64,
    outbound: bool,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: time::Time,
    failures: u32,
}

/// The links of one node.
#[derive(Debug, Default)]
pub struct Links {
    up: collections::BTreeMap<name::Name, Link>,
    dialing: collections::BTreeMap<name::Name, time::Time>,
    backoffs: collections::BTreeMap<name::Name, Backoff>,
    last_plan: time::Time,
}

impl Links {
    /// Adds a link that came up; returns `false` if [`MAX_LINKS`] are up already.
    pub fn try_add(&mut self, now: time::Time, peer: &name::Name) -> bool {
        let outbound = self.dialing.remove(peer).is_some();
        if self.up.len() >= MAX_LINKS && !self.up.contains_key(peer) {
            return false;
        }
        self.backoffs.remove(peer);
        let link = Link {
            last_heartbeat: None,
            idle_deadline: now.after(IDLE_TIMEOUT),
            leaf: false,
            digest_differed: false,
            report_sequence: 0,
            outbound,
        };
        self.up.insert(peer.clone(), link);
        true
    }

    /// Removes a link that went down or could not be dialled, and starts its backoff.
    pub fn fail(&mut self, now: time::Time, peer: &name::Name) {
        self.up.remove(peer);
        self.dialing.remove(peer);
        let failures = self
            .backoffs
            .get(peer)
            .map_or(0, |backoff| backoff.failures + 1);
        let delay = INITIAL_BACKOFF * (1 << failures.min(MAX_BACKOFF_DOUBLINGS));
        let until = now.after(delay);
        self.backoffs
            .insert(peer.clone(), Backoff { until, failures });
    }

    /// Ends the backoff of a peer that was restarted.
    pub fn clear_backoff(&mut self, peer: &str) {
        self.backoffs.remove(peer);
    }

    /// Extends the idle deadline of the link that a message arrived on.
    pub fn record_activity(&mut self, now: time::Time, peer: &str) -> Option<&mut Link> {
        let link = self.up.get_mut(peer)?;
        link.idle_deadline = now.after(IDLE_TIMEOUT);
        Some(link)
    }

    /// Returns the link to a peer.
    pub fn get(&self, peer: &str) -> Option<&Link> {
        self.up.get(peer)
    }

    /// Returns all links that are up.
    pub fn iter(&self) -> impl Iterator<Item = (&name::Name, &Link)> {
        self.up.iter()
    }

    /// Returns all linked peers except one.
    pub fn others(&self, except: Option<&name::Name>) -> impl Iterator<Item = &name::Name> {
        self.up.keys().filter(move |peer| Some(*peer) != except)
    }

    /// Returns how many links are up.
    pub fn len(&self) -> usize {
        self.up.len()
    }

    /// Sets whether a peer is a controller.
    pub fn set_leaf(&mut self, peer: &str, leaf: bool) {
        if let Some(link) = self.up.get_mut(peer) {
            link.leaf = leaf;
        }
    }

    /// Returns the linked controllers.
    pub fn leaves(&self) -> impl Iterator<Item = &name::Name> {
        self.up
            .iter()
            .filter(|(_, link)| link.leaf)
            .map(|(peer, _)| peer)
    }

    /// Returns the peers that hold a newer generation of a topic, newest first.
    pub fn peers_ahead(&self, topic: topic::Topic, generation: u64) -> Vec<name::Name> {
        let held = |link: &Link| {
            link.last_heartbeat
                .map_or(0, |heartbeat| heartbeat.generations[topic.index()])
        };
        let mut ahead: Vec<_> = self
            .up
            .iter()
            .filter(|(_, link)| held(link) > generation)
            .collect();
        ahead.sort_by_key(|(_, link)| cmp::Reverse(held(link)));
        ahead.into_iter().map(|(peer, _)| peer.clone()).collect()
    }

    /// Returns `true` if a linked peer has reported that it is ready.
    pub fn any_synced(&self) -> bool {
        let heartbeats = self.up.values().filter_map(|link| link.last_heartbeat);
        heartbeats.into_iter().any(|heartbeat| heartbeat.synced)
    }

    /// Closes idle and surplus links and dials the missing ones.
    ///
    /// Each slot is one link to keep, given as its candidates in order of preference.
    pub fn plan(
        &mut self,
        now: time::Time,
        slots: &[Vec<name::Name>],
        members: &collections::BTreeMap<name::Name, member::Member>,
    ) -> Vec<event::Output> {
        self.last_plan = now;
        let mut outputs = self.close_idle(now);
        self.backoffs.retain(|peer, _| members.contains_key(peer));
        let wanted = self.wanted_peers(now, slots);
        self.close_surplus(&wanted, &mut outputs);
        for peer in wanted {
            let Some(member) = members.get(&peer) else {
                continue;
            };
            if self.up.contains_key(&peer) || self.dialing.contains_key(&peer) {
                continue;
            }
            self.dialing.insert(peer, now.after(DIAL_TIMEOUT));
            outputs.push(event::Output::Link(member.clone()));
        }
        outputs
    }

    /// Removes the link to a peer without a backoff; returns whether it was up.
    pub fn close(&mut self, peer: &str) -> bool {
        self.dialing.remove(peer);
        self.up.remove(peer).is_some()
    }

    /// Returns the earliest deadline of all links.
    pub fn wake(&self) -> time::Time {
        let idle = self.up.values().map(|link| link.idle_deadline);
        let dialing = self.dialing.values().copied();
        let backoffs = self.backoffs.values().map(|backoff| backoff.until);
        let backoffs = backoffs.filter(|until| *until > self.last_plan);
        idle.chain(dialing)
            .chain(backoffs)
            .min()
            .unwrap_or(time::Time::MAX)
    }

    fn close_idle(&mut self, now: time::Time) -> Vec<event::Output> {
        let idle = self.up.iter().filter(|(_, link)| link.idle_deadline <= now);
        let timed_out = self
            .dialing
            .iter()
            .filter(|(_, deadline)| **deadline <= now);
        let closed: Vec<_> = idle
            .map(|(peer, _)| peer.clone())
            .chain(timed_out.map(|(peer, _)| peer.clone()))
            .collect();
        for peer in &closed {
            self.fail(now, peer);
        }
        closed.into_iter().map(event::Output::Unlink).collect()
    }

    fn wanted_peers(
        &mut self,
        now: time::Time,
        slots: &[Vec<name::Name>],
    ) -> collections::BTreeSet<name::Name> {
        // An elapsed backoff keeps its failure count, so that the next one is longer.
        let available = |peer: &&name::Name| {
            let backoff = self.backoffs.get(*peer);
            backoff.is_none_or(|backoff| backoff.until <= now)
        };
        let mut wanted = collections::BTreeSet::new();
        for slot in slots {
            let Some(first) = slot.iter().find(available) else {
                continue;
            };
            wanted.insert(first.clone());
            // The link to the current substitute is kept until the preferred link is up.
            if !self.up.contains_key(first) {
                let substitute = slot.iter().find(|peer| self.up.contains_key(*peer));
                wanted.extend(substitute.cloned());
            }
        }
        wanted
    }

    fn close_surplus(
        &mut self,
        wanted: &collections::BTreeSet<name::Name>,
        outputs: &mut Vec<event::Output>,
    ) {
        let surplus: Vec<_> = self
            .up
            .iter()
            .filter(|(peer, link)| link.outbound && !link.leaf && !wanted.contains(*peer))
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in surplus {
            self.up.remove(&peer);
            outputs.push(event::Output::Unlink(peer));
        }
    }
}
