//! The rollouts of the services that a controller leases.

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

/// How often the evidence is judged.
const INTERVAL: Duration = Duration::from_millis(500);
/// Reports that wait for the next judgement; further ones are left out.
const MAX_REPORTS: usize = 8_192;
/// Halts that are kept.
const MAX_HALTS: usize = 1_024;
/// Time before the stored rollouts are read after another write came first.
const CONFLICT_WAIT: Duration = Duration::from_millis(200);
/// Writes with an unknown end that are kept.
const MAX_DOUBTS: usize = 16;

/// The rollouts of the services that a controller leases.
#[derive(Clone, Debug)]
pub struct Rollouts {
    writer: u64,
    number: u64,
    stored: Option<Stored>,
    trials: collections::BTreeMap<name::Name, Trial>,
    halted: collections::BTreeSet<fact::Fact>,
    reports: Vec<peering::Report>,
    call: Option<Pending>,
    doubts: Vec<Write>,
    judged: time::Time,
    next: time::Time,
}

/// What a decision yields.
#[derive(Clone, Debug, Default)]
pub struct Decision {
    /// Halts to be stated at once.
    pub halts: Vec<fact::Fact>,
    /// The call that is due.
    pub call: Option<store::Call>,
}

#[derive(Clone, Debug)]
struct Stored {
    version: Option<store::Version>,
    book: rollout::Book,
}

#[derive(Clone, Debug)]
struct Trial {
    status: rollout::Status,
    evidence: rollout::Evidence,
}

#[derive(Clone, Debug)]
enum Pending {
    Read,
    Write(Write),
}

#[derive(Clone, Debug)]
struct Write {
    book: rollout::Book,
    changed: Vec<rollout::Status>,
}

impl Rollouts {
    /// Builds the view of a process with a unique number.
    pub fn new(writer: u64) -> Self {
        Self {
            writer,
            number: 0,
            stored: None,
            trials: collections::BTreeMap::new(),
            halted: collections::BTreeSet::new(),
            reports: Vec::new(),
            call: None,
            doubts: Vec::new(),
            judged: time::Time::default(),
            next: time::Time::default(),
        }
    }

    /// Takes over the stored rollouts if they are newer; returns the own steps found in them.
    pub fn adopt(
        &mut self,
        version: Option<store::Version>,
        book: rollout::Book,
    ) -> Vec<rollout::Status> {
        let known = self.stored.as_ref().and_then(|stored| stored.version);
        if known.is_some() && version <= known {
            return Vec::new();
        }
        self.stored = Some(Stored { version, book });
        self.settle_doubts()
    }

    /// Takes a fact; only halts matter.
    pub fn apply_fact(&mut self, fact: &fact::Fact) {
        if matches!(fact, fact::Fact::Halted { .. }) && self.halted.len() < MAX_HALTS {
            self.halted.insert(fact.clone());
        }
    }

    /// Takes the sums of entries.
    pub fn add_reports(&mut self, reports: Vec<peering::Report>) {
        let room = MAX_REPORTS - self.reports.len();
        self.reports.extend(reports.into_iter().take(room));
    }

