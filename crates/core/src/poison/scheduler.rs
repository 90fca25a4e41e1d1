//! Queue of the isolated runs that one entry grants to the whole fleet.

use std::collections;
use std::time::Duration;

use super::effect;
use crate::name;
use crate::time;

/// Requests that wait for an isolated run at most.
const MAX_WAITING: usize = 1024;
/// How long a run delays the next one at most.
pub const MAX_EXCLUSIVE: Duration = Duration::from_secs(2);
/// How long a run whose end is not reported delays others with its fingerprint.
const MAX_RUNNING: Duration = Duration::from_secs(60);

/// An isolated run with the entry of its request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EntryRun {
    /// The entry that dispatches the request.
    pub entry: name::Name,
    /// The run.
    pub run: effect::Run,
}

/// The isolated runs that one entry has queued or granted.
#[derive(Debug, Default)]
pub struct Scheduler {
    waiting: collections::VecDeque<EntryRun>,
    running: collections::BTreeMap<EntryRun, time::Time>,
    exclusive: Option<Exclusive>,
}

/// The run during which no other is granted.
#[derive(Clone, Debug)]
struct Exclusive {
    entry_run: EntryRun,
    deadline: time::Time,
}

impl Scheduler {
    /// Queues a run; returns `false` if the queue is full.
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

    /// Ends a run, or removes one that waits from the queue.
    pub fn end(&mut self, entry_run: &EntryRun) {
        self.waiting.retain(|waiting| waiting != entry_run);
        self.running.remove(entry_run);
        self.end_exclusive(entry_run);
    }

    /// Lets the next run start while this one goes on.
    pub fn end_exclusive(&mut self, entry_run: &EntryRun) {
        if self
            .exclusive
            .as_ref()
            .is_some_and(|exclusive| exclusive.entry_run == *entry_run)
        {
            self.exclusive = None;
        }
    }

    /// Returns `true` if a run was granted and has not ended.
    pub fn is_running(&self, entry_run: &EntryRun) -> bool {
        self.running.contains_key(entry_run)
    }

    /// Grants the next run if no other is exclusive.
    pub fn grant_next(&mut self, now: time::Time) -> Option<EntryRun> {
        self.running.retain(|_, deadline| *deadline > now);
        if self
            .exclusive
            .as_ref()
            .is_some_and(|exclusive| exclusive.deadline > now)
        {
            return None;
        }
        let is_taken = |fingerprint| {
            let mut runs = self.running.keys();
            runs.any(|entry_run| entry_run.run.fingerprint == fingerprint)
        };
        let is_free = |entry_run: &EntryRun| !is_taken(entry_run.run.fingerprint);
        let index = self.waiting.iter().position(is_free)?;
        let entry_run = self.waiting.remove(index)?;
        let deadline = now.after(MAX_EXCLUSIVE);
        self.exclusive = Some(Exclusive {
            entry_run: entry_run.clone(),
            deadline,
        });
        self.running
            .insert(entry_run.clone(), now.after(MAX_RUNNING));
        Some(entry_run)
    }

    /// Returns when the next run may be granted without another event.
    pub fn wake(&self) -> time::Time {
        if self.waiting.is_empty() {
            return time::Time::MAX;
        }
        let first_expiry = self.running.values().min().copied();
        let exclusive = self
            .exclusive
            .as_ref()
            .map(|exclusive| exclusive.deadline)
            .filter(|exclusive| first_expiry.is_none_or(|first| *exclusive < first));
        exclusive.or(first_expiry).unwrap_or(time::Time::MAX)
    }
}
