//! One partition of the ledger: a log that is extended by conditional update.

use std::mem;
use std::sync;
use std::time::Duration;

use crate::ledger::{self, claim, log, output, pending_claim, record, segment};
use crate::store;
use crate::time;
use crate::verdict;

/// How long a claim may wait to be written.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Size of the ends of claims in one write, in bytes; one end may exceed it.
const MAX_END_BYTES: usize = 256 << 10;

/// State machine of one partition at this entry.
#[derive(Debug)]
pub struct Partition {
    phase: Phase,
    log: log::Log,
    waiting: Vec<pending_claim::PendingClaim>,
    pending_ends: Vec<record::Record>,
    batch: Batch,
    retry_at: time::Time,
}

/// The call that is in flight, or why there is none.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The log has not been read.
    Unread,
    /// A list call is in flight.
    Listing,
    /// A read call for the head is in flight.
    Reading,
    /// The log has been read and no call is in flight.
    Idle,
    /// A write call for the head is in flight.
    Writing,
    /// A delete call for the oldest segment is in flight.
    Deleting,
}

#[derive(Debug, Default)]
struct Batch {
    claims: Vec<pending_claim::PendingClaim>,
    ends: Vec<record::Record>,
    written: segment::Segment,
}

impl Partition {
    /// Creates a partition of which nothing has been read.
    pub fn new(id: u64) -> Self {
        Self {
            phase: Phase::Unread,
            log: log::Log::new(id),
            waiting: Vec::new(),
            pending_ends: Vec::new(),
            batch: Batch::default(),
            retry_at: time::Time::default(),
        }
    }

    /// Queues a claim for the next write.
    pub fn claim(
        &mut self,
        now: time::Time,
        claim: claim::Claim,
        operation: record::Operation,
        out: &mut Vec<output::Output>,
    ) {
        if self.waiting.len() >= ledger::MAX_WAITING_CLAIMS {
            let retry_at = now.after(ledger::BUSY_RETRY_DELAY);
            return deny(out, claim.request, output::Reason::Overloaded { retry_at });
        }
        let deny_at = claim.deadline.min(now.after(CLAIM_TIMEOUT));
        self.waiting.push(pending_claim::PendingClaim {
            claim,
            operation,
            deny_at,
            is_fresh: false,
            is_denied: false,
        });
    }

    /// Queues the record that ends a claim for the next write.
    pub fn close(&mut self, record: record::Record) {
        self.pending_ends.push(record);
    }

    /// Handles the reply to the call in flight.
    pub fn reply(&mut self, now: time::Time, reply: store::Reply, out: &mut Vec<output::Output>) {
        match mem::replace(&mut self.phase, Phase::Unread) {
            Phase::Listing => self.handle_list(now, reply, out),
            Phase::Reading => self.handle_read(now, reply, out),
            Phase::Writing => self.handle_write(now, reply, out),
            Phase::Deleting => {
                self.log.forget_oldest();
                self.phase = Phase::Idle;
            }
            other => self.phase = other,
        }
    }

    /// Denies claims that have waited too long.
    pub fn tick(&mut self, now: time::Time, out: &mut Vec<output::Output>) {
        let retry_at = now.after(ledger::OUTAGE_RETRY_DELAY);
        for late in self
            .batch
            .claims
            .iter_mut()
            .filter(|w| !w.is_denied && w.deny_at <= now)
        {
            late.is_denied = true;
            deny(
                out,
                late.claim.request,
                output::Reason::Unavailable { retry_at },
            );
        }
        self.waiting.retain(|w| {
            let is_late = w.deny_at <= now;
            if is_late {
                deny(
                    out,
                    w.claim.request,
                    output::Reason::Unavailable { retry_at },
                );
            }
            !is_late
        });
    }

    /// Returns when [`Partition::tick`] denies the next claim.
    pub fn next_denial(&self) -> Option<time::Time> {
        let written = self.batch.claims.iter().filter(|w| !w.is_denied);
        self.waiting.iter().chain(written).map(|w| w.deny_at).min()
    }

    /// Returns the earliest time of the next call, if there is one to make.
    pub fn next_call(&self) -> Option<time::Time> {
        self.has_work().then_some(self.retry_at)
    }

