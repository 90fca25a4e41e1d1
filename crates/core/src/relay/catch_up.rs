//! From where an instance that is behind gets the changes that it has missed.
//!
//! All instances that depend on their peers are behind at the same moment. None of them relies on one
//! source: each asks a peer by lot, does not wait long before it asks another, and asks the store
//! as well. A source that fails is left alone for a while.

use std::collections;
use std::hash::Hasher;
use std::net;
use std::time::Duration;

use super::digest;
use super::peers;
use crate::name;
use crate::time;

/// Time without an answer after which another source is asked as well.
const HEDGE_DELAY: Duration = Duration::from_millis(250);
/// Sources that are asked at the same time.
const MAX_CONCURRENT: usize = 3;
/// Time after which a question has ended in any case.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a source that failed is left alone.
const AVOID_FAILED: Duration = Duration::from_secs(2);
/// Peers that are drawn, of which the furthest is asked.
const SAMPLED_PEERS: u64 = 2;

/// Where changes come from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// The store.
    Store,
    /// Another instance.
    Peer {
        /// Its name.
        name: name::Name,
        /// Where it serves changes.
        address: net::SocketAddr,
    },
}

/// What an instance knows when it looks for changes of a kind.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Other instances.
    pub peers: &'a peers::Peers,
    /// Place of the kind in a digest.
    pub kind: usize,
    /// What is known here.
    pub own: digest::Position,
    /// Whether the store can be asked for changes since then.
    pub store_available: bool,
}

/// The questions of one instance about one kind of object.
#[derive(Clone, Debug)]
pub struct CatchUp {
    seed: u64,
    /// How long a change may come from the store before peers are asked.
    store_delay: Duration,
    /// Questions so far.
    draws: u64,
    /// When this instance was first seen to be behind, since it last was not.
    behind_since: Option<time::Time>,
    /// Sources without an answer, with the time of the question.
    pending: Vec<(Source, time::Time)>,
    avoided: collections::BTreeMap<name::Name, time::Time>,
}

impl CatchUp {
    /// Builds the state of an instance; `store_delay` is how long it waits for the store's own news.
    pub fn new(own: &name::Name, store_delay: Duration) -> Self {
        Self {
            seed: twox_hash::XxHash64::oneshot(0, own.as_bytes()),
            store_delay,
            draws: 0,
            behind_since: None,
            pending: Vec::new(),
            avoided: collections::BTreeMap::new(),
        }
    }

    /// Returns how long this instance has known that it is behind, if it is.
    pub fn behind_for(&self, now: time::Time) -> Option<Duration> {
        self.behind_since.map(|since| since.until(now))
    }

    /// Returns the next source to be asked, if it is time for one; `relies_on_peers` says that the store tells
    /// this instance nothing.
    pub fn next_source(
        &mut self,
        now: time::Time,
        view: View<'_>,
        relies_on_peers: bool,
    ) -> Option<Source> {
        if view
            .peers
            .readers_ahead(now, view.kind, view.own)
            .next()
            .is_none()
        {
            self.behind_since = None;
            return None;
        }
        self.pending.retain(|(_, at)| at.after(QUERY_TIMEOUT) > now);
        let since = *self.behind_since.get_or_insert(now);
        let is_early = !relies_on_peers && since.after(self.store_delay) > now;
        let last = self
            .pending
            .iter()
            .map(|(_, at)| at.after(HEDGE_DELAY))
            .max();
        let is_recent = last.is_some_and(|until| until > now);
        if is_early || is_recent || self.pending.len() >= MAX_CONCURRENT {
            return None;
        }
        self.avoided.retain(|_, until| *until > now);
        let source = self.pick_source(now, view)?;
        self.pending.push((source.clone(), now));
        Some(source)
    }

    /// Notes that a question has ended, with an answer or without.
    pub fn record_result(&mut self, now: time::Time, source: &Source, succeeded: bool) {
        self.pending.retain(|(asked, _)| asked != source);
        if let Source::Peer { name, .. } = source
            && !succeeded
        {
            self.avoided.insert(name.clone(), now.after(AVOID_FAILED));
        }
    }

    /// Picks a peer by lot; the store if one was asked in vain or there is none.
    fn pick_source(&mut self, now: time::Time, view: View<'_>) -> Option<Source> {
        let is_store_free = view.store_available && !self.is_pending(&Source::Store);
        let is_hedge = !self.pending.is_empty() || !self.avoided.is_empty();
        if is_store_free && is_hedge {
            return Some(Source::Store);
        }
        let beyond = view.peers.readers_ahead(now, view.kind, view.own);
        let sources = beyond.map(|reader| {
            let source = Source::Peer {
                name: reader.name.clone(),
                address: reader.address,
            };
            (source, reader.position.revision)
        });
        let (avoided, preferred): (Vec<_>, Vec<_>) = sources
            .filter(|(source, _)| !self.is_pending(source))
            .partition(|(source, _)| self.is_avoided(source));
        let pool = if preferred.is_empty() {
            avoided
        } else {
            preferred
        };
        if pool.is_empty() {
            return is_store_free.then_some(Source::Store);
        }
        let sampled = (0..SAMPLED_PEERS).map(|_| {
            let index = self.next_random() % pool.len() as u64;
            pool[index as usize].clone()
        });
        let sampled: Vec<_> = sampled.collect();
        let furthest = sampled.into_iter().max_by_key(|(_, revision)| *revision);
        furthest.map(|(source, _)| source)
    }

    fn is_pending(&self, source: &Source) -> bool {
        self.pending.iter().any(|(asked, _)| asked == source)
    }

    fn is_avoided(&self, source: &Source) -> bool {
        matches!(source, Source::Peer { name, .. } if self.avoided.contains_key(name))
    }

    fn next_random(&mut self) -> u64 {
        self.draws += 1;
        let mut hasher = twox_hash::XxHash64::with_seed(self.seed);
        hasher.write_u64(self.draws);
        hasher.finish()
    }
}
