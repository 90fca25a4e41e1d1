//! Prefix cache of the engine model: blocks kept by recency in limited memory.

use std::collections;

/// A cache of blocks that drops the least recently used ones.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    limit: usize,
    clock: u64,
    stamps: collections::HashMap<u64, u64>,
    order: collections::BTreeMap<u64, u64>,
}

impl Cache {
    /// Builds an empty cache for `limit` blocks.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Returns how many leading blocks are held.
    pub fn matched(&self, blocks: &[u64]) -> usize {
        let held = blocks
            .iter()
            .take_while(|block| self.stamps.contains_key(block));
        held.count()
    }

    /// Stores a chain, the first block as the most recent; returns new and dropped blocks.
    pub fn store(&mut self, blocks: &[u64]) -> Stored {
        let mut stored = Stored::default();
        for &block in blocks.iter().rev() {
            self.clock += 1;
            match self.stamps.insert(block, self.clock) {
                Some(old) => {
                    self.order.remove(&old);
                }
                None => stored.added.push(block),
            }
            self.order.insert(self.clock, block);
        }
        while self.stamps.len() > self.limit {
            let Some((_, block)) = self.order.pop_first() else {
                break;
            };
            self.stamps.remove(&block);
            stored.dropped.push(block);
        }
        stored
    }
}

/// What storing a chain changed.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// Blocks that were not held before.
    pub added: Vec<u64>,
    /// Blocks that had to leave.
    pub dropped: Vec<u64>,
}