    /// Returns `true` if a call should be made as soon as the breaker allows it.
    pub fn is_due(&self, now: time::Time) -> bool {
        self.has_work() && now >= self.retry_at
    }

    fn has_work(&self) -> bool {
        matches!(self.phase, Phase::Unread | Phase::Idle)
            && !(self.pending_ends.is_empty() && self.waiting.is_empty())
    }

    /// Makes the next call.
    pub fn advance(&mut self, now: time::Time, out: &mut Vec<output::Output>) {
        if self.phase == Phase::Unread {
            return self.list(out);
        }
        self.write_batch(now, out);
    }

    fn call(&mut self, phase: Phase, call: store::Call, out: &mut Vec<output::Output>) {
        self.phase = phase;
        out.push(output::Output::Call {
            partition: self.log.id,
            call,
        });
    }

    fn list(&mut self, out: &mut Vec<output::Output>) {
        let prefix = segment::prefix(self.log.id);
        self.call(Phase::Listing, store::Call::List { prefix }, out);
    }

    fn handle_list(&mut self, now: time::Time, reply: store::Reply, out: &mut Vec<output::Output>) {
        let store::Reply::Listed { objects, .. } = reply else {
            return self.fail(now, out);
        };
        self.log.apply_list(&objects);
        self.read_head(out);
    }

    fn read_head(&mut self, out: &mut Vec<output::Output>) {
        let key = self.log.head_key();
        self.call(Phase::Reading, store::Call::Read { key }, out);
    }

    fn handle_read(&mut self, now: time::Time, reply: store::Reply, out: &mut Vec<output::Output>) {
        let progress = match reply {
            store::Reply::Missing => self.log.head_missing(),
            store::Reply::Found(object) => match segment::Segment::decode(&object.body) {
                Ok(found) => self.log.set_head(object.version, found),
                Err(_) => return self.fail(now, out),
            },
            _ => return self.fail(now, out),
        };
        match progress {
            log::Progress::More => self.read_head(out),
            log::Progress::Complete => self.settle_batch(now, out),
        }
    }

    /// Decides by the log whether the write with an unknown outcome has taken effect.
    fn settle_batch(&mut self, now: time::Time, out: &mut Vec<output::Output>) {
        self.phase = Phase::Idle;
        let batch = mem::take(&mut self.batch);
        let ends = batch.ends.into_iter();
        let (ended, open): (Vec<_>, Vec<_>) = ends.partition(|r| self.log.is_latest(r));
        ended.iter().for_each(|r| recorded(out, r));
        self.pending_ends.splice(0..0, open);
        for waiting in batch.claims {
            let key = &waiting.claim.key;
            if self.log.is_claimed_by(key, waiting.operation) {
                self.grant(now, waiting, out);
            } else if !waiting.is_denied {
                self.waiting.push(waiting);
            }
        }
        self.waiting.iter_mut().for_each(|w| w.is_fresh = true);
    }

    fn write_batch(&mut self, now: time::Time, out: &mut Vec<output::Output>) {
        self.log.purge(now);
        let mut next = self.log.segment.clone();
        let mut stale = Vec::new();
        for waiting in mem::take(&mut self.waiting) {
            match self.log.evaluate(now, &waiting, &next) {
                log::Finding::Free => {
                    next.records.push(waiting.claim_record(now));
                    self.batch.claims.push(waiting);
                }
                log::Finding::Stale => stale.push(waiting),
                log::Finding::AlreadyRun(response) => {
                    let request = waiting.claim.request;
                    out.push(output::Output::AlreadyRun { request, response });
                }
                log::Finding::Denied(reason) => deny(out, waiting.claim.request, reason),
            }
        }
        self.waiting = stale;
        self.batch_ends(&mut next);
        if !self.batch.claims.is_empty() || !self.batch.ends.is_empty() {
            self.write_head(next, out);
        } else if !self.waiting.is_empty() {
            self.list(out);
        } else if let Some(call) = self.log.delete_oldest(now) {
            self.call(Phase::Deleting, call, out);
        }
    }

