//! The turns that one entry hands out to the whole fleet.

use std::collections;
use std::time::Duration;

use super::effect;
use crate::name;
use crate::time;

/// Requests that wait for a turn at most.
const MAX_WAITING: usize = 1024;
/// How long a turn keeps the others waiting at most.
pub const MAX_EXCLUSIVE: Duration = Duration::from_secs(2);
/// How long a turn whose end is unknown keeps others with its fingerprint waiting.
const OUTSTANDING: Duration = Duration::from_secs(60);

/// A turn with the entry that has it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EntryRun {
    /// The entry.
    pub entry: name::Name,
    /// The turn.
    pub run: effect::Run,
}

/// The turns that one entry hands out.
#[derive(Debug, Default)]
pub struct Scheduler {
    waiting: collections::VecDeque<EntryRun>,
    running: collections::BTreeMap<EntryRun, time::Time>,
    solo: Option<Solo>,
}

/// The turn beside which no other may begin.
#[derive(Clone, Debug)]
struct Solo {
    entry_run: EntryRun,
    deadline: time::Time,
}

impl Scheduler {
    /// Queues a request; returns whether it is known now.
    pub fn enqueue(&mut self, entry_run: EntryRun) -> bool {
        if self.running.contains_key(&entry_run) || self.waiting.contains(&entry_run) {
            return true;
        }
        if self.waiting.len() >= MAX_WAITING {
            return false;
        }
        self.waiting.push_back(entry_run);
        true
    }

    /// Ends a turn, or takes a request that waits out of the queue.
    pub fn end(&mut self, entry_run: &EntryRun) {
        self.waiting.retain(|waiting| waiting != entry_run);
        self.running.remove(entry_run);
        self.end_exclusive(entry_run);
    }

    /// Lets the next turn begin beside this one.
    pub fn end_exclusive(&mut self, entry_run: &EntryRun) {
        if self
            .solo
            .as_ref()
            .is_some_and(|solo| solo.entry_run == *entry_run)
        {
            self.solo = None;
        }
    }

    /// Returns whether a turn has been given out and not ended.
    pub fn is_running(&self, entry_run: &EntryRun) -> bool {
        self.running.contains_key(entry_run)
    }

    /// Gives out the next turn if none is running.
    pub fn grant_next(&mut self, now: time::Time) -> Option<EntryRun> {
        self.running.retain(|_, deadline| *deadline > now);
        if self.solo.as_ref().is_some_and(|solo| solo.deadline > now) {
            return None;
        }
        let runs = |fingerprint| {
            let mut runs = self.running.keys();
            runs.any(|entry_run| entry_run.run.fingerprint == fingerprint)
        };
        let free = |entry_run: &EntryRun| !runs(entry_run.run.fingerprint);
        let at = self.waiting.iter().position(free)?;
        let entry_run = self.waiting.remove(at)?;
        let deadline = now.after(MAX_EXCLUSIVE);
        self.solo = Some(Solo {
            entry_run: entry_run.clone(),
            deadline,
        });
        self.running
            .insert(entry_run.clone(), now.after(OUTSTANDING));
        Some(entry_run)
    }

    /// Returns when a turn may be given out without another event.
    pub fn wake(&self) -> time::Time {
        if self.waiting.is_empty() {
            return time::Time::MAX;
        }
        let outstanding = self.running.values().min().copied();
        let solo = self
            .solo
            .as_ref()
            .map(|solo| solo.deadline)
            .filter(|solo| outstanding.is_none_or(|first| *solo < first));
        solo.or(outstanding).unwrap_or(time::Time::MAX)
    }
}
