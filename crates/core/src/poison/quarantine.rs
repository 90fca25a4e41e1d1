//! The quarantine at one entry.

use std::collections;
use std::time::Duration;

use super::{coordinators, effect, scheduler, suspects};
use crate::fact;
use crate::name;
use crate::time;

/// Requests that wait for an isolated run at one entry at most.
const MAX_WAITING: usize = 512;
/// Time between two requests for the same run.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered requests after which the next entry is asked.
const MAX_UNANSWERED: u32 = 3;
/// How long a request waits for an isolated run at most.
const MAX_WAIT: Duration = Duration::from_secs(120);

/// The quarantine at one entry.
///
/// ```
/// use guavausher_core::name;
/// use guavausher_core::poison;
/// use guavausher_core::time;
/// let mut quarantine = poison::Quarantine::new(name::Name::from("entry-1"));
/// let now = time::Time::from_millis(1);
/// assert_eq!(quarantine.admit(now, 7, 1).decision, poison::Decision::Allowed);
/// quarantine.upstream_crashed(now, 7, 1, &name::Name::from("engine-1"));
/// let later = time::Time::from_millis(1_000);
/// assert_eq!(quarantine.admit(later, 7, 2).decision, poison::Decision::Isolated);
/// quarantine.upstream_crashed(later, 7, 2, &name::Name::from("engine-2"));
/// assert_eq!(quarantine.admit(later, 7, 3).decision, poison::Decision::Blocked);
/// ```
#[derive(Debug)]
pub struct Quarantine {
    own: name::Name,
    coordinators: coordinators::Coordinators,
    suspects: suspects::Suspects,
    scheduler: scheduler::Scheduler,
    waiting: collections::BTreeMap<u64, Waiting>,
    running: collections::BTreeMap<u64, Running>,
}

#[derive(Clone, Debug)]
struct Waiting {
    fingerprint: u64,
    next_ask: time::Time,
    deadline: time::Time,
    rank: usize,
    unanswered: u32,
}

#[derive(Clone, Debug)]
struct Running {
    fingerprint: u64,
    coordinator: name::Name,
    exclusive_until: time::Time,
}

impl Quarantine {
    /// Builds an empty quarantine for an entry that knows no other entry.
    pub fn new(own: name::Name) -> Self {
        Self {
            coordinators: coordinators::Coordinators::new(own.clone()),
            own,
            suspects: suspects::Suspects::default(),
            scheduler: scheduler::Scheduler::default(),
            waiting: collections::BTreeMap::new(),
            running: collections::BTreeMap::new(),
        }
    }

