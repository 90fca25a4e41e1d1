//! One partition of the ledger: a log that is appended to by conditional update.

use std::collections;
use std::mem;
use std::sync;
use std::time;

use crate::ledger::{self, claim, kept, output, record, segment};
use crate::name;
use crate::store;
use crate::time::Time;
use crate::verdict;

/// How long a claim may wait to be written.
const CLAIM_WAIT: time::Duration = time::Duration::from_secs(2);

/// Wait after a log that could not be read.
const RETRY_WAIT: time::Duration = time::Duration::from_millis(200);

/// Bytes of ends that go into one write.
const MAX_BATCH_BYTES: usize = 256 << 10;

/// A partition as this entry knows it.
#[derive(Debug)]
pub struct Partition {
    id: u64,
    phase: Phase,
    head: u64,
    listed: u64,
    version: Option<store::Version>,
    segment: segment::Segment,
    sealed: Vec<Sealed>,
    latest: collections::HashMap<name::Name, record::Record>,
    waiting: Vec<Waiting>,
    closing: Vec<record::Record>,
    batch: Batch,
    retry_at: Time,
}

/// What the partition waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The log is not known.
    Cold,
    /// A list call is under way.
    Listing,
    /// A read call for the head is under way.
    Reading,
    /// The log is known and no call is under way.
    Idle,
    /// A write call for the head is under way.
    Writing,
    /// A delete call for the oldest segment is under way.
    Deleting,
}

#[derive(Debug)]
struct Sealed {
    index: u64,
    version: store::Version,
    expiry: Time,
}

#[derive(Debug)]
struct Waiting {
    claim: claim::Claim,
    operation: record::Operation,
    limit: Time,
    fresh: bool,
    denied: bool,
}

#[derive(Debug, Default)]
struct Batch {
    claims: Vec<Waiting>,
    ends: Vec<record::Record>,
    written: segment::Segment,
}

/// What the known log says of a claim.
enum Finding {
    Free,
    Stale,
    Known(kept::Kept),
    Denied(output::Reason),
}

impl Partition {
    /// Returns a partition of which nothing is known yet.
    pub fn new(id: u64) -> Self {
        Self {
            id,
            phase: Phase::Cold,
            head: 0,
            listed: 0,
            version: None,
            segment: segment::Segment::default(),
            sealed: Vec::new(),
            latest: collections::HashMap::new(),
            waiting: Vec::new(),
            closing: Vec::new(),
            batch: Batch::default(),
            retry_at: Time::default(),
        }
    }

    /// Takes in a claim.
    pub fn claim(
        &mut self,
        now: Time,
        claim: claim::Claim,
        operation: record::Operation,
        out: &mut Vec<output::Output>,
    ) {
        if self.waiting.len() >= ledger::MAX_WAITING {
            let retry_at = now.after(ledger::BUSY_WAIT);
            return deny(out, claim.request, output::Reason::Crowded { retry_at });
        }
        let limit = claim.deadline.min(now.after(CLAIM_WAIT));
        self.waiting.push(Waiting {
            claim,
            operation,
            limit,
            fresh: false,
            denied: false,
        });
    }

    /// Takes in the end of a claim.
    pub fn close(&mut self, record: record::Record) {
        self.closing.push(record);
    }

    /// Takes in the reply to this partition's only call under way.
    pub fn reply(&mut self, now: Time, reply: store::Reply, out: &mut Vec<output::Output>) {
        match mem::replace(&mut self.phase, Phase::Cold) {
            Phase::Listing => self.listed(now, reply, out),
            Phase::Reading => self.read(now, reply, out),
            Phase::Writing => self.written(now, reply, out),
            Phase::Deleting => self.deleted(),
            other => self.phase = other,
        }
    }

    /// Denies claims that waited too long.
    pub fn tick(&mut self, now: Time, out: &mut Vec<output::Output>) {
        let retry_at = now.after(ledger::OUTAGE_WAIT);
        for late in self
            .batch
            .claims
            .iter_mut()
            .filter(|w| !w.denied && w.limit <= now)
        {
            late.denied = true;
            deny(
                out,
                late.claim.request,
                output::Reason::Unrecorded { retry_at },
            );
        }
        self.waiting.retain(|w| {
            let late = w.limit <= now;
            if late {
                deny(
                    out,
                    w.claim.request,
                    output::Reason::Unrecorded { retry_at },
                );
            }
            !late
        });
    }

