//! Sources from which an instance that is behind fetches the changes it lacks.
//!
//! All instances that depend on their peers fall behind at the same moment. None of them relies on
//! a single source: each queries a peer at random, soon queries another one if there is no reply,
//! and queries the store as well. A source that fails is avoided for a while.

use std::collections;
use std::hash::Hasher;
use std::net;
use std::time::Duration;

use super::peers;
use super::position;
use crate::name;
use crate::time;

/// Time without a reply after which another source is queried as well.
const HEDGE_DELAY: Duration = Duration::from_millis(250);
/// Sources that are queried at the same time.
const MAX_CONCURRENT: usize = 3;
/// Time after which a query counts as ended in any case.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a source that failed is avoided.
const AVOID_FAILED: Duration = Duration::from_secs(2);
/// Peers sampled at random, of which the one furthest ahead is queried.
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

/// What an instance knows when it checks for changes of one kind of object.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Other instances.
    pub peers: &'a peers::Peers,
    /// Index of the kind in the positions of a digest.
    pub kind: usize,
    /// This instance's own position.
    pub own: position::Position,
    /// Whether the store can be queried for changes since that position.
    pub store_available: bool,
}

/// The queries of one instance for one kind of object.
#[derive(Clone, Debug)]
pub struct CatchUp {
    seed: u64,
    /// How long a change may take to arrive from the store before peers are queried.
    store_delay: Duration,
    /// Random numbers drawn so far.
    draws: u64,
    /// When this instance was first found to be behind, since it last was up to date.
    behind_since: Option<time::Time>,
    /// Sources that have not replied, with the time of the query.
    pending: Vec<(Source, time::Time)>,
    avoided: collections::BTreeMap<name::Name, time::Time>,
}

impl CatchUp {
    /// Builds the state of an instance; `store_delay` is how long it waits for changes from its
    /// own store watch before it queries peers.
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

    /// Returns for how long this instance has known that it is behind, or `None` if it is not.
    pub fn behind_for(&self, now: time::Time) -> Option<Duration> {
        self.behind_since.map(|since| since.until(now))
    }

    /// Returns since when this instance has known that it is behind, or `None` if it is not.
    pub const fn behind_since(&self) -> Option<time::Time> {
        self.behind_since
    }

    /// Returns the next source to query, or `None` if none is due. `relies_on_peers` means that
    /// this instance does not watch the store, so it does not wait for the store first.
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

    /// Records a query of the store that is not due to a peer that is ahead; returns `false` if one is
    /// under way.
    pub fn begin_store_query(&mut self, now: time::Time) -> bool {
        self.pending.retain(|(_, at)| at.after(QUERY_TIMEOUT) > now);
        let is_idle = !self.is_pending(&Source::Store);
        if is_idle {
            self.pending.push((Source::Store, now));
        }
        is_idle
    }

    /// Records the end of a query and whether it succeeded.
    pub fn record_result(&mut self, now: time::Time, source: &Source, succeeded: bool) {
        self.pending.retain(|(pending, _)| pending != source);
        if let Source::Peer { name, .. } = source
            && !succeeded
        {
            self.avoided.insert(name.clone(), now.after(AVOID_FAILED));
        }
    }

    /// Picks a peer at random; the store if a query is pending or has failed lately, or if there
    /// is no peer.
    fn pick_source(&mut self, now: time::Time, view: View<'_>) -> Option<Source> {
        let is_store_idle = view.store_available && !self.is_pending(&Source::Store);
        let is_hedge = !self.pending.is_empty() || !self.avoided.is_empty();
        if is_store_idle && is_hedge {
            return Some(Source::Store);
        }
        let readers = view.peers.readers_ahead(now, view.kind, view.own);
        let sources = readers.map(|reader| {
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
            return is_store_idle.then_some(Source::Store);
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
        self.pending.iter().any(|(pending, _)| pending == source)
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
