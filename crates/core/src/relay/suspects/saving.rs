//! What is kept in the store of crashes, over a kill of all instances.

use std::collections;

use super::{RETENTION, Suspects, entry};
use crate::name;
use crate::relay::crash_report;
use crate::relay::saved_suspect;
use crate::relay::subject;
use crate::time;

/// Maximum number of blocked subjects that are kept in the store, so that the object stays small.
const MAX_SAVED: usize = 32;
/// Maximum number of others that are kept there, those with the most and latest crashes first.
const MAX_SAVED_OTHERS: usize = 128;
/// Maximum number of crashes of each.
const MAX_SAVED_CRASHES: usize = 8;
/// Used in place of an instance's name for crashes that were kept in the store.
const STORE: &str = "store";

impl Suspects {
    /// Returns what is kept in the store, in a fixed order: first what is blocked, then what crashes count
    /// against that no other cause explains. `to_micros` converts a time to microseconds since the Unix epoch.
    pub fn save(
        &self,
        now: time::Time,
        to_micros: impl Fn(time::Time) -> u64,
    ) -> Vec<saved_suspect::SavedSuspect> {
        let blocked = self.blocked(now).take(MAX_SAVED);
        let blocked = blocked.filter_map(|subject| {
            let entry = self.entries.get(&subject)?;
            let crashes = entry.counted().collect();
            Some((subject, true, entry, crashes))
        });
        let others = self.unblocked_evidence(now);
        let others = others
            .into_iter()
            .map(|(subject, entry, crashes)| (subject, false, entry, crashes));
        let saved = blocked.chain(others);
        saved
            .map(
                |(subject, is_blocked, entry, crashes)| saved_suspect::SavedSuspect {
                    subject,
                    crashes: entry.newest(&crashes, MAX_SAVED_CRASHES, &to_micros),
                    is_blocked,
                    round: self.probes.round(subject),
                    probes: self.probes.sent(now, subject),
                },
            )
            .collect()
    }

    /// Returns the crashes that count against what is not blocked, those with the most first. Crashes with a
    /// common cause are left out: where they happened is not known to a process that reads them.
    fn unblocked_evidence(
        &self,
        now: time::Time,
    ) -> Vec<(subject::Subject, &entry::Entry, collections::BTreeSet<u64>)> {
        let evidence = self.evidence(now);
        let attributed = evidence.attributed();
        let others = attributed.into_iter().filter_map(|(subject, crashes)| {
            let entry = self.entries.get(&subject)?;
            let is_kept = !crashes.is_empty() && !self.is_blocked(now, subject);
            is_kept.then_some((subject, entry, crashes))
        });
        let mut others: Vec<_> = others.collect();
        others.sort_by_cached_key(|(subject, entry, crashes)| {
            (std::cmp::Reverse((crashes.len(), entry.latest())), *subject)
        });
        others.truncate(MAX_SAVED_OTHERS);
        others
    }

    /// Adopts what is kept in the store; `micros` is the present time since the Unix epoch.
    pub fn restore(&mut self, now: time::Time, micros: u64, saved: &[saved_suspect::SavedSuspect]) {
        if !saved.is_empty() {
            self.reporter = Some(name::Name::from(STORE));
        }
        for suspect in saved.iter().take(MAX_SAVED + MAX_SAVED_OTHERS) {
            let crashes = suspect.crashes.iter().take(MAX_SAVED_CRASHES);
            let crashes = crashes.map(|crash| crash_report::Crash {
                id: crash.id,
                age_ms: micros.saturating_sub(crash.at_micros) / 1_000,
                is_cleared: false,
            });
            let crashes: Vec<_> = crashes.collect();
            let Some(age_ms) = crashes.iter().map(|crash| crash.age_ms).min() else {
                continue;
            };
            let reported = crash_report::Suspect {
                subject: suspect.subject,
                crashes,
                remaining_ms: (RETENTION.as_millis() as u64).saturating_sub(age_ms),
            };
            self.merge_one(now, &reported);
            let entry = self.entries.get_mut(&suspect.subject);
            if let Some(entry) = entry.filter(|_| suspect.is_blocked) {
                self.is_changed |= !std::mem::replace(&mut entry.is_saved, true);
            }
            self.probes
                .restore(now, suspect.subject, suspect.round, suspect.probes);
        }
    }
}