    /// Returns when [`Partition::tick`] denies the next claim.
    pub fn deny_at(&self) -> Option<Time> {
        let written = self.batch.claims.iter().filter(|w| !w.denied);
        self.waiting.iter().chain(written).map(|w| w.limit).min()
    }

    /// Returns from when on the next call may be made, if there is one to make.
    pub fn call_at(&self) -> Option<Time> {
        self.has_work().then_some(self.retry_at)
    }

    /// Tells whether a call should be made as soon as the store may be called.
    pub fn is_due(&self, now: Time) -> bool {
        self.has_work() && now >= self.retry_at
    }

    fn has_work(&self) -> bool {
        matches!(self.phase, Phase::Cold | Phase::Idle)
            && !(self.closing.is_empty() && self.waiting.is_empty())
    }

    /// Makes the next call.
    pub fn advance(&mut self, now: Time, out: &mut Vec<output::Output>) {
        if self.phase == Phase::Cold {
            return self.list(out);
        }
        self.write(now, out);
    }

    fn call(&mut self, phase: Phase, call: store::Call, out: &mut Vec<output::Output>) {
        self.phase = phase;
        out.push(output::Output::Call {
            partition: self.id,
            call,
        });
    }

    fn list(&mut self, out: &mut Vec<output::Output>) {
        let prefix = segment::prefix(self.id);
        self.call(Phase::Listing, store::Call::List { prefix }, out);
    }

    fn listed(&mut self, now: Time, reply: store::Reply, out: &mut Vec<output::Output>) {
        let store::Reply::Listed { objects, .. } = reply else {
            return self.fail(now, out);
        };
        let mut indices: Vec<u64> = objects
            .iter()
            .filter_map(|o| segment::index(&o.key))
            .collect();
        indices.sort_unstable();
        self.listed = indices.last().copied().unwrap_or(0);
        if !indices.contains(&self.head) || self.version.is_none() {
            self.restart(indices.first().copied().unwrap_or(0));
        }
        self.read_head(out);
    }

    fn restart(&mut self, first: u64) {
        self.head = first;
        self.version = None;
        self.segment = segment::Segment::default();
        self.sealed.clear();
        self.latest.clear();
    }

    fn read_head(&mut self, out: &mut Vec<output::Output>) {
        let key = segment::key(self.id, self.head);
        self.call(Phase::Reading, store::Call::Read { key }, out);
    }

    fn read(&mut self, now: Time, reply: store::Reply, out: &mut Vec<output::Output>) {
        match reply {
            store::Reply::Found(object) => self.adopt(now, &object, out),
            store::Reply::Missing if self.head < self.listed => {
                self.step_head();
                self.read_head(out);
            }
            store::Reply::Missing => {
                self.version = None;
                self.segment = segment::Segment::default();
                self.reloaded(now, out);
            }
            _ => self.fail(now, out),
        }
    }

    fn adopt(&mut self, now: Time, object: &store::Object, out: &mut Vec<output::Output>) {
        let Ok(found) = segment::Segment::decode(&object.body) else {
            return self.fail(now, out);
        };
        self.version = Some(object.version);
        self.install(found);
        if self.segment.sealed {
            self.seal(object.version);
            return self.read_head(out);
        }
        self.reloaded(now, out);
    }

    fn install(&mut self, found: segment::Segment) {
        for record in &found.records {
            self.latest.insert(record.key.clone(), record.clone());
        }
        self.segment = found;
    }

    fn seal(&mut self, version: store::Version) {
        let expiry = self
            .segment
            .records
            .iter()
            .map(|r| r.expiry)
            .max()
            .unwrap_or_default();
        self.sealed.push(Sealed {
            index: self.head,
            version,
            expiry,
        });
        self.step_head();
    }

    fn step_head(&mut self) {
        self.head += 1;
        self.version = None;
        self.segment = segment::Segment::default();
    }

    /// Settles the write whose end was unclear by what the log now says.
    fn reloaded(&mut self, now: Time, out: &mut Vec<output::Output>) {
        self.phase = Phase::Idle;
        let batch = mem::take(&mut self.batch);
        let (ended, open): (Vec<_>, Vec<_>) = batch
            .ends
            .into_iter()
            .partition(|r| self.latest.get(&r.key) == Some(r));
        ended.iter().for_each(|r| recorded(out, r));
        self.closing.splice(0..0, open);
        for claim in batch.claims {
            self.settle(now, claim, out);
        }
        self.waiting.iter_mut().for_each(|w| w.fresh = true);
    }

