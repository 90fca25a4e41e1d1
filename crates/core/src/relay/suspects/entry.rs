//! What is known of one request or part of prompts under which engines crashed.

use std::collections;
use std::time::Duration;

use crate::relay::crash_report;
use crate::relay::culprits;
use crate::relay::peer_data;
use crate::relay::probes;
use crate::relay::saved_suspect;
use crate::relay::subject;
use crate::time;

/// How long before a crash a complete response shows that its cause is another one.
const CREDIT_PERIOD: Duration = Duration::from_secs(2);
/// Maximum number of crashes of one request or part in one message.
const MAX_REPORTED_CRASHES: usize = 8;

/// Crashes of engines under one request or part.
#[derive(Clone, Debug, Default)]
pub(super) struct Entry {
    pub crashes: collections::BTreeMap<u64, Crash>,
    /// When this instance saw the last crash itself.
    pub seen_at: Option<time::Time>,
    /// When crashes were cleared last, which is reported for as long as a new crash.
    pub cleared_at: Option<time::Time>,
    /// Whether the store says that it is blocked.
    pub is_saved: bool,
    pub expiry: time::Time,
}

/// One crash.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    pub at: time::Time,
    pub is_cleared: bool,
}

/// What a report changed of one crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Update {
    None,
    Added,
    Cleared,
}

impl Entry {
    /// Adds a crash, or what was learned of a known one.
    pub fn add(&mut self, now: time::Time, reported: &crash_report::Crash) -> Update {
        let age = Duration::from_millis(reported.age_ms).min(super::RETENTION);
        let at = now.before(age);
        if let Some(crash) = self.crashes.get_mut(&reported.id) {
            // A message takes time, so the earliest report is the most precise one.
            crash.at = crash.at.min(at);
            let is_new = reported.is_cleared && !crash.is_cleared;
            crash.is_cleared |= reported.is_cleared;
            return if is_new {
                self.cleared_at = Some(now);
                Update::Cleared
            } else {
                Update::None
            };
        }
        if self.crashes.len() >= super::MAX_CRASHES {
            let all = self.crashes.iter();
            let oldest = all.min_by_key(|(id, crash)| (crash.at, **id));
            match oldest.map(|(id, crash)| (*id, crash.at)) {
                Some((id, oldest)) if oldest < at => drop(self.crashes.remove(&id)),
                _ => return Update::None,
            }
        }
        let is_cleared = reported.is_cleared;
        self.crashes.insert(reported.id, Crash { at, is_cleared });
        Update::Added
    }

    /// Clears the crashes that have another cause if an engine has responded completely at `at`;
    /// returns `true` if there were any.
    pub fn clear(&mut self, now: time::Time, at: time::Time) -> bool {
        let latest = at.after(CREDIT_PERIOD);
        let counted = self.crashes.values_mut().filter(|crash| !crash.is_cleared);
        let excused = counted.filter(|crash| crash.at <= latest);
        let is_any = excused.map(|crash| crash.is_cleared = true).count() > 0;
        if is_any {
            self.cleared_at = Some(now);
        }
        is_any
    }

    /// Returns the crashes that count.
    pub fn counted(&self) -> impl Iterator<Item = u64> {
        let counted = self.crashes.iter().filter(|(_, crash)| !crash.is_cleared);
        counted.map(|(id, _)| *id)
    }

    /// Returns the newest of these crashes as they are kept in the store.
    pub fn newest(
        &self,
        ids: &collections::BTreeSet<u64>,
        count: usize,
        to_micros: impl Fn(time::Time) -> u64,
    ) -> Vec<saved_suspect::SavedCrash> {
        let crashes = self.crashes.iter().filter(|(id, _)| ids.contains(id));
        let mut crashes: Vec<_> = crashes.map(|(id, crash)| (crash.at, *id)).collect();
        crashes.sort_unstable_by(|a, b| b.cmp(a));
        crashes.truncate(count);
        let saved = crashes
            .into_iter()
            .map(|(at, id)| saved_suspect::SavedCrash {
                id,
                at_micros: to_micros(at),
            });
        saved.collect()
    }

    /// Returns what decides when this is probed; `None` if no crash counts.
    pub fn last_crashes(&self) -> Option<probes::LastCrashes> {
        let counted = self.crashes.values().filter(|crash| !crash.is_cleared);
        let mut times: Vec<_> = counted.map(|crash| crash.at).collect();
        times.sort_unstable();
        Some(probes::LastCrashes {
            at: *times.last()?,
            may_be_common: culprits::may_be_common(&times),
            ended_with_others: false,
        })
    }

    /// Returns the identifier of the last crash that counts.
    pub fn last_id(&self) -> Option<u64> {
        let counted = self.crashes.iter().filter(|(_, crash)| !crash.is_cleared);
        let last = counted.max_by_key(|(id, crash)| (crash.at, **id));
        last.map(|(id, _)| *id)
    }

    /// Returns when the last crash happened.
    pub fn latest(&self) -> time::Time {
        let all = self.crashes.values().map(|crash| crash.at);
        all.max().unwrap_or_default()
    }

    pub fn to_report(&self, now: time::Time, subject: subject::Subject) -> crash_report::Suspect {
        let crashes: Vec<_> = self.crashes.iter().collect();
        let reported = peer_data::sample(now, &crashes, MAX_REPORTED_CRASHES);
        let reported = reported.map(|(id, crash)| crash_report::Crash {
            id: **id,
            age_ms: crash.at.until(now).as_millis() as u64,
            is_cleared: crash.is_cleared,
        });
        crash_report::Suspect {
            subject,
            crashes: reported.collect(),
            remaining_ms: now.until(self.expiry).as_millis() as u64,
        }
    }
}
