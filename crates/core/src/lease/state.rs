//! State machine of one lease at one controller.

use std::sync;
use std::time::Duration;

use crate::lease::{self, output, record, timing};
use crate::name;
use crate::store;
use crate::time;
use crate::verdict;

/// State machine of one lease at one controller.
#[derive(Clone, Debug)]
pub struct Lease {
    timing: timing::Timing,
    shard: u64,
    owner: name::Name,
    writer: u64,
    number: u64,
    call: Option<PendingCall>,
    held: Option<Held>,
    observed: Option<Observed>,
    uncertain: Option<UncertainWrite>,
    /// Head start given to the candidates before this one.
    rank_delay: Duration,
    next_call_at: time::Time,
    /// Until when no lease is taken, however long it has been unchanged.
    blocked_until: time::Time,
    leaving: bool,
}

#[derive(Clone, Copy, Debug)]
enum PendingCall {
    Read,
    Write { sent: time::Time },
}

#[derive(Clone, Copy, Debug)]
struct Held {
    fencing_token: u64,
    version: store::Version,
    /// From when on orders may be sent to upstreams that don't check fencing tokens.
    grace_end: time::Time,
    /// When the term expires.
    expiry: time::Time,
    /// When the lease is to be renewed.
    renewal: time::Time,
}

#[derive(Clone, Copy, Debug)]
struct Observed {
    version: Option<store::Version>,
    /// When the object will have been unchanged for a full term.
    expiry: time::Time,
}

/// The first write whose outcome is unknown.
#[derive(Clone, Copy, Debug)]
struct UncertainWrite {
    number: u64,
    sent: time::Time,
}

impl Lease {
    /// Creates the lease of a shard for the controller of the entry `owner`; `process` is unique
    /// for each process of the owner.
    pub fn new(shard: u64, owner: name::Name, process: u64) -> Self {
        Self::with_timing(timing::Timing::default(), shard, owner, process)
    }

    /// Creates a lease with other durations than the defaults.
    pub fn with_timing(
        timing: timing::Timing,
        shard: u64,
        owner: name::Name,
        process: u64,
    ) -> Self {
        // Processes of two owners that start at the same time may have the same number.
        let writer = twox_hash::XxHash64::oneshot(process, owner.as_bytes());
        Self {
            timing,
            shard,
            owner,
            writer,
            number: 0,
            call: None,
            held: None,
            observed: None,
            uncertain: None,
            rank_delay: Duration::ZERO,
            next_call_at: time::Time::default(),
            blocked_until: time::Time::default(),
            leaving: false,
        }
    }

    /// Returns the fencing token for an order that is sent now, or `None` if none may be sent.
    ///
    /// If the upstream doesn't check fencing tokens, the order has to wait until the last orders
    /// of the previous holder have ended.
    pub fn fencing_token(&self, now: time::Time, checks_fencing: bool) -> Option<u64> {
        let held = self.held.as_ref()?;
        let is_safe = checks_fencing || now >= held.grace_end;
        let ends_in_term = now.after(self.timing.order_timeout) < held.expiry;
        (is_safe && ends_in_term).then_some(held.fencing_token)
    }

    /// Returns `true` if the lease is held and decisions may be made.
    pub fn is_active(&self, now: time::Time) -> bool {
        self.fencing_token(now, true).is_some()
    }