    fn write_head(&mut self, mut next: segment::Segment, out: &mut Vec<output::Output>) {
        let mut body = next.encode();
        if body.len() > ledger::SEAL_BYTES {
            next.sealed = true;
            body = next.encode();
        }
        self.batch.written = next;
        let call = store::Call::Write {
            key: self.log.head_key(),
            expected: self.log.version,
            body: sync::Arc::from(body),
        };
        self.call(Phase::Writing, call, out);
    }

    fn commit(&mut self, now: time::Time, version: store::Version, out: &mut Vec<output::Output>) {
        self.phase = Phase::Idle;
        let batch = mem::take(&mut self.batch);
        self.log.set_head(version, batch.written);
        batch.ends.iter().for_each(|r| recorded(out, r));
        for waiting in batch.claims {
            self.grant(now, waiting, out);
        }
    }

    /// Grants a written claim, or releases it if it was denied or passed its deadline meanwhile.
    fn grant(
        &mut self,
        now: time::Time,
        waiting: pending_claim::PendingClaim,
        out: &mut Vec<output::Output>,
    ) {
        let request = waiting.claim.request;
        let operation = waiting.operation;
        if !waiting.is_denied && now < waiting.claim.deadline {
            return out.push(output::Output::Granted { request, operation });
        }
        if !waiting.is_denied {
            let retry_at = now.after(ledger::OUTAGE_RETRY_DELAY);
            deny(out, request, output::Reason::Unavailable { retry_at });
        }
        self.pending_ends.push(waiting.release_record(now));
    }

    fn batch_ends(&mut self, next: &mut segment::Segment) {
        let mut bytes = 0;
        let mut rest = Vec::new();
        for record in mem::take(&mut self.pending_ends) {
            if !self.log.is_claimed_by(&record.key, record.operation) {
                continue;
            }
            if bytes > MAX_END_BYTES {
                rest.push(record);
                continue;
            }
            bytes += size(&record);
            next.records.push(record.clone());
            self.batch.ends.push(record);
        }
        self.pending_ends = rest;
    }

    fn handle_write(
        &mut self,
        now: time::Time,
        reply: store::Reply,
        out: &mut Vec<output::Output>,
    ) {
        match reply {
            store::Reply::Written(version) => self.commit(now, version, out),
            store::Reply::Conflict | store::Reply::Failed(verdict::Verdict::MayHaveRun) => {
                self.list(out);
            }
            _ => {
                self.phase = Phase::Idle;
                self.retry_at = now.after(RETRY_DELAY);
                self.deny_batch(now, false, out);
            }
        }
    }

    fn fail(&mut self, now: time::Time, out: &mut Vec<output::Output>) {
        self.phase = Phase::Unread;
        self.retry_at = now.after(RETRY_DELAY);
        self.deny_batch(now, true, out);
    }

    /// Denies every waiting claim at once; a claim that may be in the log is released later.
    fn deny_batch(&mut self, now: time::Time, may_be_written: bool, out: &mut Vec<output::Output>) {
        let retry_at = now.after(ledger::OUTAGE_RETRY_DELAY);
        let batch = mem::take(&mut self.batch);
        self.pending_ends.splice(0..0, batch.ends);
        for waiting in batch.claims {
            if may_be_written {
                self.pending_ends.push(waiting.release_record(now));
            }
            if !waiting.is_denied {
                deny(
                    out,
                    waiting.claim.request,
                    output::Reason::Unavailable { retry_at },
                );
            }
        }
        for waiting in mem::take(&mut self.waiting) {
            deny(
                out,
                waiting.claim.request,
                output::Reason::Unavailable { retry_at },
            );
        }
    }
}

fn deny(out: &mut Vec<output::Output>, request: u64, reason: output::Reason) {
    out.push(output::Output::Denied { request, reason });
}

fn recorded(out: &mut Vec<output::Output>, record: &record::Record) {
    out.push(output::Output::Recorded {
        operation: record.operation,
    });
}

fn size(record: &record::Record) -> usize {
    match &record.step {
        record::Step::Ended(response) => response.body.as_ref().map_or(0, String::len),
        _ => record.key.len(),
    }
}
