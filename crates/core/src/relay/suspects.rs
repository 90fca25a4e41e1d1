//! Requests under which engines crash.

use std::collections;
use std::time::Duration;

use super::digest;
use super::summary;
use crate::name;
use crate::time;

/// Crashes at which a request is not sent any more.
const LIMIT: u32 = 3;
/// How long a crash is remembered.
const MEMORY: Duration = Duration::from_secs(60);
/// Requests that are remembered.
const MAX_ENTRIES: usize = 256;
/// Requests that one digest tells.
const MAX_TOLD: usize = 16;

/// Crashes by the fingerprint of the request.
///
/// A whole answer clears a request, so that one which many callers send alike is not blocked by
/// crashes that it has not caused.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    own: collections::HashMap<u64, Entry>,
    others: collections::HashMap<u64, collections::BTreeMap<name::Name, Entry>>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    crashes: u32,
    expiry: time::Time,
}

impl Suspects {
    /// Notes that an engine crashed under a request.
    pub fn crashed(&mut self, now: time::Time, fingerprint: u64) {
        if self.own.len() >= MAX_ENTRIES {
            self.sweep(now);
        }
        if self.own.len() >= MAX_ENTRIES && !self.own.contains_key(&fingerprint) {
            return;
        }
        let entry = self.own.entry(fingerprint).or_insert(Entry {
            crashes: 0,
            expiry: now,
        });
        entry.crashes += 1;
        entry.expiry = now.after(MEMORY);
    }

    /// Notes that a request was answered whole.
    pub fn cleared(&mut self, fingerprint: u64) {
        self.own.remove(&fingerprint);
        self.others.remove(&fingerprint);
    }

    /// Tells whether a request is not to be sent.
    pub fn is_blocked(&self, now: time::Time, fingerprint: u64) -> bool {
        self.known(now, fingerprint) >= LIMIT
    }

    /// Returns how many crashes under a request are known.
    pub fn known(&self, now: time::Time, fingerprint: u64) -> u32 {
        let own = self.own.get(&fingerprint).into_iter();
        let others = self.others.get(&fingerprint).into_iter();
        let all = own.chain(others.flat_map(|by| by.values()));
        all.filter(|e| e.expiry > now).map(|e| e.crashes).sum()
    }

    /// Takes over what another instance has seen.
    pub fn hear(&mut self, now: time::Time, from: &name::Name, crashes: &[digest::Crash]) {
        for crash in crashes.iter().take(MAX_TOLD) {
            if self.others.len() >= MAX_ENTRIES && !self.others.contains_key(&crash.fingerprint) {
                self.sweep(now);
                continue;
            }
            let by = self.others.entry(crash.fingerprint).or_default();
            let known = by.get(from).map_or(0, |e| e.crashes);
            if crash.crashes > known {
                let entry = Entry {
                    crashes: crash.crashes,
                    expiry: now.after(MEMORY),
                };
                by.insert(from.clone(), entry);
            }
        }
    }

    /// Returns what to tell: the newest crashes.
    pub fn told(&self) -> Vec<digest::Crash> {
        let mut all: Vec<_> = self.own.iter().collect();
        all.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.expiry));
        let newest = all.into_iter().take(MAX_TOLD);
        newest
            .map(|(fingerprint, entry)| digest::Crash {
                fingerprint: *fingerprint,
                crashes: entry.crashes,
            })
            .collect()
    }

    /// Returns what to tell other groups: the newest crashes, by who saw them; `own` saw its own.
    pub fn sightings(&self, own: &name::Name) -> Vec<summary::Sighting> {
        let mine = self.own.iter().map(|(print, entry)| (own, *print, entry));
        let others = self.others.iter().flat_map(|(print, by)| {
            let seen = by.iter();
            seen.map(|(instance, entry)| (instance, *print, entry))
        });
        let mut all: Vec<_> = mine.chain(others).collect();
        all.sort_by_key(|(_, _, entry)| std::cmp::Reverse(entry.expiry));
        let newest = all.into_iter().take(MAX_TOLD);
        newest
            .map(|(instance, fingerprint, entry)| summary::Sighting {
                instance: instance.clone(),
                crash: digest::Crash {
                    fingerprint,
                    crashes: entry.crashes,
                },
            })
            .collect()
    }

    fn sweep(&mut self, now: time::Time) {
        self.own.retain(|_, entry| entry.expiry > now);
        self.others.retain(|_, by| {
            by.retain(|_, entry| entry.expiry > now);
            !by.is_empty()
        });
    }
}
