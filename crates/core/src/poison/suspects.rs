//! Request bodies that may have crashed upstreams, as one entry knows them.

use std::collections;
use std::time::Duration;

use crate::fact;
use crate::name;
use crate::time;

/// Fingerprints of each kind that are kept at most; the first to expire is evicted.
const MAX_FINGERPRINTS: usize = 4096;
/// How long a fingerprint stays suspect.
const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// How long a blocked fingerprint stays blocked.
const BLOCK_TTL: Duration = Duration::from_secs(24 * 3600);
/// How long the known cause of a crash excuses other requests reported with it.
const EXPLANATION_TTL: Duration = Duration::from_secs(10);
/// How long the first report of a suspect request takes to reach every entry.
const PROPAGATION_DELAY: Duration = Duration::from_millis(300);
/// How long two crashes during other requests wait for another cause to be found.
const REVIEW_DELAY: Duration = Duration::from_secs(1);
/// Time between two removals of expired records.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Returns until when a fact about a fingerprint holds.
pub fn expiry(now: time::Time, fact: &fact::Fact) -> time::Time {
    match fact {
        fact::Fact::Blocked { .. } => now.after(BLOCK_TTL),
        _ => now.after(SUSPECT_TTL),
    }
}

/// The status of a fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// No crash counts against it.
    Clear,
    /// An upstream crashed while running it; it runs in isolation.
    Suspect,
    /// Two upstreams crashed while running it and others; it is blocked if no other cause is found.
    UnderReview,
    /// It crashes upstreams.
    Blocked,
}

#[derive(Clone, Debug)]
struct Suspect {
    upstreams: collections::BTreeSet<name::Name>,
    known_at: time::Time,
    review_at: Option<time::Time>,
    expiry: time::Time,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Crash {
    fingerprint: u64,
    upstream: name::Name,
}

/// Suspect, blocked and cleared fingerprints with the crashes that count against them.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: collections::BTreeMap<u64, Suspect>,
    blocked: collections::BTreeMap<u64, time::Time>,
    cleared: collections::BTreeMap<Crash, time::Time>,
    explained: collections::BTreeMap<name::Name, time::Time>,
    next_expiry: time::Time,
}

impl Suspects {
    /// Returns the status of a fingerprint.
    pub fn status(&self, fingerprint: u64) -> Status {
        if self.blocked.contains_key(&fingerprint) {
            return Status::Blocked;
        }
        match self.suspects.get(&fingerprint) {
            None => Status::Clear,
            Some(suspect) if suspect.review_at.is_some() => Status::UnderReview,
            Some(_) => Status::Suspect,
        }
    }

    /// Returns when every entry knows that a fingerprint is suspect and a run may be requested.
    pub fn known_at(&self, fingerprint: u64) -> time::Time {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(time::Time::default(), |suspect| suspect.known_at)
    }

    /// Records the crash of an upstream while it ran a request; returns the facts to broadcast.
    pub fn upstream_crashed(
        &mut self,
        now: time::Time,
        fingerprint: u64,
        upstream: &name::Name,
        is_exclusive: bool,
    ) -> Vec<fact::Fact> {
        if self.blocked.contains_key(&fingerprint) {
            return Vec::new();
        }
        if is_exclusive {
            let upstream = upstream.clone();
            self.block(now, fingerprint, &upstream);
            return vec![fact::Fact::Blocked {
                fingerprint,
                upstream,
            }];
        }
        if !self.suspect(now, fingerprint, upstream) {
            return Vec::new();
        }
        vec![fact::Fact::Suspect {
            fingerprint,
            upstream: upstream.clone(),
        }]
    }

    /// Applies a fact received from another instance.
    pub fn apply_fact(&mut self, now: time::Time, fact: &fact::Fact) {
        match fact {
            fact::Fact::Suspect {
                fingerprint,
                upstream,
            } => {
                self.suspect(now, *fingerprint, upstream);
            }
            fact::Fact::Blocked {
                fingerprint,
                upstream,
            } => self.block(now, *fingerprint, upstream),
            fact::Fact::Cleared {
                fingerprint,
                upstream,
            } => self.clear_crash(now, *fingerprint, upstream),
            _ => {}
        }
    }

    /// Blocks a fingerprint before the fact that blocks it arrives.
    pub fn block_early(&mut self, now: time::Time, fingerprint: u64) {
        self.suspects.remove(&fingerprint);
        insert(&mut self.blocked, fingerprint, now.after(BLOCK_TTL));
    }

