//! Rollouts of the services whose leases a controller holds.

use std::collections;
use std::mem;
use std::sync;
use std::time::Duration;

use crate::declaration;
use crate::fact;
use crate::name;
use crate::peering;
use crate::rollout;
use crate::store;
use crate::time;
use crate::verdict;

/// Time between two evaluations of the reports.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(500);
/// Largest number of reports that wait for the next evaluation; further ones are dropped.
const MAX_REPORTS: usize = 8_192;
/// Largest number of halts that are stored.
const MAX_HALTS: usize = 1_024;
/// Delay before the stored rollouts are read again after a write conflict.
const CONFLICT_DELAY: Duration = Duration::from_millis(200);
/// Largest number of stored writes with an unknown outcome.
const MAX_UNCERTAIN_WRITES: usize = 16;

/// Rollouts of the services whose leases a controller holds.
#[derive(Clone, Debug)]
pub struct Rollouts {
    writer: u64,
    number: u64,
    stored: Option<Stored>,
    tracked: collections::BTreeMap<name::Name, Tracked>,
    halted: collections::BTreeSet<fact::Fact>,
    reports: Vec<peering::Report>,
    call: Option<PendingCall>,
    uncertain: Vec<Write>,
    evaluate_at: time::Time,
    next_call_at: time::Time,
}

/// Result of a decision.
#[derive(Clone, Debug, Default)]
pub struct Decision {
    /// Halts to be published at once.
    pub halts: Vec<fact::Fact>,
    /// The store call that is due.
    pub call: Option<store::Call>,
}

#[derive(Clone, Debug)]
struct Stored {
    version: Option<store::Version>,
    book: rollout::Table,
}

#[derive(Clone, Debug)]
struct Tracked {
    status: rollout::Status,
    evidence: rollout::Evidence,
}

#[derive(Clone, Debug)]
enum PendingCall {
    Read,
    Write(Write),
}

#[derive(Clone, Debug)]
struct Write {
    book: rollout::Table,
    changed: Vec<rollout::Status>,
}

impl Rollouts {
    /// Creates the state of a process; `writer` is its unique number.
    pub fn new(writer: u64) -> Self {
        Self {
            writer,
            number: 0,
            stored: None,
            tracked: collections::BTreeMap::new(),
            halted: collections::BTreeSet::new(),
            reports: Vec::new(),
            call: None,
            uncertain: Vec::new(),
            evaluate_at: time::Time::default(),
            next_call_at: time::Time::default(),
        }
    }

    /// Adopts the stored rollouts if they are newer; returns the steps of uncertain writes of this
    /// process that are found in them.
    pub fn adopt(
        &mut self,
        version: Option<store::Version>,
        book: rollout::Table,
    ) -> Vec<rollout::Status> {
        let known = self.stored.as_ref().and_then(|stored| stored.version);
        if known.is_some() && version <= known {
            return Vec::new();
        }
        self.stored = Some(Stored { version, book });
        self.settle_uncertain()
    }

    /// Applies a fact; all but halts are ignored.
    pub fn apply_fact(&mut self, fact: &fact::Fact) {
        if matches!(fact, fact::Fact::Halted { .. }) && self.halted.len() < MAX_HALTS {
            self.halted.insert(fact.clone());
        }
    }

    /// Adds reports of entries.
    pub fn add_reports(&mut self, reports: Vec<peering::Report>) {
        let capacity = MAX_REPORTS - self.reports.len();
        self.reports.extend(reports.into_iter().take(capacity));
    }

    /// Decides about the rollouts of the services that are leased.
    pub fn decide(
        &mut self,
        now: time::Time,
        generation: u64,
        declaration: &declaration::Declaration,
        is_leased: impl Fn(&name::Name) -> bool,
    ) -> Decision {
        let mut decision = Decision::default();
        let leased = |rollout: &&declaration::Rollout| is_leased(&rollout.service);
        let declared: Vec<_> = declaration.rollouts.iter().filter(leased).collect();
        let Some(stored) = &self.stored else {
            decision.call = self.read_call(now);
            return decision;
        };
        let mut book = stored.book.clone();
        book.statuses.retain(|service, _| {
            !is_leased(service) || declared.iter().any(|r| r.service == *service)
        });
        self.update_tracked(now, generation, &declared);
        self.evaluate_reports(now);
        for rollout in self.tracked.values() {
            let status = &rollout.status;
            let is_halted = self.halted.iter().any(|fact| status.is_halted_by(fact));
            let next = match rollout::advance(now, status, &rollout.evidence, is_halted) {
                rollout::Advance::Stay => status.clone(),
                rollout::Advance::Step(next) => next,
                rollout::Advance::Halt(next) => {
                    decision.halts.push(next.halt_fact());
                    next
                }
            };
            book.statuses.insert(next.service.clone(), next);
        }
        self.halted.extend(decision.halts.iter().cloned());
        decision.call = self.write_call(now, book);
        decision
    }

