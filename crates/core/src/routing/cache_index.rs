//! Approximate index of the blocks in one upstream's prefix cache.

use super::BLOCK_TOKENS;

/// Sets of the table; a power of two.
const SETS: usize = 1024;
/// Entries of one set.
const WAYS: usize = 8;
/// Gaps in the event stream after which an entry is no longer believed.
const MAX_GAPS: u8 = 48;
/// Each gap takes this part from the belief in older entries.
const GAP_DIVISOR: u32 = 64;

/// A set-associative table of block fingerprints with a fixed size.
///
/// It is filled by own dispatches and cache events. A gap in the events ages every entry.
#[derive(Clone, Debug, Default)]
pub(super) struct CacheIndex {
    entries: Vec<Entry>,
    next: Option<u64>,
    gaps: u8,
    clock: u16,
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    print: u32,
    used: u16,
    gaps: u8,
    live: bool,
}

impl CacheIndex {
    /// Returns the expected cached tokens of a prompt with this block chain.
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

    /// Notes that the upstream holds these blocks.
    pub fn insert(&mut self, blocks: &[u64]) {
        if self.entries.is_empty() {
            self.entries = vec![Entry::default(); SETS * WAYS];
        }
        self.clock = self.clock.wrapping_add(1);
        for &block in blocks {
            self.insert_one(block);
        }
    }

    /// Notes that the upstream no longer holds these blocks.
    pub fn remove(&mut self, blocks: &[u64]) {
        for &block in blocks {
            if let Some(place) = self.place(block) {
                self.entries[place].live = false;
            }
        }
    }

    /// Takes the sequence number of an event and ages the index on a gap.
    pub fn record_sequence(&mut self, seq: u64) {
        if self.next.is_some_and(|next| seq > next) {
            self.gaps = self.gaps.wrapping_add(1);
        }
        self.next = self.next.max(Some(seq.saturating_add(1)));
    }

    /// Forgets everything, for a new incarnation.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the bytes on the heap.
    pub fn heap_bytes(&self) -> usize {
        self.entries.capacity() * size_of::<Entry>()
    }

    fn insert_one(&mut self, block: u64) {
        let place = self.place(block).unwrap_or_else(|| self.victim(block));
        self.entries[place] = Entry {
            print: print(block),
            used: self.clock,
            gaps: self.gaps,
            live: true,
        };
    }

    fn victim(&self, block: u64) -> usize {
        let start = set(block) * WAYS;
        (start..start + WAYS)
            .max_by_key(|&place| {
                let entry = &self.entries[place];
                (!entry.live, self.clock.wrapping_sub(entry.used))
            })
            .unwrap_or(start)
    }

    fn find(&self, block: u64) -> Option<&Entry> {
        let entry = &self.entries[self.place(block)?];
        (self.gaps.wrapping_sub(entry.gaps) <= MAX_GAPS).then_some(entry)
    }

    fn place(&self, block: u64) -> Option<usize> {
        let start = set(block) * WAYS;
        let ways = self.entries.get(start..start + WAYS)?;
        let want = print(block);
        let way = ways
            .iter()
            .position(|entry| entry.live && entry.print == want)?;
        Some(start + way)
    }
}

fn set(block: u64) -> usize {
    (block as usize) & (SETS - 1)
}

fn print(block: u64) -> u32 {
    (block >> 32) as u32
}
