//! Order in which entries coordinate the isolated runs.

use crate::name;

/// The entries that may grant isolated runs, in the same order at every entry with the same list.
#[derive(Debug)]
pub struct Coordinators {
    ranked: Vec<name::Name>,
}

impl Coordinators {
    /// Builds the order of an entry that knows no other entry.
    pub fn new(own: name::Name) -> Self {
        Self { ranked: vec![own] }
    }

    /// Sets the names of all entries; returns `true` if the order changed.
    pub fn set<'a>(&mut self, entries: impl IntoIterator<Item = &'a name::Name>) -> bool {
        let mut ranked: Vec<_> = entries.into_iter().cloned().collect();
        ranked.sort_by_cached_key(|entry| twox_hash::XxHash64::oneshot(0, entry.as_bytes()));
        if ranked.is_empty() || ranked == self.ranked {
            return false;
        }
        self.ranked = ranked;
        true
    }

    /// Returns the entry at a rank; ranks beyond the last wrap around.
    pub fn get(&self, rank: usize) -> name::Name {
        self.ranked[rank % self.ranked.len()].clone()
    }
}
