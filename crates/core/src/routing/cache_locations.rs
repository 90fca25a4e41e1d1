//! Which upstreams lately held a block.

/// Sets of the table for each upstream.
const UPSTREAM_SETS: usize = 256;
/// One block of this many is remembered, chosen by its hash; a power of two.
const SAMPLING: u64 = 4;
/// Entries of one set.
const WAYS: usize = 4;
/// Upstreams remembered for one block.
const HOLDERS: usize = 4;
/// Marks an unused holder.
const NONE: u16 = u16::MAX;

/// A fixed-size table from block fingerprint to the upstreams that last stored it.
#[derive(Clone, Debug)]
pub(super) struct CacheLocations {
    entries: Vec<Entry>,
    clock: u32,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    print: u32,
    used: u32,
    slots: [u16; HOLDERS],
}

impl CacheLocations {
    /// Builds an empty table for a number of upstreams.
    pub fn new(upstreams: usize) -> Self {
        let empty = Entry {
            print: 0,
            used: 0,
            slots: [NONE; HOLDERS],
        };
        Self {
            entries: vec![empty; sets(upstreams) * WAYS],
            clock: 0,
        }
    }

    /// Notes that an upstream stored these blocks.
    pub fn insert(&mut self, blocks: &[u64], index: usize) {
        let Ok(index) = u16::try_from(index) else {
            return;
        };
        self.clock = self.clock.wrapping_add(1);
        for &block in blocks.iter().filter(|&&block| is_sampled(block)) {
            self.insert_one(block, index);
        }
    }

    /// Returns the upstreams that lately held the deepest known block of a chain.
    pub fn deepest(&self, blocks: &[u64]) -> impl Iterator<Item = usize> + '_ {
        let sampled = blocks.iter().rev().filter(|&&block| is_sampled(block));
        let deepest = sampled.filter_map(|&block| self.find(block)).next();
        deepest
            .into_iter()
            .flat_map(|entry| entry.slots)
            .filter(|&index| index != NONE)
            .map(usize::from)
    }

    /// Returns the bytes on the heap.
    pub fn heap_bytes(&self) -> usize {
        self.entries.capacity() * size_of::<Entry>()
    }

    fn insert_one(&mut self, block: u64, index: u16) {
        let start = self.set(block) * WAYS;
        let ways = &mut self.entries[start..start + WAYS];
        let want = print(block);
        let found = ways
            .iter()
            .position(|entry| entry.used != 0 && entry.print == want);
        let way = found.unwrap_or_else(|| oldest(ways));
        let entry = &mut ways[way];
        if found.is_none() {
            entry.print = want;
            entry.slots = [NONE; HOLDERS];
        }
        entry.used = self.clock.max(1);
        let place = entry.slots.iter().position(|&held| held == index);
        entry.slots[..=place.unwrap_or(HOLDERS - 1)].rotate_right(1);
        entry.slots[0] = index;
    }

    fn set(&self, block: u64) -> usize {
        (block as usize / SAMPLING as usize) & (self.entries.len() / WAYS - 1)
    }

    fn find(&self, block: u64) -> Option<&Entry> {
        let start = self.set(block) * WAYS;
        let want = print(block);
        self.entries[start..start + WAYS]
            .iter()
            .find(|entry| entry.used != 0 && entry.print == want)
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

fn print(block: u64) -> u32 {
    (block >> 32) as u32
}
