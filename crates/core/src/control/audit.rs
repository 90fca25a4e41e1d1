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
/// Records that wait to be written; the oldest are dropped first.
const MAX_WAITING: usize = 256;

/// One record: who did what, and what became of it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct AuditRecord {
    /// Version of the stored format.
    pub format: u32,
    /// Unique id of the decision.
    pub operation: name::Name,
    /// The controller.
    pub author: name::Name,
    /// When it was decided.
    pub at: time::Time,
    /// What was done.
    pub action: name::Name,
    /// What it was done to.
    pub subject: name::Name,
    /// The configuration generation that it belongs to.
    pub generation: Option<u64>,
    /// What became of it.
    pub outcome: name::Name,
    /// More for a reader.
    pub detail: String,
}

impl AuditRecord {
    /// Builds the record of a step of a rollout.
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
                rollout::WHOLE,
                status.reason
            ),
        }
    }

    /// Returns the key that the record is kept under.
    pub fn key(&self) -> name::Name {
        let micros = self.at.as_micros();
        name::Name::from(format!("audit/{micros:020}-{}", self.operation))
    }
}

/// Records that wait to be written, one at a time.
#[derive(Clone, Debug, Default)]
pub struct Trail {
    waiting: collections::VecDeque<AuditRecord>,
    is_writing: bool,
    next: time::Time,
}

impl Trail {
    /// Adds a record.
    pub fn add(&mut self, audit: AuditRecord) {
        if self.waiting.len() >= MAX_WAITING && !self.is_writing {
            self.waiting.pop_front();
        }
        if self.waiting.len() < MAX_WAITING {
            self.waiting.push_back(audit);
        }
    }

    /// Returns the next write that is due.
    pub fn tick(&mut self, now: time::Time) -> Option<store::Call> {
        if self.is_writing || now < self.next {
            return None;
        }
        let audit = self.waiting.front()?;
        let body = serde_json::to_vec(audit).unwrap_or_default();
        self.is_writing = true;
        Some(store::Call::Write {
            key: audit.key(),
            expected: None,
            body: sync::Arc::from(body),
        })
    }

    /// Takes the reply; a key that exists already was written by a call whose answer was lost.
    pub fn handle_reply(&mut self, now: time::Time, reply: &store::Reply) {
        self.is_writing = false;
        match reply {
            store::Reply::Failed(verdict::Verdict::NotRun | verdict::Verdict::MayHaveRun) => {
                self.next = now.after(super::RETRY);
            }
            _ => {
                self.waiting.pop_front();
            }
        }
    }
}