    /// Clears a fingerprint that completed in isolation; returns the facts to broadcast.
    pub fn clear(&mut self, now: time::Time, fingerprint: u64) -> Vec<fact::Fact> {
        let Some(suspect) = self.suspects.get(&fingerprint).cloned() else {
            return Vec::new();
        };
        for upstream in &suspect.upstreams {
            self.clear_crash(now, fingerprint, upstream);
        }
        suspect
            .upstreams
            .into_iter()
            .map(|upstream| fact::Fact::Cleared {
                fingerprint,
                upstream,
            })
            .collect()
    }

    /// Removes expired records, at most once in [`EXPIRY_INTERVAL`].
    pub fn expire(&mut self, now: time::Time) {
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = now.after(EXPIRY_INTERVAL);
        self.suspects.retain(|_, suspect| suspect.expiry > now);
        self.blocked.retain(|_, expiry| *expiry > now);
        self.cleared.retain(|_, expiry| *expiry > now);
        self.explained.retain(|_, expiry| *expiry > now);
    }

    /// Blocks fingerprints with two crashes for which no other cause was found; returns the facts
    /// to broadcast.
    pub fn block_unexplained(&mut self, now: time::Time) -> Vec<fact::Fact> {
        self.expire(now);
        let is_due = |suspect: &Suspect| suspect.review_at.is_some_and(|at| at <= now);
        let blocked: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| is_due(suspect))
            .filter_map(|(fingerprint, suspect)| {
                Some(fact::Fact::Blocked {
                    fingerprint: *fingerprint,
                    upstream: suspect.upstreams.last()?.clone(),
                })
            })
            .collect();
        for fact in &blocked {
            // The cause is not proved, so it explains no other crash.
            if let fact::Fact::Blocked { fingerprint, .. } = fact {
                self.block_early(now, *fingerprint);
            }
        }
        blocked
    }

    /// Returns when the next fingerprint under review is due.
    pub fn wake(&self) -> time::Time {
        let reviews = self
            .suspects
            .values()
            .filter_map(|suspect| suspect.review_at);
        reviews.min().unwrap_or(time::Time::MAX)
    }

    fn suspect(&mut self, now: time::Time, fingerprint: u64, upstream: &name::Name) -> bool {
        let crash = Crash {
            fingerprint,
            upstream: upstream.clone(),
        };
        let explained = self
            .explained
            .get(upstream)
            .is_some_and(|until| *until > now);
        if explained || self.cleared.contains_key(&crash) || self.blocked.contains_key(&fingerprint)
        {
            return false;
        }
        let expiry = now.after(SUSPECT_TTL);
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            let new = suspect.upstreams.insert(crash.upstream);
            if new && suspect.review_at.is_none() {
                suspect.review_at = Some(now.after(REVIEW_DELAY));
            }
            return new;
        }
        if self.suspects.len() >= MAX_FINGERPRINTS {
            let first = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| suspect.expiry);
            if let Some(first) = first.map(|(fingerprint, _)| *fingerprint) {
                self.suspects.remove(&first);
            }
        }
        let suspect = Suspect {
            upstreams: collections::BTreeSet::from([crash.upstream]),
            known_at: now.after(PROPAGATION_DELAY),
            review_at: None,
            expiry,
        };
        self.suspects.insert(fingerprint, suspect);
        true
    }

    fn block(&mut self, now: time::Time, fingerprint: u64, upstream: &name::Name) {
        self.suspects.remove(&fingerprint);
        insert(&mut self.blocked, fingerprint, now.after(BLOCK_TTL));
        insert(
            &mut self.explained,
            upstream.clone(),
            now.after(EXPLANATION_TTL),
        );
        let concurrent: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.upstreams.contains(upstream))
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        for fingerprint in concurrent {
            self.remove_crash(fingerprint, upstream);
        }
    }

    fn clear_crash(&mut self, now: time::Time, fingerprint: u64, upstream: &name::Name) {
        let crash = Crash {
            fingerprint,
            upstream: upstream.clone(),
        };
        insert(&mut self.cleared, crash, now.after(SUSPECT_TTL));
        self.remove_crash(fingerprint, upstream);
    }

    fn remove_crash(&mut self, fingerprint: u64, upstream: &name::Name) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        suspect.upstreams.remove(upstream);
        match suspect.upstreams.len() {
            0 => drop(self.suspects.remove(&fingerprint)),
            1 => suspect.review_at = None,
            _ => {}
        }
    }
}

fn insert<K: Clone + Ord>(
    map: &mut collections::BTreeMap<K, time::Time>,
    key: K,
    expiry: time::Time,
) {
    if map.len() >= MAX_FINGERPRINTS && !map.contains_key(&key) {
        let first = map.iter().min_by_key(|(_, expiry)| **expiry);
        if let Some(first) = first.map(|(key, _)| key.clone()) {
            map.remove(&first);
        }
    }
    map.insert(key, expiry);
}
