//! A partition's log as this entry has read it.

use std::collections;

use crate::ledger::{self, claim, output, pending_claim, record, segment, stored_response};
use crate::name;
use crate::store;
use crate::time;

/// A partition's log as this entry has read it.
///
/// The head is the only segment that is ever written; a version of `None` means that the head does
/// not exist yet.
#[derive(Debug)]
pub struct Log {
    /// The partition.
    pub id: u64,
    /// Version of the head.
    pub version: Option<store::Version>,
    /// Content of the head.
    pub segment: segment::Segment,
    head: u64,
    last_index: u64,
    sealed: Vec<Sealed>,
    latest: collections::HashMap<name::Name, record::Record>,
}

/// A sealed segment, which is never written again.
#[derive(Debug)]
struct Sealed {
    index: u64,
    version: store::Version,
    expiry: time::Time,
}

/// Result of evaluating a claim against the log.
#[derive(Debug)]
pub enum Finding {
    /// The key may be claimed.
    Free,
    /// The log must be read again before the claim can be decided.
    Stale,
    /// The key has run, with this response.
    AlreadyRun(stored_response::StoredResponse),
    /// The claim is denied.
    Denied(output::Reason),
}

/// Whether the log has been read to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The head has been reached.
    Complete,
    /// The next segment must be read.
    More,
}

impl Log {
    /// Creates the log of a partition of which nothing has been read.
    pub fn new(id: u64) -> Self {
        Self {
            id,
            version: None,
            segment: segment::Segment::default(),
            head: 0,
            last_index: 0,
            sealed: Vec::new(),
            latest: collections::HashMap::new(),
        }
    }

    /// Returns the key of the head.
    pub fn head_key(&self) -> name::Name {
        segment::key(self.id, self.head)
    }

    /// Applies the list of segments; if the known head is not in it, the log is read from the
    /// beginning.
    pub fn apply_list(&mut self, objects: &[store::Entry]) {
        let mut indices: Vec<u64> = objects
            .iter()
            .filter_map(|o| segment::index(&o.key))
            .collect();
        indices.sort_unstable();
        self.last_index = indices.last().copied().unwrap_or(0);
        if indices.contains(&self.head) && self.version.is_some() {
            return;
        }
        *self = Self {
            head: indices.first().copied().unwrap_or(0),
            last_index: self.last_index,
            ..Self::new(self.id)
        };
    }

    /// Handles the reply that the head does not exist.
    pub fn head_missing(&mut self) -> Progress {
        if self.head < self.last_index {
            self.advance_head();
            return Progress::More;
        }
        self.version = None;
        self.segment = segment::Segment::default();
        Progress::Complete
    }

    /// Sets the head, as read or as just written.
    pub fn set_head(&mut self, version: store::Version, found: segment::Segment) -> Progress {
        for record in &found.records {
            self.latest.insert(record.key.clone(), record.clone());
        }
        self.version = Some(version);
        self.segment = found;
        if !self.segment.sealed {
            return Progress::Complete;
        }
        let expiries = self.segment.records.iter().map(|r| r.expiry);
        self.sealed.push(Sealed {
            index: self.head,
            version,
            expiry: expiries.max().unwrap_or_default(),
        });
        self.advance_head();
        Progress::More
    }

    /// Returns the call that deletes the oldest segment, [`ledger::RETENTION`] after the last of
    /// its records has expired.
    ///
    /// One sealed segment always remains, so that a reader of an idle partition finds its
    /// position.
    pub fn delete_oldest(&self, now: time::Time) -> Option<store::Call> {
        let [oldest, _, ..] = self.sealed.as_slice() else {
            return None;
        };
        let is_obsolete = oldest.expiry.after(ledger::RETENTION) <= now;
        is_obsolete.then(|| store::Call::Delete {
            key: segment::key(self.id, oldest.index),
            expected: oldest.version,
        })
    }

    /// Removes the oldest sealed segment from the known ones.
    pub fn forget_oldest(&mut self) {
        if !self.sealed.is_empty() {
            self.sealed.remove(0);
        }
    }

    /// Removes records that have expired.
    pub fn purge(&mut self, now: time::Time) {
        self.latest.retain(|_, r| r.expiry > now);
    }

    /// Returns `true` if a record is the latest of its key.
    pub fn is_latest(&self, record: &record::Record) -> bool {
        self.latest.get(&record.key) == Some(record)
    }

    /// Returns `true` if the latest record of a key belongs to this claim.
    pub fn is_claimed_by(&self, key: &name::Name, operation: record::Operation) -> bool {
        let record = self.latest.get(key);
        record.is_some_and(|r| r.operation == operation)
    }

    /// Decides a claim by the log and the records already added to the `next` write.
    ///
    /// A lookup needs a log that was read after it arrived, and never claims the key.
    pub fn evaluate(
        &self,
        now: time::Time,
        waiting: &pending_claim::PendingClaim,
        next: &segment::Segment,
    ) -> Finding {
        match self.find(now, waiting, next) {
            Finding::Free if waiting.claim.lookup && waiting.is_fresh => {
                Finding::Denied(output::Reason::NotFound)
            }
            Finding::Free if waiting.claim.lookup => Finding::Stale,
            finding => finding,
        }
    }

    fn find(
        &self,
        now: time::Time,
        waiting: &pending_claim::PendingClaim,
        next: &segment::Segment,
    ) -> Finding {
        let claim = &waiting.claim;
        let added = &next.records[self.segment.records.len()..];
        if added.iter().any(|r| r.key == claim.key) {
            let retry_at = now.after(ledger::BUSY_RETRY_DELAY);
            return Finding::Denied(output::Reason::Busy { retry_at });
        }
        let Some(found) = self.latest.get(&claim.key).filter(|r| r.expiry > now) else {
            return Finding::Free;
        };
        if found.fingerprint != claim.fingerprint {
            return Finding::Denied(output::Reason::Mismatch);
        }
        match &found.step {
            record::Step::Released => Finding::Free,
            record::Step::Ended(response) => Finding::AlreadyRun(response.clone()),
            record::Step::Unclear => unknown_outcome(claim),
            record::Step::Claimed { .. } if !waiting.is_fresh && !runs_here(found, waiting) => {
                Finding::Stale
            }
            record::Step::Claimed { deadline } if now < *deadline => {
                let retry_at = now.after(ledger::BUSY_RETRY_DELAY).min(*deadline);
                Finding::Denied(output::Reason::Busy { retry_at })
            }
            record::Step::Claimed { .. } => unknown_outcome(claim),
        }
    }

    fn advance_head(&mut self) {
        self.head += 1;
        self.version = None;
        self.segment = segment::Segment::default();
    }
}

fn runs_here(found: &record::Record, waiting: &pending_claim::PendingClaim) -> bool {
    found.operation.writer == waiting.operation.writer
}

fn unknown_outcome(claim: &claim::Claim) -> Finding {
    if claim.retryable {
        return Finding::Free;
    }
    Finding::Denied(output::Reason::Unclear)
}
