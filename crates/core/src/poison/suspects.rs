//! What one entry knows about request bodies under which upstreams died.

use std::collections;
use std::time::Duration;

use crate::fact;
use crate::name;
use crate::time;

/// Fingerprints of each kind that are kept at most; the first to be forgotten makes room.
const MAX_FINGERPRINTS: usize = 4096;
/// How long a suspicion lasts.
const SUSPECT_AGE: Duration = Duration::from_secs(600);
/// How long a blocked fingerprint stays blocked.
const BLOCK_AGE: Duration = Duration::from_secs(24 * 3600);
/// How long the cause of an upstream's death explains other reports of it.
const EXPLAIN_AGE: Duration = Duration::from_secs(10);
/// How long the first suspicion takes to reach every entry.
const SPREAD: Duration = Duration::from_millis(300);
/// How long two deaths beside other requests wait for another cause to be found.
const JUDGEMENT: Duration = Duration::from_secs(1);

/// Time between two searches for what has expired.
const SWEEP: Duration = Duration::from_secs(1);

/// Returns until when a fact about a fingerprint holds.
pub fn expiry(now: time::Time, fact: &fact::Fact) -> time::Time {
    match fact {
        fact::Fact::Blocked { .. } => now.after(BLOCK_AGE),
        _ => now.after(SUSPECT_AGE),
    }
}

/// How a fingerprint stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// Nothing speaks against it.
    Clear,
    /// An upstream died under it; it runs alone.
    Suspect,
    /// Two upstreams died under it beside other requests; it is judged soon.
    UnderReview,
    /// It crashes upstreams.
    Blocked,
}

#[derive(Clone, Debug)]
struct Suspect {
    upstreams: collections::BTreeSet<name::Name>,
    known_at: time::Time,
    judged: Option<time::Time>,
    expiry: time::Time,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Death {
    fingerprint: u64,
    upstream: name::Name,
}

/// What one entry knows about request bodies under which upstreams died.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: collections::BTreeMap<u64, Suspect>,
    blocked: collections::BTreeMap<u64, time::Time>,
    cleared: collections::BTreeMap<Death, time::Time>,
    explained: collections::BTreeMap<name::Name, time::Time>,
    swept: time::Time,
}

impl Suspects {
    /// Returns how a fingerprint stands.
    pub fn status(&self, fingerprint: u64) -> Status {
        if self.blocked.contains_key(&fingerprint) {
            return Status::Blocked;
        }
        match self.suspects.get(&fingerprint) {
            None => Status::Clear,
            Some(suspect) if suspect.judged.is_some() => Status::UnderReview,
            Some(_) => Status::Suspect,
        }
    }

    /// Returns when the whole fleet knows of a suspicion, so that a turn may be asked for.
    pub fn known_at(&self, fingerprint: u64) -> time::Time {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(time::Time::default(), |suspect| suspect.known_at)
    }

    /// Takes the death of an upstream under a request; returns what the fleet must know.
    pub fn upstream_crashed(
        &mut self,
        now: time::Time,
        fingerprint: u64,
        upstream: &name::Name,
        alone: bool,
    ) -> Vec<fact::Fact> {
        if self.blocked.contains_key(&fingerprint) {
            return Vec::new();
        }
        if alone {
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

    /// Takes a fact from the fleet.
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
            } => self.clear_death(now, *fingerprint, upstream),
            _ => {}
        }
    }

    /// Blocks a fingerprint here before the fact about it has come.
    pub fn block_early(&mut self, now: time::Time, fingerprint: u64) {
        self.suspects.remove(&fingerprint);
        insert(&mut self.blocked, fingerprint, now.after(BLOCK_AGE));
    }

    /// Clears a fingerprint that ran alone to its end; returns what the fleet must know.
    pub fn clear(&mut self, now: time::Time, fingerprint: u64) -> Vec<fact::Fact> {
        let Some(suspect) = self.suspects.get(&fingerprint).cloned() else {
            return Vec::new();
        };
        for upstream in &suspect.upstreams {
            self.clear_death(now, fingerprint, upstream);
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

    /// Forgets what has expired, at most once in [`SWEEP`].
    pub fn expire(&mut self, now: time::Time) {
        if now < self.swept {
            return;
        }
        self.swept = now.after(SWEEP);
        self.suspects.retain(|_, suspect| suspect.expiry > now);
        self.blocked.retain(|_, expiry| *expiry > now);
        self.cleared.retain(|_, expiry| *expiry > now);
        self.explained.retain(|_, expiry| *expiry > now);
    }

    /// Blocks what two unexplained deaths speak against.
    pub fn block_unexplained(&mut self, now: time::Time) -> Vec<fact::Fact> {
        self.expire(now);
        let due = |suspect: &Suspect| suspect.judged.is_some_and(|judged| judged <= now);
        let judged: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| due(suspect))
            .filter_map(|(fingerprint, suspect)| {
                Some(fact::Fact::Blocked {
                    fingerprint: *fingerprint,
                    upstream: suspect.upstreams.last()?.clone(),
                })
            })
            .collect();
        for fact in &judged {
            // The cause is not proved, so it explains no other death.
            if let fact::Fact::Blocked { fingerprint, .. } = fact {
                self.block_early(now, *fingerprint);
            }
        }
        judged
    }

    /// Returns when the next judgement falls.
    pub fn wake(&self) -> time::Time {
        let judged = self.suspects.values().filter_map(|suspect| suspect.judged);
        judged.min().unwrap_or(time::Time::MAX)
    }

    fn suspect(&mut self, now: time::Time, fingerprint: u64, upstream: &name::Name) -> bool {
        let death = Death {
            fingerprint,
            upstream: upstream.clone(),
        };
        let explained = self
            .explained
            .get(upstream)
            .is_some_and(|until| *until > now);
        if explained || self.cleared.contains_key(&death) || self.blocked.contains_key(&fingerprint)
        {
            return false;
        }
        let expiry = now.after(SUSPECT_AGE);
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            let new = suspect.upstreams.insert(death.upstream);
            if new && suspect.judged.is_none() {
                suspect.judged = Some(now.after(JUDGEMENT));
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
            upstreams: collections::BTreeSet::from([death.upstream]),
            known_at: now.after(SPREAD),
            judged: None,
            expiry,
        };
        self.suspects.insert(fingerprint, suspect);
        true
    }

    fn block(&mut self, now: time::Time, fingerprint: u64, upstream: &name::Name) {
        self.suspects.remove(&fingerprint);
        insert(&mut self.blocked, fingerprint, now.after(BLOCK_AGE));
        insert(
            &mut self.explained,
            upstream.clone(),
            now.after(EXPLAIN_AGE),
        );
        let beside: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.upstreams.contains(upstream))
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        for fingerprint in beside {
            self.acquit(fingerprint, upstream);
        }
    }

    fn clear_death(&mut self, now: time::Time, fingerprint: u64, upstream: &name::Name) {
        let death = Death {
            fingerprint,
            upstream: upstream.clone(),
        };
        insert(&mut self.cleared, death, now.after(SUSPECT_AGE));
        self.acquit(fingerprint, upstream);
    }

    fn acquit(&mut self, fingerprint: u64, upstream: &name::Name) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        suspect.upstreams.remove(upstream);
        match suspect.upstreams.len() {
            0 => drop(self.suspects.remove(&fingerprint)),
            1 => suspect.judged = None,
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
