//! Approximate index of the blocks in the prefix cache of one upstream.

use super::BLOCK_TOKENS;

/// Sets of the table; a power of two.
const SETS: usize = 1024;
/// Entries of one set.
const WAYS: usize = 8;
/// Gaps in the sequence of cache events after which an entry is ignored.
const MAX_GAPS: u8 = 48;
/// Each gap reduces the cached tokens counted for older entries by this part, as a divisor.
const GAP_DIVISOR: u32 = 64;

/// A set-associative table of block fingerprints of fixed size.
///
/// It is filled from own dispatches and cache events. A gap in the sequence of events ages every
/// entry.
#[derive(Clone, Debug, Default)]
pub(super) struct CacheIndex {
    entries: Vec<Entry>,
    next: Option<u64>,
    gaps: u8,
    clock: u16,
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    fingerprint: u32,
    used: u16,
    gaps: u8,
    live: bool,
}

impl CacheIndex {
    /// Returns the expected number of cached prompt tokens for a block chain.
    pub fn cached_tokens(&self, blocks: &[u64]) -> u32 {
        if self.entries.is_empty() {
            return 0;
        }
        let depth = blocks.partition_point(|&block| self.find(block).is_some());
        let Some(entry) = depth
            .checked_sub(1)
            .and_then(|last| self.find(blocks[last]))
        else {
            return 0;
        };
        let tokens = u32::try_from(depth)
            .unwrap_or(u32::MAX)
            .saturating_mul(BLOCK_TOKENS);
        let gaps = u32::from(self.gaps.wrapping_sub(entry.gaps));
        tokens.saturating_mul(GAP_DIVISOR - gaps) / GAP_DIVISOR
    }

    /// Records that the upstream caches these blocks.
    pub fn insert(&mut self, blocks: &[u64]) {
        if self.entries.is_empty() {
            self.entries = vec![Entry::default(); SETS * WAYS];
        }
        self.clock = self.clock.wrapping_add(1);
        for &block in blocks {
            self.insert_one(block);
        }
    }

    /// Records that the upstream no longer caches these blocks.
    pub fn remove(&mut self, blocks: &[u64]) {
        for &block in blocks {
            if let Some(position) = self.position(block) {
                self.entries[position].live = false;
            }
        }
    }

    /// Records the sequence number of an event and ages the entries on a gap.
    pub fn record_sequence(&mut self, seq: u64) {
        if self.next.is_some_and(|next| seq > next) {
            self.gaps = self.gaps.wrapping_add(1);
        }
        self.next = self.next.max(Some(seq.saturating_add(1)));
    }

    /// Removes all entries, for a new incarnation.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the size on the heap in bytes.
    pub fn heap_bytes(&self) -> usize {
        self.entries.capacity() * size_of::<Entry>()
    }

    fn insert_one(&mut self, block: u64) {
        let position = self.position(block).unwrap_or_else(|| self.victim(block));
        self.entries[position] = Entry {
            fingerprint: fingerprint(block),
            used: self.clock,
            gaps: self.gaps,
            live: true,
        };
    }

    fn victim(&self, block: u64) -> usize {
        let start = set(block) * WAYS;
        (start..start + WAYS)
            .max_by_key(|&position| {
                let entry = &self.entries[position];
                (!entry.live, self.clock.wrapping_sub(entry.used))
            })
            .unwrap_or(start)
    }

    fn find(&self, block: u64) -> Option<&Entry> {
        let entry = &self.entries[self.position(block)?];
        (self.gaps.wrapping_sub(entry.gaps) <= MAX_GAPS).then_some(entry)
    }

    fn position(&self, block: u64) -> Option<usize> {
        let start = set(block) * WAYS;
        let ways = self.entries.get(start..start + WAYS)?;
        let wanted = fingerprint(block);
        let way = ways
            .iter()
            .position(|entry| entry.live && entry.fingerprint == wanted)?;
        Some(start + way)
    }
}

fn set(block: u64) -> usize {
    (block as usize) & (SETS - 1)
}

fn fingerprint(block: u64) -> u32 {
    (block >> 32) as u32
}
