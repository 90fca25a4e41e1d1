//! One lease as one controller sees it.

use std::sync;
use std::time::Duration;

use crate::lease::{self, output, record, timing};
use crate::name;
use crate::store;
use crate::time;
use crate::verdict;

/// One lease as one controller sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    timing: timing::Timing,
    shard: u64,
    owner: name::Name,
    writer: u64,
    number: u64,
    call: Option<Pending>,
    held: Option<Held>,
    seen: Option<Seen>,
    doubt: Option<Doubt>,
    /// Time left to the candidates before this one.
    turn: Duration,
    next: time::Time,
    leaving: bool,
}

#[derive(Clone, Copy, Debug)]
enum Pending {
    Read,
    Write { sent: time::Time },
}

#[derive(Clone, Copy, Debug)]
struct Held {
    fence: u64,
    version: store::Version,
    /// When orders to upstreams that ignore fencing may begin.
    settled: time::Time,
    /// When the term is over.
    expiry: time::Time,
    /// When it is to be renewed.
    renewal: time::Time,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    version: Option<store::Version>,
    /// When the object will have been unchanged for a whole term.
    expiry: time::Time,
}

/// The first of the writes whose outcome is unknown.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    number: u64,
    sent: time::Time,
}

impl Lease {
    /// Builds the view of a controller beside an entry; `process` is unique for each process of
    /// the owner.
    pub fn new(shard: u64, owner: name::Name, process: u64) -> Self {
        Self::with_timing(timing::Timing::default(), shard, owner, process)
    }

    /// Builds the view of a controller on a lease with other times than the usual ones.
    pub fn with_timing(
        timing: timing::Timing,
        shard: u64,
        owner: name::Name,
        process: u64,
    ) -> Self {
        // Processes of two owners that start at the same moment may have the same number.
        let writer = twox_hash::XxHash64::oneshot(process, owner.as_bytes());
        Self {
            timing,
            shard,
            owner,
            writer,
            number: 0,
            call: None,
            held: None,
            seen: None,
            doubt: None,
            turn: Duration::ZERO,
            next: time::Time::default(),
            leaving: false,
        }
    }

    /// Returns the fencing number for an order that is sent now, or `None` if none may be sent.
    ///
    /// An order to an upstream that ignores fencing numbers has to wait until the former
    /// holder's last orders have ended.
    pub fn fencing_token(&self, now: time::Time, is_checked: bool) -> Option<u64> {
        let held = self.held.as_ref()?;
        let is_settled = is_checked || now >= held.settled;
        let ends_in_term = now.after(self.timing.order_timeout) < held.expiry;
        (is_settled && ends_in_term).then_some(held.fence)
    }

    /// Tells whether the lease is held and decisions may be made.
    pub fn is_active(&self, now: time::Time) -> bool {
        self.fencing_token(now, true).is_some()
    }