    /// Decides about the services that are leased.
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
            decision.call = self.look(now);
            return decision;
        };
        let mut book = stored.book.clone();
        book.statuses.retain(|service, _| {
            !is_leased(service) || declared.iter().any(|r| r.service == *service)
        });
        self.follow(now, generation, &declared);
        self.judge(now);
        for trial in self.trials.values() {
            let status = &trial.status;
            let is_halted = self.halted.iter().any(|fact| status.is_halted_by(fact));
            let next = match rollout::advance(now, status, &trial.evidence, is_halted) {
                rollout::Advance::Stay => status.clone(),
                rollout::Advance::Step(next) => next,
                rollout::Advance::Halt(next) => {
                    decision.halts.push(next.halt());
                    next
                }
            };
            book.statuses.insert(next.service.clone(), next);
        }
        self.halted.extend(decision.halts.iter().cloned());
        decision.call = self.write(now, book);
        decision
    }

    /// Takes the reply to the last call; returns the own steps that are stored now.
    pub fn handle_reply(&mut self, now: time::Time, reply: &store::Reply) -> Vec<rollout::Status> {
        match self.call.take() {
            None => Vec::new(),
            Some(Pending::Read) => self.read(now, reply),
            Some(Pending::Write(write)) => self.written(now, write, reply),
        }
    }

    /// Brings the trials in line with what is declared, leased and stored.
    fn follow(&mut self, now: time::Time, generation: u64, declared: &[&declaration::Rollout]) {
        let mut old = mem::take(&mut self.trials);
        let stored = self.stored.as_ref().map(|stored| &stored.book.statuses);
        for declared in declared {
            let kept = stored.and_then(|statuses| statuses.get(&declared.service));
            let known = old.remove(&declared.service);
            let status = kept
                .filter(|status| status.is_of(declared))
                .cloned()
                .or_else(|| {
                    known
                        .as_ref()
                        .map(|t| t.status.clone())
                        .filter(|s| s.is_of(declared))
                })
                .unwrap_or_else(|| rollout::start(now, declared, generation));
            let trial = match known {
                Some(known) if known.status.generation == status.generation => known.moved(status),
                _ => Trial::new(status),
            };
            self.trials.insert(declared.service.clone(), trial);
        }
    }

    fn judge(&mut self, now: time::Time) {
        if now < self.judged {
            return;
        }
        self.judged = now.after(INTERVAL);
        let reports = mem::take(&mut self.reports);
        for trial in self.trials.values_mut() {
            trial.evidence.add(now, reports.iter());
        }
    }

    fn look(&mut self, now: time::Time) -> Option<store::Call> {
        if self.call.is_some() || now < self.next {
            return None;
        }
        self.call = Some(Pending::Read);
        Some(store::Call::Read {
            key: name::Name::from(rollout::KEY),
        })
    }

    /// Writes the book if it differs from the stored one.
    fn write(&mut self, now: time::Time, mut book: rollout::Book) -> Option<store::Call> {
        let stored = self.stored.as_ref()?;
        if self.call.is_some() || now < self.next || book == stored.book {
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
        self.call = Some(Pending::Write(Write { book, changed }));
        Some(call)
    }

    fn written(
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
                self.next = now.after(super::RETRY);
                Vec::new()
            }
            store::Reply::Conflict => {
                self.next = now.after(CONFLICT_WAIT);
                self.stored = None;
                Vec::new()
            }
            _ => {
                if self.doubts.len() < MAX_DOUBTS {
                    self.doubts.push(write);
                }
                self.stored = None;
                Vec::new()
            }
        }
    }

    fn read(&mut self, now: time::Time, reply: &store::Reply) -> Vec<rollout::Status> {
        let found = match reply {
            store::Reply::Found(object) => rollout::Book::decode(&object.body)
                .ok()
                .map(|book| (Some(object.version), book)),
            store::Reply::Missing => Some((None, rollout::Book::default())),
            _ => None,
        };
        match found {
            Some((version, book)) => self.adopt(version, book),
            None => {
                self.next = now.after(super::RETRY);
                Vec::new()
            }
        }
    }

    /// Returns the steps of unclear writes that turn out to be stored.
    fn settle_doubts(&mut self) -> Vec<rollout::Status> {
        let Some(stored) = &self.stored else {
            return Vec::new();
        };
        let is_stored = |status: &rollout::Status| {
            let now = stored.book.statuses.get(&status.service);
            now.is_some_and(|now| now.operation == status.operation)
        };
        let found = self
            .doubts
            .extract_if(.., |write| write.changed.iter().any(is_stored));
        found.flat_map(|write| write.changed).collect()
    }
}

impl Trial {
    fn new(status: rollout::Status) -> Self {
        let evidence = rollout::Evidence::new(&status);
        Self { status, evidence }
    }

    /// Takes over a newer status of the same rollout.
    fn moved(mut self, status: rollout::Status) -> Self {
        if self.status.share != status.share {
            self.evidence.begin_step();
        }
        self.status = status;
        self
    }
}
