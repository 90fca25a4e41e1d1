//! Requests under which engines crashed, as known to all instances.
//!
//! A crash is identified by the engine's incarnation. Crashes merge by set union, so any instance
//! may pass them on, and neither a duplicate message nor a restart of the instance that saw the
//! crash changes the result.

use std::collections;
use std::time::Duration;

use super::digest;
use super::peer_data;
use crate::name;
use crate::time;

/// Number of crashes after which a request is not sent any more.
const CRASH_LIMIT: usize = 3;
/// How long a crash is remembered.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of requests remembered.
const MAX_ENTRIES: usize = 256;
/// Maximum number of crashes remembered for one request, counted and cleared ones each.
const MAX_CRASHES: usize = 8;
/// Maximum number of most recently successful requests remembered.
const MAX_SUCCEEDED: usize = 256;
/// Maximum number of requests with the most crashes in one message.
const MAX_REPORTED_WORST: usize = 16;
/// Maximum number of other requests in one message, sent in rotation.
const MAX_REPORTED_OTHERS: usize = 16;

/// Requests under which engines crashed.
///
/// A response clears a request of earlier crashes, at all instances: a popular request runs at most
/// of the engines that crash without being the cause.
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
    /// Records that an engine crashed while it ran a request; returns the known number of such
    /// crashes.
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
                crashes: vec![crash],
                cleared: Vec::new(),
                remaining_ms: RETENTION.as_millis() as u64,
            },
        );
        self.entries
            .get(&fingerprint)
            .map_or(0, |e| e.crashes.len())
    }

    /// Records that an engine responded to a request.
    pub fn record_success(&mut self, fingerprint: u64) {
        if self.succeeded.len() >= MAX_SUCCEEDED {
            self.succeeded.pop_front();
        }
        self.succeeded.push_back(fingerprint);
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.clear();
        }
    }

    /// Returns `true` if a request must not be sent.
    pub fn is_blocked(&self, now: time::Time, fingerprint: u64) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|e| e.expiry > now && e.crashes.len() >= CRASH_LIMIT)
    }

    /// Merges the crashes that another instance reported.
    pub fn merge(&mut self, now: time::Time, reported: &[digest::Suspect]) {
        for suspect in reported
            .iter()
            .take(MAX_REPORTED_WORST + MAX_REPORTED_OTHERS)
        {
            self.merge_one(now, suspect);
        }
    }

    fn merge_one(&mut self, now: time::Time, reported: &digest::Suspect) {
        let Some(expiry) = peer_data::expiry(now, reported.remaining_ms, RETENTION) else {
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

    /// Returns the crashes to report: the requests with the most crashes, and the others in
    /// rotation.
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

    /// Drops expired requests, or else the one with the fewest crashes.
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
        add(&mut self.cleared, reported.cleared.iter().copied());
        let crashes = reported.crashes.iter().copied();
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
            crashes: self.crashes.iter().copied().collect(),
            cleared: self.cleared.iter().copied().collect(),
            remaining_ms: now.until(self.expiry).as_millis() as u64,
        }
    }
}

fn add(set: &mut collections::BTreeSet<u64>, crashes: impl Iterator<Item = u64>) {
    let free = MAX_CRASHES.saturating_sub(set.len());
    set.extend(crashes.take(free));
}