    /// Gives the lease back and competes no more.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.next = time::Time::default();
    }

    /// Returns what is due; `turn` is the place among the candidates, if it is one.
    pub fn tick(&mut self, now: time::Time, turn: Option<usize>) -> Vec<output::Output> {
        let mut outputs = Vec::new();
        if self.held.is_some_and(|held| now >= held.expiry) {
            self.lose(&mut outputs);
        }
        if self.call.is_some() || now < self.next {
            return outputs;
        }
        if let Some(call) = self.due(now, turn, &mut outputs) {
            outputs.push(output::Output::Call(call));
        }
        outputs
    }

    /// Takes the reply to the last call.
    pub fn handle_reply(&mut self, now: time::Time, reply: &store::Reply) -> Vec<output::Output> {
        let mut outputs = Vec::new();
        match self.call.take() {
            None => {}
            Some(Pending::Read) => self.read(now, reply, &mut outputs),
            Some(Pending::Write { sent }) => self.written(now, sent, reply, &mut outputs),
        }
        outputs
    }

    fn due(
        &mut self,
        now: time::Time,
        turn: Option<usize>,
        outputs: &mut Vec<output::Output>,
    ) -> Option<store::Call> {
        if self.leaving {
            let held = self.held?;
            self.lose(outputs);
            return Some(self.write(now, Some(held.version), None));
        }
        if let Some(held) = self.held {
            let owner = self.owner.clone();
            let is_due = now >= held.renewal;
            return is_due.then(|| self.write(now, Some(held.version), Some(owner)));
        }
        self.turn = self.timing.rank_delay * u32::try_from(turn?).unwrap_or(u32::MAX);
        match self.seen {
            Some(seen) if now >= seen.expiry.after(self.turn) => {
                let owner = self.owner.clone();
                Some(self.write(now, seen.version, Some(owner)))
            }
            _ => Some(self.look()),
        }
    }

    fn look(&mut self) -> store::Call {
        self.call = Some(Pending::Read);
        store::Call::Read {
            key: lease::key(self.shard),
        }
    }

    fn write(
        &mut self,
        now: time::Time,
        expected: Option<store::Version>,
        holder: Option<name::Name>,
    ) -> store::Call {
        self.number += 1;
        self.call = Some(Pending::Write { sent: now });
        let record = record::Record::new(holder, self.writer, self.number);
        store::Call::Write {
            key: lease::key(self.shard),
            expected,
            body: sync::Arc::from(record.encode()),
        }
    }

    fn written(
        &mut self,
        now: time::Time,
        sent: time::Time,
        reply: &store::Reply,
        outputs: &mut Vec<output::Output>,
    ) {
        match reply {
            store::Reply::Written(_) if self.leaving && self.held.is_none() => {}
            store::Reply::Written(version) => {
                self.doubt = None;
                self.hold(now, sent, *version, outputs);
            }
            store::Reply::Failed(verdict::Verdict::NotRun) => {
                self.next = now.after(self.timing.retry)
            }
            store::Reply::Conflict => self.next = now,
            _ => {
                let number = self.number;
                self.doubt.get_or_insert(Doubt { number, sent });
                self.next = now;
            }
        }
        let is_clear = matches!(
            reply,
            store::Reply::Written(_) | store::Reply::Failed(verdict::Verdict::NotRun)
        );
        if !is_clear && !self.leaving {
            outputs.push(output::Output::Call(self.look()));
        }
    }

    fn read(&mut self, now: time::Time, reply: &store::Reply, outputs: &mut Vec<output::Output>) {
        match reply {
            store::Reply::Found(object) => {
                let record = record::Record::decode(&object.body);
                self.see(now, Some(object.version), record, outputs);
            }
            store::Reply::Missing => self.see(now, None, None, outputs),
            _ => self.next = now.after(self.timing.retry),
        }
    }

    /// Takes in the stored object.
    fn see(
        &mut self,
        now: time::Time,
        version: Option<store::Version>,
        record: Option<record::Record>,
        outputs: &mut Vec<output::Output>,
    ) {
        self.next = now.after(self.timing.renewal);
        if let Some(held) = self.held
            && version == Some(held.version)
        {
            // The write in doubt has no effect yet; the renewal is tried again.
            self.next = now.after(self.timing.retry);
            return;
        }
        let own = record.as_ref().filter(|r| r.writer == self.writer);
        let is_own = own.is_some();
        if let (Some(own), Some(doubt), Some(version)) = (own, self.doubt, version)
            && own.number >= doubt.number
        {
            self.doubt = None;
            self.hold(now, doubt.sent, version, outputs);
            return;
        }
        self.lose(outputs);
        let is_free =
            version.is_none() || is_own || record.is_some_and(|record| record.holder.is_none());
        self.notice(now, version, is_free);
    }

    fn notice(&mut self, now: time::Time, version: Option<store::Version>, is_free: bool) {
        let expiry = match self.seen {
            _ if is_free => now,
            Some(seen) if seen.version == version => seen.expiry,
            _ => now.after(self.timing.term),
        };
        self.seen = Some(Seen { version, expiry });
        self.next = self.next.min(expiry.after(self.turn).max(now));
    }

    fn hold(
        &mut self,
        now: time::Time,
        sent: time::Time,
        version: store::Version,
        outputs: &mut Vec<output::Output>,
    ) {
        let expiry = sent.after(self.timing.term);
        if now >= expiry {
            self.lose(outputs);
            self.notice(now, Some(version), true);
            return;
        }
        let (fence, settled) = match self.held {
            Some(held) => (held.fence, held.settled),
            None => {
                outputs.push(output::Output::Acquired {
                    fencing_token: version,
                });
                (version, now.after(self.timing.grace))
            }
        };
        self.seen = None;
        self.held = Some(Held {
            fence,
            version,
            settled,
            expiry,
            renewal: sent.after(self.timing.renewal),
        });
        self.next = now;
    }

    fn lose(&mut self, outputs: &mut Vec<output::Output>) {
        if self.held.take().is_some() {
            self.seen = None;
            outputs.push(output::Output::Lost);
        }
    }
}
