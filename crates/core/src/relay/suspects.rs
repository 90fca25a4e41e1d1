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
const LIMIT: usize = 3;
/// How long an end is remembered.
const MEMORY: Duration = Duration::from_secs(600);
/// Requests that are remembered.
const MAX_ENTRIES: usize = 256;
/// Ends of each kind that are remembered for one request.
const MAX_ENDS: usize = 8;
/// Requests answered last that are remembered.
const MAX_ANSWERED: usize = 256;
/// Requests with most ends that one message tells.
const MAX_WORST: usize = 16;
/// Other requests that one message tells, by turns.
const MAX_OTHERS: usize = 16;

/// Requests under which engines ended.
///
/// An answer excuses a request from the ends before it, at all instances: a popular one runs at most
/// engines that end, and is not the cause.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    entries: collections::HashMap<u64, Entry>,
    answered: collections::VecDeque<u64>,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    ends: collections::BTreeSet<u64>,
    excused: collections::BTreeSet<u64>,
    expiry: time::Time,
}

impl Suspects {
    /// Notes that an engine ended under a request; returns how many have, as far as is known.
    pub fn ended(
        &mut self,
        now: time::Time,
        fingerprint: u64,
        engine: &name::Name,
        incarnation: u64,
    ) -> usize {
        let end = twox_hash::XxHash64::oneshot(incarnation, engine.as_bytes());
        self.learn(
            now,
            &digest::Suspect {
                fingerprint,
                crashes: vec![end],
                cleared: Vec::new(),
                remaining_ms: MEMORY.as_millis() as u64,
            },
        );
        self.entries.get(&fingerprint).map_or(0, |e| e.ends.len())
    }

    /// Notes that an engine answered a request.
    pub fn answered(&mut self, fingerprint: u64) {
        if self.answered.len() >= MAX_ANSWERED {
            self.answered.pop_front();
        }
        self.answered.push_back(fingerprint);
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.excuse();
        }
    }

    /// Tells whether a request is not to be sent.
    pub fn is_blocked(&self, now: time::Time, fingerprint: u64) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|e| e.expiry > now && e.ends.len() >= LIMIT)
    }

    /// Takes over what another instance knows.
    pub fn hear(&mut self, now: time::Time, told: &[digest::Suspect]) {
        for suspect in told.iter().take(MAX_WORST + MAX_OTHERS) {
            self.learn(now, suspect);
        }
    }

    fn learn(&mut self, now: time::Time, told: &digest::Suspect) {
        let Some(expiry) = peer_data::expiry(now, told.left, MEMORY) else {
            return;
        };
        let is_known = self.entries.contains_key(&told.fingerprint);
        if !is_known && self.entries.len() >= MAX_ENTRIES {
            self.make_room(now);
        }
        let entry = self.entries.entry(told.fingerprint).or_default();
        entry.merge(told);
        if !is_known || peer_data::replaces(expiry, entry.expiry) {
            entry.expiry = expiry;
        }
        if self.answered.contains(&told.fingerprint) {
            entry.excuse();
        }
    }

    /// Returns what to tell: the requests under which most engines ended, and the others by turns.
    pub fn told(&self, now: time::Time) -> Vec<digest::Suspect> {
        let live = self.entries.iter().filter(|(_, entry)| entry.expiry > now);
        let mut all: Vec<_> = live.collect();
        all.sort_by_key(|(print, entry)| (std::cmp::Reverse(entry.ends.len()), **print));
        let others = all.split_off(all.len().min(MAX_WORST));
        let told = all
            .iter()
            .chain(peer_data::sample(now, &others, MAX_OTHERS));
        told.map(|(print, entry)| entry.tell(now, **print))
            .collect()
    }

    /// Forgets what has expired, else the request with the fewest ends.
    fn make_room(&mut self, now: time::Time) {
        self.entries.retain(|_, entry| entry.expiry > now);
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let all = self.entries.iter();
        let least = all.min_by_key(|(_, entry)| (entry.ends.len(), entry.expiry));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&fingerprint);
        }
    }
}

impl Entry {
    fn merge(&mut self, told: &digest::Suspect) {
        add(&mut self.excused, told.cleared.iter().copied());
        let ends = told.crashes.iter().copied();
        let excused = &self.excused;
        add(&mut self.ends, ends.filter(|end| !excused.contains(end)));
        self.ends.retain(|end| !excused.contains(end));
    }

    fn excuse(&mut self) {
        let ends = std::mem::take(&mut self.ends);
        add(&mut self.excused, ends.into_iter());
    }

    fn tell(&self, now: time::Time, fingerprint: u64) -> digest::Suspect {
        digest::Suspect {
            fingerprint,
            crashes: self.ends.iter().copied().collect(),
            cleared: self.excused.iter().copied().collect(),
            remaining_ms: now.until(self.expiry).as_millis() as u64,
        }
    }
}

fn add(set: &mut collections::BTreeSet<u64>, ends: impl Iterator<Item = u64>) {
    let room = MAX_ENDS.saturating_sub(set.len());
    set.extend(ends.take(room));
}
