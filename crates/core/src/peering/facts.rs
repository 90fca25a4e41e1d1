//! The facts that one node knows.

use std::collections;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use super::message;
use crate::fact;
use crate::name;
use crate::time;

/// Facts that a node keeps at most; the first to be forgotten makes room.
pub const MAX_FACTS: usize = 8192;
/// How far ahead a fact may be forgotten at most.
pub const MAX_AGE: Duration = Duration::from_secs(24 * 3600);
/// Parts of the set that are compared one by one.
pub const BUCKETS: usize = 64;

/// The facts that one node knows.
#[derive(Debug)]
pub struct Facts {
    known: collections::BTreeMap<fact::Fact, time::Time>,
    order: collections::BTreeSet<(time::Time, fact::Fact)>,
    holders: collections::BTreeMap<name::Name, fact::Fact>,
    buckets: [u64; BUCKETS],
}

impl Facts {
    /// Builds an empty set.
    pub fn new() -> Self {
        Self {
            known: collections::BTreeMap::new(),
            order: collections::BTreeSet::new(),
            holders: collections::BTreeMap::new(),
            buckets: [0; BUCKETS],
        }
    }

    /// Adds a fact; returns whether it is new.
    pub fn learn(&mut self, now: time::Time, known: &message::Known) -> bool {
        let expiry = known.expiry.min(now.after(MAX_AGE));
        if expiry <= now || self.superseded(&known.fact) {
            return false;
        }
        if let Some(&old) = self.known.get(&known.fact) {
            self.extend(&known.fact, old, expiry);
            return false;
        }
        if !self.make_room(expiry, &known.fact) {
            return false;
        }
        self.replace_holder(&known.fact);
        self.toggle(&known.fact);
        self.known.insert(known.fact.clone(), expiry);
        self.order.insert((expiry, known.fact.clone()));
        true
    }

    /// Returns whether a fact is known.
    pub fn knows(&self, fact: &fact::Fact) -> bool {
        self.known.contains_key(fact)
    }

    /// Returns the entry whose controller decides about a service.
    pub fn holder(&self, service: &str) -> Option<&name::Name> {
        match self.holders.get(service)? {
            fact::Fact::Holder { holder, .. } => Some(holder),
            _ => None,
        }
    }

    /// Forgets what has expired.
    pub fn expire(&mut self, now: time::Time) {
        while let Some((expiry, fact)) = self.order.first().cloned() {
            if expiry > now {
                return;
            }
            self.remove(&fact);
        }
    }

    /// Returns when the next fact is forgotten.
    pub fn wake(&self) -> time::Time {
        self.order.first().map_or(time::Time::MAX, |first| first.0)
    }

    /// Returns a digest of the whole set.
    pub fn digest(&self) -> u64 {
        self.buckets
            .iter()
            .fold(0, |digest, bucket| digest ^ bucket.rotate_left(1))
    }

    /// Returns the digests of the parts of the set.
    pub fn buckets(&self) -> Vec<u64> {
        self.buckets.to_vec()
    }

    /// Returns the facts in the parts whose digests differ.
    pub fn missing(&self, theirs: &[u64]) -> Vec<message::Known> {
        let differs: Vec<_> = (0..BUCKETS)
            .map(|index| theirs.get(index) != Some(&self.buckets[index]))
            .collect();
        self.known
            .iter()
            .filter(|(fact, _)| differs[bucket(mark(fact))])
            .map(|(fact, expiry)| message::Known {
                fact: fact.clone(),
                expiry: *expiry,
            })
            .collect()
    }

    fn extend(&mut self, fact: &fact::Fact, old: time::Time, expiry: time::Time) {
        if expiry <= old {
            return;
        }
        self.order.remove(&(old, fact.clone()));
        self.order.insert((expiry, fact.clone()));
        self.known.insert(fact.clone(), expiry);
    }

    fn make_room(&mut self, expiry: time::Time, fact: &fact::Fact) -> bool {
        if self.known.len() < MAX_FACTS {
            return true;
        }
        let Some(first) = self.order.first().cloned() else {
            return true;
        };
        if (first.0, &first.1) >= (expiry, fact) {
            return false;
        }
        self.remove(&first.1);
        true
    }

    fn superseded(&self, new: &fact::Fact) -> bool {
        let fact::Fact::Holder { service, .. } = new else {
            return false;
        };
        let held = self.holders.get(service);
        held.is_some_and(|held| rank(held) > rank(new))
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
        let Some(expiry) = self.known.remove(fact) else {
            return;
        };
        self.order.remove(&(expiry, fact.clone()));
        self.toggle(fact);
        if let fact::Fact::Holder { service, .. } = fact {
            self.holders.remove(service);
        }
    }

    fn toggle(&mut self, fact: &fact::Fact) {
        let mark = mark(fact);
        self.buckets[bucket(mark)] ^= mark;
    }
}

fn rank(fact: &fact::Fact) -> (u64, Option<&name::Name>) {
    match fact {
        fact::Fact::Holder {
            fencing, holder, ..
        } => (*fencing, Some(holder)),
        _ => (0, None),
    }
}

fn mark(fact: &fact::Fact) -> u64 {
    let mut hasher = twox_hash::XxHash64::with_seed(0);
    fact.hash(&mut hasher);
    hasher.finish()
}

fn bucket(mark: u64) -> usize {
    (mark % BUCKETS as u64) as usize
}