    /// Releases the lease and stops competing for it.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.next_call_at = time::Time::default();
    }

    /// Gives up what is known of the lease, since the store has returned from an older copy. The lease
    /// of before may still be held elsewhere, so it is taken only after a whole term from now on.
    pub fn restart(&mut self, now: time::Time) -> Vec<output::Output> {
        let mut outputs = Vec::new();
        self.lose(&mut outputs);
        self.uncertain = None;
        self.observed = None;
        self.blocked_until = now.after(self.timing.term);
        outputs
    }

    /// Returns what is due; `rank` is the position among the candidates, if it is one of them.
    pub fn tick(&mut self, now: time::Time, rank: Option<usize>) -> Vec<output::Output> {
        let mut outputs = Vec::new();
        if self.held.is_some_and(|held| now >= held.expiry) {
            self.lose(&mut outputs);
        }
        if self.call.is_some() || now < self.next_call_at {
            return outputs;
        }
        if let Some(call) = self.next_call(now, rank, &mut outputs) {
            outputs.push(output::Output::Call(call));
        }
        outputs
    }

    /// Handles the reply to the last call.
    pub fn handle_reply(&mut self, now: time::Time, reply: &store::Reply) -> Vec<output::Output> {
        let mut outputs = Vec::new();
        match self.call.take() {
            None => {}
            Some(PendingCall::Read) => self.handle_read(now, reply, &mut outputs),
            Some(PendingCall::Write { sent }) => self.handle_write(now, sent, reply, &mut outputs),
        }
        outputs
    }

    fn next_call(
        &mut self,
        now: time::Time,
        rank: Option<usize>,
        outputs: &mut Vec<output::Output>,
    ) -> Option<store::Call> {
        if self.leaving {
            let held = self.held?;
            self.lose(outputs);
            return Some(self.write_call(now, Some(held.version), None));
        }
        if let Some(held) = self.held {
            let owner = self.owner.clone();
            let is_due = now >= held.renewal;
            return is_due.then(|| self.write_call(now, Some(held.version), Some(owner)));
        }
        self.rank_delay = self.timing.rank_delay * u32::try_from(rank?).unwrap_or(u32::MAX);
        match self.observed {
            Some(observed) if now >= observed.expiry.after(self.rank_delay) => {
                let owner = self.owner.clone();
                Some(self.write_call(now, observed.version, Some(owner)))
            }
            _ => Some(self.read_call()),
        }
    }

    fn read_call(&mut self) -> store::Call {
        self.call = Some(PendingCall::Read);
        store::Call::Read {
            key: lease::key(self.shard),
        }
    }

    fn write_call(
        &mut self,
        now: time::Time,
        expected: Option<store::Version>,
        holder: Option<name::Name>,
    ) -> store::Call {
        self.number += 1;
        self.call = Some(PendingCall::Write { sent: now });
        let record = record::Record::new(holder, self.writer, self.number);
        store::Call::Write {
            key: lease::key(self.shard),
            expected,
            body: sync::Arc::from(record.encode()),
        }
    }

    fn handle_write(
        &mut self,
        now: time::Time,
        sent: time::Time,
        reply: &store::Reply,
        outputs: &mut Vec<output::Output>,
    ) {
        match reply {
            store::Reply::Written(_) if self.leaving && self.held.is_none() => {}
            store::Reply::Written(version) => {
                self.uncertain = None;
                self.extend(now, sent, *version, outputs);
            }
            store::Reply::Failed(verdict::Verdict::NotRun) => {
                self.next_call_at = now.after(self.timing.retry)
            }
            store::Reply::Conflict => self.next_call_at = now,
            _ => {
                let number = self.number;
                self.uncertain
                    .get_or_insert(UncertainWrite { number, sent });
                self.next_call_at = now;
            }
        }
        let is_clear = matches!(
            reply,
            store::Reply::Written(_) | store::Reply::Failed(verdict::Verdict::NotRun)
        );
        if !is_clear && !self.leaving {
            outputs.push(output::Output::Call(self.read_call()));
        }
    }

    fn handle_read(
        &mut self,
        now: time::Time,
        reply: &store::Reply,
        outputs: &mut Vec<output::Output>,
    ) {
        match reply {
            store::Reply::Found(object) => {
                let record = record::Record::decode(&object.body);
                self.observe(now, Some(object.version), record, outputs);
            }
            store::Reply::Missing => self.observe(now, None, None, outputs),
            _ => self.next_call_at = now.after(self.timing.retry),
        }
    }

    /// Updates the state with the stored object.
    fn observe(
        &mut self,
        now: time::Time,
        version: Option<store::Version>,
        record: Option<record::Record>,
        outputs: &mut Vec<output::Output>,
    ) {
        self.next_call_at = now.after(self.timing.renewal);
        if let Some(held) = self.held
            && version == Some(held.version)
        {
            // The uncertain write has not taken effect yet; the renewal is retried.
            self.next_call_at = now.after(self.timing.retry);
            return;
        }
        let own = record.as_ref().filter(|r| r.writer == self.writer);
        let is_own = own.is_some();
        if let (Some(own), Some(uncertain), Some(version)) = (own, self.uncertain, version)
            && own.number >= uncertain.number
            && now >= self.blocked_until
        {
            self.uncertain = None;
            self.extend(now, uncertain.sent, version, outputs);
            return;
        }
        self.lose(outputs);
        let is_free =
            version.is_none() || is_own || record.is_some_and(|record| record.holder.is_none());
        self.await_expiry(now, version, is_free);
    }

    fn await_expiry(&mut self, now: time::Time, version: Option<store::Version>, is_free: bool) {
        let expiry = match self.observed {
            _ if is_free => now.max(self.blocked_until),
            Some(observed) if observed.version == version => observed.expiry,
            _ => now.after(self.timing.term),
        };
        self.observed = Some(Observed { version, expiry });
        self.next_call_at = self
            .next_call_at
            .min(expiry.after(self.rank_delay).max(now));
    }

    fn extend(
        &mut self,
        now: time::Time,
        sent: time::Time,
        version: store::Version,
        outputs: &mut Vec<output::Output>,
    ) {
        let expiry = sent.after(self.timing.term);
        if now >= expiry {
            self.lose(outputs);
            self.await_expiry(now, Some(version), true);
            return;
        }
        let (fencing_token, grace_end) = match self.held {
            Some(held) => (held.fencing_token, held.grace_end),
            None => {
                outputs.push(output::Output::Acquired {
                    fencing_token: version,
                });
                (version, now.after(self.timing.grace))
            }
        };
        self.observed = None;
        self.held = Some(Held {
            fencing_token,
            version,
            grace_end,
            expiry,
            renewal: sent.after(self.timing.renewal),
        });
        self.next_call_at = now;
    }

    fn lose(&mut self, outputs: &mut Vec<output::Output>) {
        if self.held.take().is_some() {
            self.observed = None;
            outputs.push(output::Output::Lost);
        }
    }
}