    fn settle(&mut self, now: Time, waiting: Waiting, out: &mut Vec<output::Output>) {
        let found = self.latest.get(&waiting.claim.key);
        let own = found.is_some_and(|r| r.operation == waiting.operation);
        if own {
            return self.grant(now, waiting, out);
        }
        if !waiting.denied {
            self.waiting.push(waiting);
        }
    }

    /// Grants a written claim, or gives it back if its request was answered meanwhile.
    fn grant(&mut self, now: Time, waiting: Waiting, out: &mut Vec<output::Output>) {
        let request = waiting.claim.request;
        let operation = waiting.operation;
        if !waiting.denied && now < waiting.claim.deadline {
            return out.push(output::Output::Granted { request, operation });
        }
        if !waiting.denied {
            let retry_at = now.after(ledger::OUTAGE_WAIT);
            deny(out, request, output::Reason::Unrecorded { retry_at });
        }
        self.closing.push(release(now, &waiting));
    }

    fn write(&mut self, now: Time, out: &mut Vec<output::Output>) {
        self.purge(now);
        let mut next = self.segment.clone();
        let mut kept = Vec::new();
        let mut stale = false;
        for waiting in mem::take(&mut self.waiting) {
            match self.judge(now, &waiting, &next) {
                Finding::Free => {
                    next.records.push(claimed(now, &waiting));
                    self.batch.claims.push(waiting);
                }
                Finding::Stale => {
                    stale = true;
                    kept.push(waiting);
                }
                Finding::Known(answer) => {
                    let request = waiting.claim.request;
                    out.push(output::Output::Answered {
                        request,
                        kept: answer,
                    });
                }
                Finding::Denied(reason) => deny(out, waiting.claim.request, reason),
            }
        }
        self.waiting = kept;
        self.take_ends(&mut next);
        if self.batch.claims.is_empty() && self.batch.ends.is_empty() {
            return self.rest(now, stale, out);
        }
        self.send(next, out);
    }

    fn rest(&mut self, now: Time, stale: bool, out: &mut Vec<output::Output>) {
        if stale {
            return self.list(out);
        }
        self.collect(now, out);
    }

    /// Deletes the oldest sealed segment once nothing in it can matter.
    ///
    /// One sealed segment always stays, so that a reader of an idle partition finds its place.
    fn collect(&mut self, now: Time, out: &mut Vec<output::Output>) {
        let [oldest, _, ..] = self.sealed.as_slice() else {
            return;
        };
        if oldest.expiry.after(ledger::RETENTION) > now {
            return;
        }
        let key = segment::key(self.id, oldest.index);
        let expected = oldest.version;
        self.call(Phase::Deleting, store::Call::Delete { key, expected }, out);
    }

    fn deleted(&mut self) {
        self.phase = Phase::Idle;
        if !self.sealed.is_empty() {
            self.sealed.remove(0);
        }
    }

    fn send(&mut self, mut next: segment::Segment, out: &mut Vec<output::Output>) {
        let mut body = next.encode();
        if body.len() > ledger::SEAL_BYTES {
            next.sealed = true;
            body = next.encode();
        }
        self.batch.written = next;
        let call = store::Call::Write {
            key: segment::key(self.id, self.head),
            expected: self.version,
            body: sync::Arc::from(body),
        };
        self.call(Phase::Writing, call, out);
    }

    fn take_ends(&mut self, next: &mut segment::Segment) {
        let mut bytes = 0;
        let mut rest = Vec::new();
        for record in mem::take(&mut self.closing) {
            if !self.matters(&record) {
                continue;
            }
            if bytes > MAX_BATCH_BYTES {
                rest.push(record);
                continue;
            }
            bytes += size(&record);
            next.records.push(record.clone());
            self.batch.ends.push(record);
        }
        self.closing = rest;
    }

    /// Tells whether an end still has its claim in the log.
    fn matters(&self, record: &record::Record) -> bool {
        self.latest
            .get(&record.key)
            .is_some_and(|r| r.operation == record.operation)
    }

    fn written(&mut self, now: Time, reply: store::Reply, out: &mut Vec<output::Output>) {
        match reply {
            store::Reply::Written(version) => self.commit(now, version, out),
            store::Reply::Conflict | store::Reply::Failed(verdict::Verdict::MayHaveRun) => {
                self.list(out);
            }
            _ => {
                self.phase = Phase::Idle;
                self.retry_at = now.after(RETRY_WAIT);
                self.refuse_batch(now, false, out);
            }
        }
    }

