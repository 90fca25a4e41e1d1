//! Set of the unexpired facts that one node holds, with digests to compare it with a peer's.

use std::collections;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use super::message;
use crate::fact;
use crate::name;
use crate::time;

/// Maximum number of facts in a set; when it is full, the fact that expires first is evicted.
pub const MAX_FACTS: usize = 8192;
/// Longest time until a fact expires; later expiries are clamped to it.
pub const MAX_TTL: Duration = Duration::from_secs(24 * 3600);
/// Number of buckets of the set; each has a digest of its own.
pub const BUCKETS: usize = 64;

/// The unexpired facts that one node holds.
#[derive(Debug)]
pub struct Facts {
    expiries: collections::BTreeMap<fact::Fact, time::Time>,
    by_expiry: collections::BTreeSet<(time::Time, fact::Fact)>,
    holders: collections::BTreeMap<name::Name, fact::Fact>,
    buckets: [u64; BUCKETS],
}

impl Facts {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self {
            expiries: collections::BTreeMap::new(),
            by_expiry: collections::BTreeSet::new(),
            holders: collections::BTreeMap::new(),
            buckets: [0; BUCKETS],
        }
    }

    /// Adds a fact or extends its expiry; returns `true` if the fact is new.
    ///
    /// Expired facts, superseded holders and, in a full set, facts that would expire first are not
    /// added.
    pub fn insert(&mut self, now: time::Time, new: &message::ExpiringFact) -> bool {
        let expiry = new.expiry.min(now.after(MAX_TTL));
        if expiry <= now || self.is_superseded(&new.fact) {
            return false;
        }
        if let Some(&old) = self.expiries.get(&new.fact) {
            self.extend_expiry(&new.fact, old, expiry);
            return false;
        }
        if !self.evict_for(expiry, &new.fact) {
            return false;
        }
        self.replace_holder(&new.fact);
        self.toggle_digest(&new.fact);
        self.expiries.insert(new.fact.clone(), expiry);
        self.by_expiry.insert((expiry, new.fact.clone()));
        true
    }

    /// Returns `true` if the set contains a fact.
    pub fn contains(&self, fact: &fact::Fact) -> bool {
        self.expiries.contains_key(fact)
    }

    /// Returns the entry whose controller manages the rollouts of a service.
    pub fn holder(&self, service: &str) -> Option<&name::Name> {
        match self.holders.get(service)? {
            fact::Fact::Holder { holder, .. } => Some(holder),
            _ => None,
        }
    }

    /// Removes expired facts.
    pub fn expire(&mut self, now: time::Time) {
        while let Some((expiry, fact)) = self.by_expiry.first().cloned() {
            if expiry > now {
                return;
            }
            self.remove(&fact);
        }
    }

    /// Returns the earliest expiry in the set.
    pub fn wake(&self) -> time::Time {
        self.by_expiry
            .first()
            .map_or(time::Time::MAX, |first| first.0)
    }

    /// Returns the digest of the set.
    pub fn digest(&self) -> u64 {
        self.buckets
            .iter()
            .fold(0, |digest, bucket| digest ^ bucket.rotate_left(1))
    }

    /// Returns the digest of each bucket.
    pub fn buckets(&self) -> Vec<u64> {
        self.buckets.to_vec()
    }

    /// Returns the facts in the buckets whose digests differ from the peer's.
    pub fn differing(&self, theirs: &[u64]) -> Vec<message::ExpiringFact> {
        let differing: Vec<_> = (0..BUCKETS)
            .map(|index| theirs.get(index) != Some(&self.buckets[index]))
            .collect();
        self.expiries
            .iter()
            .filter(|(fact, _)| differing[bucket_index(fact_hash(fact))])
            .map(|(fact, expiry)| message::ExpiringFact {
                fact: fact.clone(),
                expiry: *expiry,
            })
            .collect()
    }

    fn extend_expiry(&mut self, fact: &fact::Fact, old: time::Time, expiry: time::Time) {
        if expiry <= old {
            return;
        }
        self.by_expiry.remove(&(old, fact.clone()));
        self.by_expiry.insert((expiry, fact.clone()));
        self.expiries.insert(fact.clone(), expiry);
    }

    fn evict_for(&mut self, expiry: time::Time, fact: &fact::Fact) -> bool {
        if self.expiries.len() < MAX_FACTS {
            return true;
        }
        let Some(earliest) = self.by_expiry.first().cloned() else {
            return true;
        };
        if (earliest.0, &earliest.1) >= (expiry, fact) {
            return false;
        }
        self.remove(&earliest.1);
        true
    }

    fn is_superseded(&self, new: &fact::Fact) -> bool {
        let fact::Fact::Holder { service, .. } = new else {
            return false;
        };
        let current = self.holders.get(service);
        current.is_some_and(|current| holder_rank(current) > holder_rank(new))
    }

    fn replace_holder(&mut self, new: &fact::Fact) {
        let fact::Fact::Holder { service, .. } = new else {
            return;
        };
        if let Some(old) = self.holders.get(service).cloned() {
            self.remove(&old);
        }
        self.holders.insert(service.clone(), new.clone());
    }

    fn remove(&mut self, fact: &fact::Fact) {
        let Some(expiry) = self.expiries.remove(fact) else {
            return;
        };
        self.by_expiry.remove(&(expiry, fact.clone()));
        self.toggle_digest(fact);
        if let fact::Fact::Holder { service, .. } = fact {
            self.holders.remove(service);
        }
    }

    fn toggle_digest(&mut self, fact: &fact::Fact) {
        let hash = fact_hash(fact);
        self.buckets[bucket_index(hash)] ^= hash;
    }
}

fn holder_rank(fact: &fact::Fact) -> (u64, Option<&name::Name>) {
    match fact {
        fact::Fact::Holder {
            fencing, holder, ..
        } => (*fencing, Some(holder)),
        _ => (0, None),
    }
}

fn fact_hash(fact: &fact::Fact) -> u64 {
    let mut hasher = twox_hash::XxHash64::with_seed(0);
    fact.hash(&mut hasher);
    hasher.finish()
}

fn bucket_index(hash: u64) -> usize {
    (hash % BUCKETS as u64) as usize
}