    /// Sets the names of all entries; the first by hash that responds grants the runs.
    pub fn set_members<'a>(&mut self, entries: impl IntoIterator<Item = &'a name::Name>) {
        if !self.coordinators.set(entries) {
            return;
        }
        for waiting in self.waiting.values_mut() {
            waiting.rank = 0;
            waiting.unanswered = 0;
        }
    }

    /// Returns `true` if a request is not known to crash upstreams.
    pub fn is_clear(&self, fingerprint: u64) -> bool {
        matches!(self.suspects.status(fingerprint), suspects::Status::Clear)
    }

    /// Decides whether a request may be dispatched; called before each dispatch.
    pub fn admit(&mut self, now: time::Time, fingerprint: u64, request: u64) -> effect::Admission {
        self.suspects.expire(now);
        let mut effects = Vec::new();
        let decision = match self.suspects.status(fingerprint) {
            suspects::Status::Clear => effect::Decision::Allowed,
            suspects::Status::Blocked => effect::Decision::Blocked,
            _ if self.has_exclusive_run(now, request) => effect::Decision::Isolated,
            _ if self.waiting.len() >= MAX_WAITING => effect::Decision::Full,
            _ => {
                if self.running.contains_key(&request) {
                    effects.extend(self.end_request(request, effect::Outcome::Released));
                }
                let waiting = Waiting {
                    fingerprint,
                    next_ask: self.suspects.known_at(fingerprint).max(now),
                    deadline: now.after(MAX_WAIT),
                    rank: 0,
                    unanswered: 0,
                };
                self.waiting.insert(request, waiting);
                effects.extend(self.tick(now));
                let start = effect::Effect::StartIsolated(request);
                match effects.iter().position(|effect| *effect == start) {
                    Some(index) => {
                        effects.remove(index);
                        effect::Decision::Isolated
                    }
                    None => effect::Decision::Wait,
                }
            }
        };
        effect::Admission { decision, effects }
    }

    /// Handles the crash of an upstream while it ran a request, which ends its run.
    pub fn upstream_crashed(
        &mut self,
        now: time::Time,
        fingerprint: u64,
        request: u64,
        upstream: &name::Name,
    ) -> Vec<effect::Effect> {
        let running = self.running.get(&request);
        let is_exclusive = running.is_some_and(|running| running.exclusive_until > now);
        let facts = self
            .suspects
            .upstream_crashed(now, fingerprint, upstream, is_exclusive);
        let mut effects: Vec<_> = facts.into_iter().map(effect::Effect::Broadcast).collect();
        let outcome = if is_exclusive {
            effect::Outcome::Crashed
        } else {
            effect::Outcome::Released
        };
        effects.extend(self.end_request(request, outcome));
        effects.extend(self.tick(now));
        effects
    }

    /// Handles the first token of a request, which lets the next run start.
    pub fn first_token(&mut self, now: time::Time, request: u64) -> Vec<effect::Effect> {
        let Some(running) = self
            .running
            .get_mut(&request)
            .filter(|r| r.exclusive_until > now)
        else {
            return Vec::new();
        };
        running.exclusive_until = now;
        let run = effect::Run {
            fingerprint: running.fingerprint,
            request,
        };
        if running.coordinator != self.own {
            let to = running.coordinator.clone();
            return vec![effect::Effect::Send {
                to,
                message: effect::Message::Started(run),
            }];
        }
        self.scheduler.end_exclusive(&scheduler::EntryRun {
            entry: self.own.clone(),
            run,
        });
        self.tick(now)
    }

    /// Handles a complete response, which clears the request if it ran in isolation.
    pub fn finished(&mut self, now: time::Time, request: u64) -> Vec<effect::Effect> {
        let mut effects = Vec::new();
        if let Some(running) = self.running.get(&request) {
            let facts = self.suspects.clear(now, running.fingerprint);
            effects.extend(facts.into_iter().map(effect::Effect::Broadcast));
        }
        effects.extend(self.end_request(request, effect::Outcome::Finished));
        effects.extend(self.tick(now));
        effects
    }

    /// Handles the end of a request that is no evidence for or against it.
    pub fn released(&mut self, now: time::Time, request: u64) -> Vec<effect::Effect> {
        let mut effects = self.end_request(request, effect::Outcome::Released);
        effects.extend(self.tick(now));
        effects
    }

    /// Applies a fact that this entry did not know.
    pub fn apply_fact(&mut self, now: time::Time, fact: &fact::Fact) -> Vec<effect::Effect> {
        self.suspects.apply_fact(now, fact);
        self.tick(now)
    }

    /// Handles a message from another entry.
    pub fn receive(
        &mut self,
        now: time::Time,
        from: &name::Name,
        message: effect::Message,
    ) -> Vec<effect::Effect> {
        let mut effects = Vec::new();
        let entry = from.clone();
        match message {
            effect::Message::Ask(run) => {
                effects.extend(self.handle_ask(scheduler::EntryRun { entry, run }))
            }
            effect::Message::Queued(run) => self.handle_queued(from, &run),
            effect::Message::Grant(run) => effects.extend(self.handle_grant(now, entry, run)),
            effect::Message::Started(run) => self
                .scheduler
                .end_exclusive(&scheduler::EntryRun { entry, run }),
            effect::Message::Done { run, outcome } => {
                if outcome == effect::Outcome::Finished {
                    self.suspects.clear(now, run.fingerprint);
                }
                if outcome == effect::Outcome::Crashed {
                    // The fact about the crash may arrive after the next run has been granted.
                    self.suspects.block_early(now, run.fingerprint);
                }
                self.scheduler.end(&scheduler::EntryRun { entry, run });
            }
        }
        effects.extend(self.tick(now));
        effects
    }

    /// Blocks, grants and expires what is due.
    pub fn tick(&mut self, now: time::Time) -> Vec<effect::Effect> {
        let facts = self.suspects.block_unexplained(now);
        let mut effects: Vec<_> = facts.into_iter().map(effect::Effect::Broadcast).collect();
        let requests: Vec<_> = self.waiting.keys().copied().collect();
        for request in requests {
            effects.extend(self.update_waiting(now, request));
        }
        while let Some(entry_run) = self.scheduler.grant_next(now) {
            effects.extend(self.grant(now, entry_run));
        }
        effects
    }

    /// Returns the time by which `tick` must be called next.
    pub fn wake(&self) -> time::Time {
        let next_asks = self.waiting.values().map(|waiting| waiting.next_ask);
        next_asks
            .chain([self.suspects.wake(), self.scheduler.wake()])
            .min()
            .unwrap_or(time::Time::MAX)
    }

    /// Returns `true` if a request holds a run in which it has found no upstream so far.
    fn has_exclusive_run(&self, now: time::Time, request: u64) -> bool {
        let running = self.running.get(&request);
        running.is_some_and(|running| running.exclusive_until > now)
    }

    fn update_waiting(&mut self, now: time::Time, request: u64) -> Vec<effect::Effect> {
        let Some(waiting) = self.waiting.get_mut(&request) else {
            return Vec::new();
        };
        let fingerprint = waiting.fingerprint;
        let run = effect::Run {
            fingerprint,
            request,
        };
        let is_due = waiting.next_ask <= now;
        let coordinator = self.coordinators.get(waiting.rank);
        if is_due {
            waiting.next_ask = now.after(ASK_INTERVAL);
        }
        let effect = match self.suspects.status(fingerprint) {
            suspects::Status::Clear => effect::Effect::Start(request),
            suspects::Status::Blocked => effect::Effect::Block(request),
            _ if waiting.deadline <= now => effect::Effect::Refuse(request),
            suspects::Status::Suspect if is_due => return self.ask(coordinator, run),
            _ => return Vec::new(),
        };
        self.waiting.remove(&request);
        let mut effects = self.end_run(coordinator, run, effect::Outcome::Released);
        effects.push(effect);
        effects
    }

    fn ask(&mut self, coordinator: name::Name, run: effect::Run) -> Vec<effect::Effect> {
        if coordinator == self.own {
            let entry = self.own.clone();
            self.scheduler.enqueue(scheduler::EntryRun { entry, run });
            return Vec::new();
        }
        if let Some(waiting) = self.waiting.get_mut(&run.request) {
            waiting.unanswered += 1;
            if waiting.unanswered > MAX_UNANSWERED {
                waiting.unanswered = 0;
                waiting.rank += 1;
            }
        }
        let message = effect::Message::Ask(run);
        vec![effect::Effect::Send {
            to: coordinator,
            message,
        }]
    }

    fn handle_ask(&mut self, entry_run: scheduler::EntryRun) -> Vec<effect::Effect> {
        if self.scheduler.is_running(&entry_run) {
            // The first grant may have been lost.
            let scheduler::EntryRun { entry: to, run } = entry_run;
            let message = effect::Message::Grant(run);
            return vec![effect::Effect::Send { to, message }];
        }
        self.scheduler.enqueue(entry_run.clone());
        let scheduler::EntryRun { entry: to, run } = entry_run;
        let message = effect::Message::Queued(run);
        vec![effect::Effect::Send { to, message }]
    }

    fn handle_queued(&mut self, from: &name::Name, run: &effect::Run) {
        let Some(waiting) = self.waiting.get_mut(&run.request) else {
            return;
        };
        if self.coordinators.get(waiting.rank) == *from {
            waiting.unanswered = 0;
        }
    }

    fn grant(&mut self, now: time::Time, entry_run: scheduler::EntryRun) -> Vec<effect::Effect> {
        let status = self.suspects.status(entry_run.run.fingerprint);
        if matches!(
            status,
            suspects::Status::Blocked | suspects::Status::UnderReview
        ) {
            self.scheduler.end(&entry_run);
            return Vec::new();
        }
        if entry_run.entry == self.own {
            return self.handle_grant(now, entry_run.entry, entry_run.run);
        }
        let to = entry_run.entry;
        let message = effect::Message::Grant(entry_run.run);
        vec![effect::Effect::Send { to, message }]
    }

    fn handle_grant(
        &mut self,
        now: time::Time,
        coordinator: name::Name,
        run: effect::Run,
    ) -> Vec<effect::Effect> {
        if self.running.contains_key(&run.request) {
            return Vec::new();
        }
        let waiting = self.waiting.get(&run.request);
        if waiting.is_none_or(|waiting| waiting.fingerprint != run.fingerprint) {
            return self.end_run(coordinator, run, effect::Outcome::Released);
        }
        self.waiting.remove(&run.request);
        let running = Running {
            fingerprint: run.fingerprint,
            coordinator,
            exclusive_until: now.after(scheduler::MAX_EXCLUSIVE),
        };
        self.running.insert(run.request, running);
        vec![effect::Effect::StartIsolated(run.request)]
    }

    fn end_request(&mut self, request: u64, outcome: effect::Outcome) -> Vec<effect::Effect> {
        if let Some(running) = self.running.remove(&request) {
            let run = effect::Run {
                fingerprint: running.fingerprint,
                request,
            };
            return self.end_run(running.coordinator, run, outcome);
        }
        let Some(waiting) = self.waiting.remove(&request) else {
            return Vec::new();
        };
        let run = effect::Run {
            fingerprint: waiting.fingerprint,
            request,
        };
        let coordinator = self.coordinators.get(waiting.rank);
        self.end_run(coordinator, run, outcome)
    }

    fn end_run(
        &mut self,
        coordinator: name::Name,
        run: effect::Run,
        outcome: effect::Outcome,
    ) -> Vec<effect::Effect> {
        if coordinator == self.own {
            let entry = self.own.clone();
            self.scheduler.end(&scheduler::EntryRun { entry, run });
            return Vec::new();
        }
        let message = effect::Message::Done { run, outcome };
        vec![effect::Effect::Send {
            to: coordinator,
            message,
        }]
    }
}
