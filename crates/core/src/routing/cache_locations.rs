//! Upstreams that recently had a block in their prefix cache.

/// Sets of the table per upstream.
const UPSTREAM_SETS: usize = 256;
/// One of this many blocks is recorded, selected by its hash; a power of two.
const SAMPLING: u64 = 4;
/// Entries of one set.
const WAYS: usize = 4;
/// Upstreams recorded for one block.
const LOCATIONS: usize = 4;
/// Marks an unused location.
const NONE: u16 = u16::MAX;

/// A set-associative table of fixed size from block fingerprint to the upstreams that last
/// stored the block.
#[derive(Clone, Debug)]
pub(super) struct CacheLocations {
    entries: Vec<Entry>,
    clock: u32,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    fingerprint: u32,
    used: u32,
    upstreams: [u16; LOCATIONS],
}

impl CacheLocations {
    /// Builds an empty table for a number of upstreams.
    pub fn new(upstreams: usize) -> Self {
        let empty = Entry {
            fingerprint: 0,
            used: 0,
            upstreams: [NONE; LOCATIONS],
        };
        Self {
            entries: vec![empty; sets(upstreams) * WAYS],
            clock: 0,
        }
    }

    /// Records that an upstream stored these blocks.
    pub fn insert(&mut self, blocks: &[u64], index: usize) {
        let Ok(index) = u16::try_from(index) else {
            return;
        };
        self.clock = self.clock.wrapping_add(1);
        for &block in blocks.iter().filter(|&&block| is_sampled(block)) {
            self.insert_one(block, index);
        }
    }

    /// Returns the upstreams that recently held the deepest recorded block of a chain.
    pub fn deepest(&self, blocks: &[u64]) -> impl Iterator<Item = usize> + '_ {
        let sampled = blocks.iter().rev().filter(|&&block| is_sampled(block));
        let deepest = sampled.filter_map(|&block| self.find(block)).next();
        deepest
            .into_iter()
            .flat_map(|entry| entry.upstreams)
            .filter(|&index| index != NONE)
            .map(usize::from)
    }

    /// Returns the size on the heap in bytes.
    pub fn heap_bytes(&self) -> usize {
        self.entries.capacity() * size_of::<Entry>()
    }

    fn insert_one(&mut self, block: u64, index: u16) {
        let start = self.set(block) * WAYS;
        let ways = &mut self.entries[start..start + WAYS];
        let wanted = fingerprint(block);
        let found = ways
            .iter()
            .position(|entry| entry.used != 0 && entry.fingerprint == wanted);
        let way = found.unwrap_or_else(|| oldest(ways));
        let entry = &mut ways[way];
        if found.is_none() {
            entry.fingerprint = wanted;
            entry.upstreams = [NONE; LOCATIONS];
        }
        entry.used = self.clock.max(1);
        let position = entry.upstreams.iter().position(|&held| held == index);
        entry.upstreams[..=position.unwrap_or(LOCATIONS - 1)].rotate_right(1);
        entry.upstreams[0] = index;
    }

    fn set(&self, block: u64) -> usize {
        (block as usize / SAMPLING as usize) & (self.entries.len() / WAYS - 1)
    }

    fn find(&self, block: u64) -> Option<&Entry> {
        let start = self.set(block) * WAYS;
        let wanted = fingerprint(block);
        self.entries[start..start + WAYS]
            .iter()
            .find(|entry| entry.used != 0 && entry.fingerprint == wanted)
    }
}

fn oldest(ways: &[Entry]) -> usize {
    let by_age = ways.iter().enumerate().min_by_key(|(_, entry)| entry.used);
    by_age.map_or(0, |(way, _)| way)
}

fn sets(upstreams: usize) -> usize {
    (upstreams.max(1) * UPSTREAM_SETS).next_power_of_two()
}

fn is_sampled(block: u64) -> bool {
    block.is_multiple_of(SAMPLING)
}

fn fingerprint(block: u64) -> u32 {
    (block >> 32) as u32
}
