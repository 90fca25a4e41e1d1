//! The links of one node: up, being dialled, or down for a while.

use std::cmp;
use std::collections;
use std::time::Duration;

use super::{event, heartbeat, member, topic};
use crate::name;
use crate::time;

/// Links that a node keeps at most.
pub const MAX_LINKS: usize = 64;
/// How long a link may stay silent.
const SILENCE: Duration = Duration::from_secs(7);
/// How long dialling may take.
const DIAL: Duration = Duration::from_secs(3);
/// The first wait after a failed link; it doubles with every further one.
const BACKOFF: Duration = Duration::from_secs(1);
/// Doublings of the wait at most.
const MAX_DOUBLINGS: u32 = 3;

/// One link that is up.
#[derive(Clone, Debug)]
pub struct Link {
    /// What the peer said last.
    pub heard: Option<heartbeat::Heartbeat>,
    /// When the link ends unless the peer says something.
    pub silent: time::Time,
    /// Whether the peer is a controller.
    pub leaf: bool,
    /// Whether the peer's facts already differed at its previous heartbeat.
    pub differed: bool,
    /// Sequence number of the last reports from the peer.
    pub sequence: u64,
    dialled: bool,
}

#[derive(Clone, Copy, Debug)]
struct Down {
    until: time::Time,
    failures: u32,
}

/// The links of one node.
#[derive(Debug, Default)]
pub struct Links {
    up: collections::BTreeMap<name::Name, Link>,
    dials: collections::BTreeMap<name::Name, time::Time>,
    down: collections::BTreeMap<name::Name, Down>,
    planned: time::Time,
}

impl Links {
    /// Takes a link that came up; returns whether there is room for it.
    pub fn linked(&mut self, now: time::Time, peer: &name::Name) -> bool {
        let dialled = self.dials.remove(peer).is_some();
        if self.up.len() >= MAX_LINKS && !self.up.contains_key(peer) {
            return false;
        }
        self.down.remove(peer);
        let link = Link {
            heard: None,
            silent: now.after(SILENCE),
            leaf: false,
            differed: false,
            sequence: 0,
            dialled,
        };
        self.up.insert(peer.clone(), link);
        true
    }

    /// Takes a link that went down or could not be dialled.
    pub fn unlinked(&mut self, now: time::Time, peer: &name::Name) {
        self.up.remove(peer);
        self.dials.remove(peer);
        let failures = self.down.get(peer).map_or(0, |down| down.failures + 1);
        let delay = BACKOFF * (1 << failures.min(MAX_DOUBLINGS));
        let until = now.after(delay);
        self.down.insert(peer.clone(), Down { until, failures });
    }

    /// Forgets that a peer failed, since it was started anew.
    pub fn restarted(&mut self, peer: &str) {
        self.down.remove(peer);
    }

    /// Notes that a peer said something.
    pub fn heard(&mut self, now: time::Time, peer: &str) -> Option<&mut Link> {
        let link = self.up.get_mut(peer)?;
        link.silent = now.after(SILENCE);
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

    /// Returns the linked peers but one.
    pub fn others(&self, except: Option<&name::Name>) -> impl Iterator<Item = &name::Name> {
        self.up.keys().filter(move |peer| Some(*peer) != except)
    }

    /// Returns how many links are up.
    pub fn len(&self) -> usize {
        self.up.len()
    }

    /// Notes whether a peer is a controller.
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

    /// Returns the peers that hold a newer generation of a topic, the newest first.
    pub fn newer(&self, topic: topic::Topic, generation: u64) -> Vec<name::Name> {
        let held = |link: &Link| {
            link.heard
                .map_or(0, |heard| heard.generations[topic.index()])
        };
        let mut newer: Vec<_> = self
            .up
            .iter()
            .filter(|(_, link)| held(link) > generation)
            .collect();
        newer.sort_by_key(|(_, link)| cmp::Reverse(held(link)));
        newer.into_iter().map(|(peer, _)| peer.clone()).collect()
    }

    /// Returns whether a peer that is ready itself has been heard.
    pub fn any_synced(&self) -> bool {
        let heard = self.up.values().filter_map(|link| link.heard);
        heard.into_iter().any(|heard| heard.synced)
    }

    /// Closes links that are silent or not listed any more, and dials what is missing.
    pub fn plan(
        &mut self,
        now: time::Time,
        slots: &[Vec<name::Name>],
        members: &collections::BTreeMap<name::Name, member::Member>,
    ) -> Vec<event::Output> {
        self.planned = now;
        let mut outputs = self.close_silent(now);
        self.down.retain(|peer, _| members.contains_key(peer));
        let wanted = self.choose(now, slots);
        self.close_surplus(&wanted, &mut outputs);
        for peer in wanted {
            let Some(member) = members.get(&peer) else {
                continue;
            };
            if self.up.contains_key(&peer) || self.dials.contains_key(&peer) {
                continue;
            }
            self.dials.insert(peer, now.after(DIAL));
            outputs.push(event::Output::Link(member.clone()));
        }
        outputs
    }

    /// Closes the link to a peer that is gone from the list.
    pub fn close(&mut self, peer: &str) -> bool {
        self.dials.remove(peer);
        self.up.remove(peer).is_some()
    }

    /// Returns when the next deadline of a link falls.
    pub fn wake(&self) -> time::Time {
        let silent = self.up.values().map(|link| link.silent);
        let dials = self.dials.values().copied();
        let down = self.down.values().map(|down| down.until);
        let down = down.filter(|until| *until > self.planned);
        silent
            .chain(dials)
            .chain(down)
            .min()
            .unwrap_or(time::Time::MAX)
    }

    fn close_silent(&mut self, now: time::Time) -> Vec<event::Output> {
        let silent = self.up.iter().filter(|(_, link)| link.silent <= now);
        let slow = self.dials.iter().filter(|(_, deadline)| **deadline <= now);
        let gone: Vec<_> = silent
            .map(|(peer, _)| peer.clone())
            .chain(slow.map(|(peer, _)| peer.clone()))
            .collect();
        for peer in &gone {
            self.unlinked(now, peer);
        }
        gone.into_iter().map(event::Output::Unlink).collect()
    }

    fn choose(
        &mut self,
        now: time::Time,
        slots: &[Vec<name::Name>],
    ) -> collections::BTreeSet<name::Name> {
        // A wait that is over leaves the count of failures, so that the next wait is longer.
        let blocked = |peer: &&name::Name| {
            let down = self.down.get(*peer);
            down.is_none_or(|down| down.until <= now)
        };
        let mut wanted = collections::BTreeSet::new();
        for slot in slots {
            let Some(first) = slot.iter().find(blocked) else {
                continue;
            };
            wanted.insert(first.clone());
            // The substitute stays until the first choice is up.
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
            .filter(|(peer, link)| link.dialled && !link.leaf && !wanted.contains(*peer))
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in surplus {
            self.up.remove(&peer);
            outputs.push(event::Output::Unlink(peer));
        }
    }
}
