//! The audit trail of a controller.

use std::collections;
use std::sync;

use crate::name;
use crate::rollout;
use crate::store;
use crate::time;
use crate::verdict;

/// Version of the stored format.
const FORMAT: u32 = 1;
/// Largest number of records that wait to be written; the oldest are dropped first.
const MAX_QUEUED: usize = 256;

/// A record of the audit trail: who did what, with its outcome.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct AuditRecord {
    /// Version of the stored format.
    pub format: u32,
    /// Unique id of the decision.
    pub operation: name::Name,
    /// The controller that made the decision.
    pub author: name::Name,
    /// When the decision was made.
    pub at: time::Time,
    /// The kind of the action.
    pub action: name::Name,
    /// The object of the action, for example a service.
    pub subject: name::Name,
    /// The configuration generation that the decision belongs to.
    pub generation: Option<u64>,
    /// The outcome of the action.
    pub outcome: name::Name,
    /// Details for a human reader.
    pub detail: String,
}

impl AuditRecord {
    /// Creates the record of a step of a rollout.
    pub fn of_rollout(now: time::Time, owner: &name::Name, status: &rollout::Status) -> Self {
        Self {
            format: FORMAT,
            operation: name::Name::from(format!("{}-{}", status.operation, status.generation)),
            author: name::Name::from(format!("controller of {owner}")),
            at: now,
            action: name::Name::from("rollout"),
            subject: status.service.clone(),
            generation: Some(status.generation),
            outcome: name::Name::from("accepted"),
            detail: format!(
                "{} to {}: {} at {} of {}; {}",
                status.from,
                status.to,
                status.phase,
                status.share,
                rollout::FULL_SHARE,
                status.reason
            ),
        }
    }

    /// Returns the key of the record's object in the store.
    pub fn key(&self) -> name::Name {
        let micros = self.at.as_micros();
        name::Name::from(format!("audit/{micros:020}-{}", self.operation))
    }
}

/// Queue of records that are written to the store one at a time.
#[derive(Clone, Debug, Default)]
pub struct Trail {
    queue: collections::VecDeque<AuditRecord>,
    is_writing: bool,
    next_write_at: time::Time,
}

impl Trail {
    /// Queues a record; if the queue is full, the oldest record is dropped, or the new one while
    /// a write is in flight.
    pub fn add(&mut self, record: AuditRecord) {
        if self.queue.len() >= MAX_QUEUED && !self.is_writing {
            self.queue.pop_front();
        }
        if self.queue.len() < MAX_QUEUED {
            self.queue.push_back(record);
        }
    }

    /// Returns the next write that is due.
    pub fn tick(&mut self, now: time::Time) -> Option<store::Call> {
        if self.is_writing || now < self.next_write_at {
            return None;
        }
        let record = self.queue.front()?;
        let body = serde_json::to_vec(record).unwrap_or_default();
        self.is_writing = true;
        Some(store::Call::Write {
            key: record.key(),
            expected: None,
            body: sync::Arc::from(body),
        })
    }

    /// Handles the reply to the write; if the key exists already, it was written by a call whose
    /// reply was lost.
    pub fn handle_reply(&mut self, now: time::Time, reply: &store::Reply) {
        self.is_writing = false;
        match reply {
            store::Reply::Failed(verdict::Verdict::NotRun | verdict::Verdict::MayHaveRun) => {
                self.next_write_at = now.after(super::RETRY_DELAY);
            }
            _ => {
                self.queue.pop_front();
            }
        }
    }
}