    /// Handles the reply to the last call; returns the steps of this process that are now known to
    /// be stored.
    pub fn handle_reply(&mut self, now: time::Time, reply: &store::Reply) -> Vec<rollout::Status> {
        match self.call.take() {
            None => Vec::new(),
            Some(PendingCall::Read) => self.handle_read(now, reply),
            Some(PendingCall::Write(write)) => self.handle_write(now, write, reply),
        }
    }

    /// Updates the tracked rollouts to match what is declared, leased and stored.
    fn update_tracked(
        &mut self,
        now: time::Time,
        generation: u64,
        declared: &[&declaration::Rollout],
    ) {
        let mut previous = mem::take(&mut self.tracked);
        let stored = self.stored.as_ref().map(|stored| &stored.book.statuses);
        for declared in declared {
            let stored_status = stored.and_then(|statuses| statuses.get(&declared.service));
            let known = previous.remove(&declared.service);
            let status = stored_status
                .filter(|status| status.matches_declaration(declared))
                .cloned()
                .or_else(|| {
                    known
                        .as_ref()
                        .map(|t| t.status.clone())
                        .filter(|s| s.matches_declaration(declared))
                })
                .unwrap_or_else(|| rollout::start(now, declared, generation));
            let rollout = match known {
                Some(known) if known.status.generation == status.generation => {
                    known.with_status(status)
                }
                _ => Tracked::new(status),
            };
            self.tracked.insert(declared.service.clone(), rollout);
        }
    }

    fn evaluate_reports(&mut self, now: time::Time) {
        if now < self.evaluate_at {
            return;
        }
        self.evaluate_at = now.after(EVALUATION_INTERVAL);
        let reports = mem::take(&mut self.reports);
        for rollout in self.tracked.values_mut() {
            rollout.evidence.add(now, reports.iter());
        }
    }

    fn read_call(&mut self, now: time::Time) -> Option<store::Call> {
        if self.call.is_some() || now < self.next_call_at {
            return None;
        }
        self.call = Some(PendingCall::Read);
        Some(store::Call::Read {
            key: name::Name::from(rollout::KEY),
        })
    }

    /// Returns the call that writes the rollouts if they differ from the stored ones.
    fn write_call(&mut self, now: time::Time, mut book: rollout::Table) -> Option<store::Call> {
        let stored = self.stored.as_ref()?;
        if self.call.is_some() || now < self.next_call_at || book == stored.book {
            return None;
        }
        self.number += 1;
        let operation = name::Name::from(format!("{:016x}-{}", self.writer, self.number));
        let mut changed = Vec::new();
        for (service, status) in &mut book.statuses {
            if stored.book.statuses.get(service) != Some(status) {
                status.operation = operation.clone();
                changed.push(status.clone());
            }
        }
        let call = store::Call::Write {
            key: name::Name::from(rollout::KEY),
            expected: stored.version,
            body: sync::Arc::from(book.encode()),
        };
        self.call = Some(PendingCall::Write(Write { book, changed }));
        Some(call)
    }

    fn handle_write(
        &mut self,
        now: time::Time,
        write: Write,
        reply: &store::Reply,
    ) -> Vec<rollout::Status> {
        match reply {
            store::Reply::Written(version) => {
                let version = Some(*version);
                let book = write.book;
                self.stored = Some(Stored { version, book });
                write.changed
            }
            store::Reply::Failed(verdict::Verdict::NotRun) => {
                self.next_call_at = now.after(super::RETRY_DELAY);
                Vec::new()
            }
            store::Reply::Conflict => {
                self.next_call_at = now.after(CONFLICT_DELAY);
                self.stored = None;
                Vec::new()
            }
            _ => {
                if self.uncertain.len() < MAX_UNCERTAIN_WRITES {
                    self.uncertain.push(write);
                }
                self.stored = None;
                Vec::new()
            }
        }
    }

    fn handle_read(&mut self, now: time::Time, reply: &store::Reply) -> Vec<rollout::Status> {
        let found = match reply {
            store::Reply::Found(object) => rollout::Table::decode(&object.body)
                .ok()
                .map(|book| (Some(object.version), book)),
            store::Reply::Missing => Some((None, rollout::Table::default())),
            _ => None,
        };
        match found {
            Some((version, book)) => self.adopt(version, book),
            None => {
                self.next_call_at = now.after(super::RETRY_DELAY);
                Vec::new()
            }
        }
    }

    /// Returns the steps of uncertain writes that are found to be stored.
    fn settle_uncertain(&mut self) -> Vec<rollout::Status> {
        let Some(stored) = &self.stored else {
            return Vec::new();
        };
        let is_stored = |status: &rollout::Status| {
            let current = stored.book.statuses.get(&status.service);
            current.is_some_and(|current| current.operation == status.operation)
        };
        let found = self
            .uncertain
            .extract_if(.., |write| write.changed.iter().any(is_stored));
        found.flat_map(|write| write.changed).collect()
    }
}

impl Tracked {
    fn new(status: rollout::Status) -> Self {
        let evidence = rollout::Evidence::new(&status);
        Self { status, evidence }
    }

    /// Returns the rollout with a newer status.
    fn with_status(mut self, status: rollout::Status) -> Self {
        if self.status.share != status.share {
            self.evidence.begin_step();
        }
        self.status = status;
        self
    }
}