    fn commit(&mut self, now: Time, version: store::Version, out: &mut Vec<output::Output>) {
        self.phase = Phase::Idle;
        let batch = mem::take(&mut self.batch);
        self.version = Some(version);
        self.install(batch.written);
        if self.segment.sealed {
            self.seal(version);
        }
        batch.ends.iter().for_each(|r| recorded(out, r));
        for waiting in batch.claims {
            self.grant(now, waiting, out);
        }
    }

    fn fail(&mut self, now: Time, out: &mut Vec<output::Output>) {
        self.phase = Phase::Cold;
        self.retry_at = now.after(RETRY_WAIT);
        self.refuse_batch(now, true, out);
    }

    /// Answers every waiting claim at once; a claim that may stand in the log is given back later.
    fn refuse_batch(&mut self, now: Time, unclear: bool, out: &mut Vec<output::Output>) {
        let retry_at = now.after(ledger::OUTAGE_WAIT);
        let batch = mem::take(&mut self.batch);
        self.closing.splice(0..0, batch.ends);
        for waiting in batch.claims {
            if unclear {
                self.closing.push(release(now, &waiting));
            }
            if !waiting.denied {
                deny(
                    out,
                    waiting.claim.request,
                    output::Reason::Unrecorded { retry_at },
                );
            }
        }
        for waiting in mem::take(&mut self.waiting) {
            deny(
                out,
                waiting.claim.request,
                output::Reason::Unrecorded { retry_at },
            );
        }
    }

    /// A lookup is answered from the log as it stands now, and claims nothing.
    fn judge(&self, now: Time, waiting: &Waiting, next: &segment::Segment) -> Finding {
        match self.find(now, waiting, next) {
            Finding::Free if waiting.claim.lookup && waiting.fresh => {
                Finding::Denied(output::Reason::Absent)
            }
            Finding::Free if waiting.claim.lookup => Finding::Stale,
            finding => finding,
        }
    }

    fn find(&self, now: Time, waiting: &Waiting, next: &segment::Segment) -> Finding {
        let claim = &waiting.claim;
        let added = &next.records[self.segment.records.len()..];
        if added.iter().any(|r| r.key == claim.key) {
            let retry_at = now.after(ledger::BUSY_WAIT);
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
            record::Step::Ended(kept) => Finding::Known(kept.clone()),
            record::Step::Unclear => finding_of_unclear(claim),
            record::Step::Claimed { .. } if !waiting.fresh && !self.runs_here(found, waiting) => {
                Finding::Stale
            }
            record::Step::Claimed { deadline } if now < *deadline => {
                let retry_at = now.after(ledger::BUSY_WAIT).min(*deadline);
                Finding::Denied(output::Reason::Busy { retry_at })
            }
            record::Step::Claimed { .. } => finding_of_unclear(claim),
        }
    }

    fn runs_here(&self, found: &record::Record, waiting: &Waiting) -> bool {
        found.operation.writer == waiting.operation.writer
    }

    fn purge(&mut self, now: Time) {
        self.latest.retain(|_, r| r.expiry > now);
    }
}

fn finding_of_unclear(claim: &claim::Claim) -> Finding {
    if claim.repeatable {
        return Finding::Free;
    }
    Finding::Denied(output::Reason::Unclear)
}

fn deny(out: &mut Vec<output::Output>, request: u64, reason: output::Reason) {
    out.push(output::Output::Denied { request, reason });
}

fn recorded(out: &mut Vec<output::Output>, record: &record::Record) {
    out.push(output::Output::Recorded {
        operation: record.operation,
    });
}

fn claimed(now: Time, waiting: &Waiting) -> record::Record {
    record_of(
        now,
        waiting,
        record::Step::Claimed {
            deadline: waiting.claim.deadline,
        },
    )
}

fn release(now: Time, waiting: &Waiting) -> record::Record {
    record_of(now, waiting, record::Step::Released)
}

fn record_of(now: Time, waiting: &Waiting, step: record::Step) -> record::Record {
    record::Record {
        key: waiting.claim.key.clone(),
        fingerprint: waiting.claim.fingerprint,
        operation: waiting.operation,
        step,
        expiry: now.after(ledger::RETENTION),
    }
}

fn size(record: &record::Record) -> usize {
    match &record.step {
        record::Step::Ended(kept) => kept.body.as_ref().map_or(0, String::len),
        _ => record.key.len(),
    }
}
