//! Requests under which engines ended, as all instances know them.
//!
//! An end is one incarnation of an engine. What is known merges by union, so any instance may tell
//! it on, and neither a repeat nor the restart of the one that saw it changes anything.

use std::collections;
use std::time::Duration;

use super::digest;
use super::peer_data;
use crate::name;
use crate::time;

/// Engines that may end under a request before it is not sent any more.
const CRASH_LIMIT: usize = 3;
/// How long an end is remembered.
const RETENTION: Duration = Duration::from_secs(600);
/// Requests that are remembered.
const MAX_ENTRIES: usize = 256;
/// Ends of each kind that are remembered for one request.
const MAX_CRASHES: usize = 8;
/// Requests answered last that are remembered.
const MAX_SUCCEEDED: usize = 256;
/// Requests with most ends that one message tells.
const MAX_REPORTED_WORST: usize = 16;
/// Other requests that one message tells, by turns.
const MAX_REPORTED_OTHERS: usize = 16;

/// Requests under which engines ended.
///
/// An answer excuses a request from the ends before it, at all instances: a popular one runs at most
/// engines that end, and is not the cause.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    entries: collections::HashMap<u64, Entry>,
    succeeded: collections::VecDeque<u64>,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    crashes: collections::BTreeSet<u64>,
    cleared: collections::BTreeSet<u64>,
    expiry: time::Time,
}

impl Suspects {
    /// Notes that an engine ended under a request; returns how many have, as far as is known.
    pub fn record_crash(
        &mut self,
        now: time::Time,
        fingerprint: u64,
        engine: &name::Name,
        incarnation: u64,
    ) -> usize {
        let crash = twox_hash::XxHash64::oneshot(incarnation, engine.as_bytes());
        self.merge_one(
            now,
            &digest::Suspect {
                fingerprint,
                ends: vec![crash],
                excused: Vec::new(),
                left: RETENTION.as_millis() as u64,
            },
        );
        self.entries
            .get(&fingerprint)
            .map_or(0, |e| e.crashes.len())
    }

    /// Notes that an engine answered a request.
    pub fn record_success(&mut self, fingerprint: u64) {
        if self.succeeded.len() >= MAX_SUCCEEDED {
            self.succeeded.pop_front();
        }
        self.succeeded.push_back(fingerprint);
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.clear();
        }
    }

    /// Tells whether a request is not to be sent.
    pub fn is_blocked(&self, now: time::Time, fingerprint: u64) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|e| e.expiry > now && e.crashes.len() >= CRASH_LIMIT)
    }

    /// Takes over what another instance knows.
    pub fn merge(&mut self, now: time::Time, reported: &[digest::Suspect]) {
        for suspect in reported
            .iter()
            .take(MAX_REPORTED_WORST + MAX_REPORTED_OTHERS)
        {
            self.merge_one(now, suspect);
        }
    }

    fn merge_one(&mut self, now: time::Time, reported: &digest::Suspect) {
        let Some(expiry) = peer_data::expiry(now, reported.left, RETENTION) else {
            return;
        };
        let is_known = self.entries.contains_key(&reported.fingerprint);
        if !is_known && self.entries.len() >= MAX_ENTRIES {
            self.evict(now);
        }
        let entry = self.entries.entry(reported.fingerprint).or_default();
        entry.merge(reported);
        if !is_known || peer_data::replaces(expiry, entry.expiry) {
            entry.expiry = expiry;
        }
        if self.succeeded.contains(&reported.fingerprint) {
            entry.clear();
        }
    }

    /// Returns what to tell: the requests under which most engines ended, and the others by turns.
    pub fn report(&self, now: time::Time) -> Vec<digest::Suspect> {
        let live = self.entries.iter().filter(|(_, entry)| entry.expiry > now);
        let mut all: Vec<_> = live.collect();
        all.sort_by_key(|(fingerprint, entry)| {
            (std::cmp::Reverse(entry.crashes.len()), **fingerprint)
        });
        let others = all.split_off(all.len().min(MAX_REPORTED_WORST));
        let reported = all
            .iter()
            .chain(peer_data::sample(now, &others, MAX_REPORTED_OTHERS));
        reported
            .map(|(fingerprint, entry)| entry.to_digest(now, **fingerprint))
            .collect()
    }

    /// Forgets what has expired, else the request with the fewest ends.
    fn evict(&mut self, now: time::Time) {
        self.entries.retain(|_, entry| entry.expiry > now);
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let all = self.entries.iter();
        let fewest = all.min_by_key(|(_, entry)| (entry.crashes.len(), entry.expiry));
        if let Some(fingerprint) = fewest.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&fingerprint);
        }
    }
}

impl Entry {
    fn merge(&mut self, reported: &digest::Suspect) {
        add(&mut self.cleared, reported.excused.iter().copied());
        let crashes = reported.ends.iter().copied();
        let cleared = &self.cleared;
        add(
            &mut self.crashes,
            crashes.filter(|crash| !cleared.contains(crash)),
        );
        self.crashes.retain(|crash| !cleared.contains(crash));
    }

    fn clear(&mut self) {
        let crashes = std::mem::take(&mut self.crashes);
        add(&mut self.cleared, crashes.into_iter());
    }

    fn to_digest(&self, now: time::Time, fingerprint: u64) -> digest::Suspect {
        digest::Suspect {
            fingerprint,
            ends: self.crashes.iter().copied().collect(),
            excused: self.cleared.iter().copied().collect(),
            left: now.until(self.expiry).as_millis() as u64,
        }
    }
}

fn add(set: &mut collections::BTreeSet<u64>, crashes: impl Iterator<Item = u64>) {
    let free = MAX_CRASHES.saturating_sub(set.len());
    set.extend(crashes.take(free));
}
