//! What is known of crashes as it is kept in the store, over a kill of all instances.

use std::collections;

use super::subject;

/// A request or part of prompts under which engines crashed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SavedSuspect {
    /// The request or the part.
    pub subject: subject::Subject,
    /// The last crashes that count against it.
    pub crashes: Vec<SavedCrash>,
    /// Whether it is blocked.
    pub is_blocked: bool,
    /// Number of the last round of bids for a probe; 0 if there was none.
    pub round: u32,
    /// Number of probes that were sent.
    pub probes: u32,
}

/// A crash that counts against a request or part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SavedCrash {
    /// Its identifier.
    pub id: u64,
    /// When it happened, in microseconds since the Unix epoch.
    pub at_micros: u64,
}

impl SavedSuspect {
    /// Returns `true` if a copy of this is as good as the other one: times may differ by what
    /// messages took.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        let is_same = self.subject == other.subject && self.is_blocked == other.is_blocked;
        is_same && self.ids() == other.ids() && self.probes == other.probes
    }

    /// Returns `true` if this says more than another record of the same request or part.
    fn exceeds(&self, other: &Self) -> bool {
        let is_changed = self.is_blocked && !other.is_blocked || self.probes > other.probes;
        is_changed || !self.ids().is_subset(&other.ids())
    }

    fn ids(&self) -> collections::BTreeSet<u64> {
        self.crashes.iter().map(|crash| crash.id).collect()
    }
}

/// Returns `true` if `all` has a block, a probe or a crash that `known` lacks.
pub fn adds(all: &[SavedSuspect], known: &[SavedSuspect]) -> bool {
    let known: collections::BTreeMap<_, _> = known.iter().map(|k| (k.subject, k)).collect();
    all.iter().any(|suspect| {
        let other = known.get(&suspect.subject);
        other.is_none_or(|other| suspect.exceeds(other))
    })
}

/// Returns `true` if the blocks of `all` are those of `known`.
pub fn has_same_blocks(all: &[SavedSuspect], known: &[SavedSuspect]) -> bool {
    let [all, known] = [all, known].map(|list| list.iter().filter(|s| s.is_blocked));
    all.clone().count() == known.clone().count() && all.zip(known).all(|(a, b)| a.is_equivalent(b))
}
