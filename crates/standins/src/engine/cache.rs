//! The prefix cache and its events.

use std::collections;
use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;

/// How many past events can be read.
const MAX_EVENTS: usize = 16_384;

/// A prefix cache that evicts the least recently used block.
#[derive(Debug)]
pub struct Cache {
    limit: usize,
    clock: u64,
    used: collections::HashMap<u64, u64>,
    order: collections::BTreeMap<u64, u64>,
    events: collections::VecDeque<Event>,
    seq: u64,
    rng: rngs::SmallRng,
}

/// Blocks that one request stored and evicted.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Event {
    /// Sequence number; a gap means that events were lost.
    pub seq: u64,
    /// Hashes of stored blocks.
    pub stored: Vec<u64>,
    /// Hashes of evicted blocks.
    pub evicted: Vec<u64>,
    #[serde(skip)]
    at: time::Instant,
}

/// A page of events.
#[derive(Debug, serde::Serialize)]
pub struct Page {
    /// Events in the order of their sequence numbers.
    pub events: Vec<Event>,
    /// The first sequence number that the next call should ask for.
    pub next: u64,
}

impl Cache {
    /// Builds an empty cache of at most `limit` blocks.
    pub fn new(limit: usize, seed: u64) -> Self {
        Self {
            limit,
            clock: 0,
            used: collections::HashMap::new(),
            order: collections::BTreeMap::new(),
            events: collections::VecDeque::new(),
            seq: 0,
            rng: rngs::SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns how many leading blocks of a chain are cached, and marks them as used.
    pub fn hit(&mut self, chain: &[u64]) -> usize {
        let hits = chain
            .iter()
            .take_while(|block| self.used.contains_key(block))
            .count();
        chain[..hits].iter().for_each(|block| self.touch(*block));
        hits
    }

    /// Stores a chain and records an event; `gap_rate` thousandths of the events are lost.
    pub fn store(&mut self, chain: &[u64], gap_rate: u16) {
        let fresh = chain
            .iter()
            .copied()
            .filter(|block| !self.used.contains_key(block));
        let mut stored = fresh.collect::<Vec<_>>();
        chain.iter().for_each(|block| self.touch(*block));
        let evicted = self.evict();
        stored.retain(|block| self.used.contains_key(block));
        if stored.is_empty() && evicted.is_empty() {
            return;
        }
        self.record(stored, evicted, gap_rate);
    }

    /// Returns the events from `since` on that are at least `lag` old.
    pub fn events(&self, since: u64, lag: time::Duration) -> Page {
        let now = time::Instant::now();
        let visible = self
            .events
            .iter()
            .take_while(|e| now.duration_since(e.at) >= lag);
        let events = visible
            .filter(|event| event.seq >= since)
            .cloned()
            .collect::<Vec<_>>();
        let next = events.last().map_or(since, |event| event.seq + 1);
        Page { events, next }
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(before) = self.used.insert(block, self.clock) {
            self.order.remove(&before);
        }
        self.order.insert(self.clock, block);
    }

    fn evict(&mut self) -> Vec<u64> {
        let excess = self.order.len().saturating_sub(self.limit);
        let oldest = (0..excess).filter_map(|_| self.order.pop_first());
        let evicted = oldest.map(|(_, block)| block).collect::<Vec<_>>();
        evicted.iter().for_each(|block| {
            self.used.remove(block);
        });
        evicted
    }

    fn record(&mut self, stored: Vec<u64>, evicted: Vec<u64>, gap_rate: u16) {
        self.seq += 1;
        if self.rng.random_ratio(u32::from(gap_rate.min(1_000)), 1_000) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let at = time::Instant::now();
        self.events.push_back(Event {
            seq: self.seq,
            stored,
            evicted,
            at,
        });
    }
}
