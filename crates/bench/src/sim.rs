//! Event loop of one run.

use std::cmp;
use std::collections;

use guavausher_core::admission;
use guavausher_core::name;
use guavausher_core::retry;
use guavausher_core::routing;
use guavausher_core::routing::reclaim;
use guavausher_core::time;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs;

use crate::engine;
use crate::entry;
use crate::request;
use crate::setup;
use crate::trace;

/// One-way delay within a failure domain in microseconds.
const LOCAL_MICROS: u64 = 300;
/// One-way delay between failure domains in microseconds.
const REGIONAL_MICROS: u64 = 5_000;
/// Time between two reports of an engine in microseconds.
const REPORT_MICROS: u64 = 500_000;
/// Delay of load reports in microseconds, from and to.
const REPORT_DELAY: (u64, u64) = (100_000, 600_000);
/// Delay of cache events in microseconds, from and to.
const CACHE_DELAY: (u64, u64) = (200_000, 1_500_000);
/// Cache events that never arrive, in percent.
const CACHE_LOSS_PERCENT: u32 = 10;
/// Delay until an entry notices a dead engine, in microseconds.
const LOSS_MICROS: u64 = 50_000;
/// Attempts of one request at most.
pub const MAX_ATTEMPTS: u32 = 15;
/// Retries that a baseline makes.
const BASELINE_RETRIES: u32 = 2;
/// Longest time that a cut stream waits for a chance to resume, in microseconds.
const RESUME_MICROS: u64 = 20_000_000;
/// Time after the last arrival in which answers may end, in microseconds.
const TAIL_MICROS: u64 = 30_000_000;

/// What a run leaves behind.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// All requests in order of arrival.
    pub requests: Vec<request::Request>,
    /// Prompt tokens computed again.
    pub recomputed: u64,
    /// Times of all attempts in microseconds.
    pub attempts: Vec<u64>,
    /// Loads at all reports.
    pub loads: Vec<routing::Load>,
}

/// A run in progress.
pub struct Sim {
    arrivals: Vec<trace::Arrival>,
    attempts: Vec<u64>,
    domains: Vec<usize>,
    end: u64,
    engines: Vec<engine::Engine>,
    entries: Vec<entry::Entry>,
    events: collections::BinaryHeap<cmp::Reverse<Scheduled>>,
    loads: Vec<routing::Load>,
    now: u64,
    order: u64,
    outputs: Vec<Vec<engine::Output>>,
    policy: entry::Policy,
    requests: Vec<request::Request>,
    rng: rngs::SmallRng,
    seen: collections::HashSet<u64>,
    service: name::Name,
    workspaces: Vec<name::Name>,
}

struct Scheduled {
    at: u64,
    order: u64,
    event: Event,
}

enum Event {
    Arrive(usize),
    Reach {
        engine: usize,
        job: engine::Job,
    },
    Step(usize),
    First {
        request: usize,
        attempt: u64,
    },
    Finished {
        request: usize,
        attempt: u64,
        prompt: u32,
        cached: u32,
    },
    Lost {
        request: usize,
        attempt: u64,
        refused: bool,
    },
    Publish(usize),
    Report {
        entry: usize,
        engine: usize,
        load: routing::Load,
    },
    Cache {
        entry: usize,
        engine: usize,
        event: routing::CacheEvent,
    },
    Wake(usize),
    Again(usize),
    Resume(usize),
    Move(u64),
    Fault(setup::Kind),
}

/// Runs a setup to its end.
pub fn run(setup: &setup::Setup) -> Outcome {
    let mut sim = Sim::new(setup);
    while let Some(cmp::Reverse(scheduled)) = sim.events.pop() {
        if scheduled.at > sim.end {
            break;
        }
        sim.now = scheduled.at;
        sim.handle(scheduled.event);
    }
    Outcome {
        requests: sim.requests,
        recomputed: sim.engines.iter().map(|engine| engine.recomputed).sum(),
        attempts: sim.attempts,
        loads: sim.loads,
    }
}

impl Sim {
    fn new(setup: &setup::Setup) -> Self {
        let declaration = setup.declaration();
        let arrivals = trace::arrivals(&setup.demand);
        let entries = (0..setup.demand.entries).map(|index| {
            let domain = name::Name::from(setup::DOMAINS[index % setup::DOMAINS.len()]);
            let seed = setup.demand.seed * 100 + index as u64;
            entry::Entry::new(setup.policy, domain, seed, &declaration)
        });
        let requests = arrivals.iter().map(|arrival| request::Request {
            at: arrival.at,
            workspace: arrival.workspace,
            ..request::Request::default()
        });
        let mut sim = Self {
            attempts: Vec::new(),
            domains: setup.engines.iter().map(|site| site.domain).collect(),
            end: setup.demand.length + TAIL_MICROS,
            engines: vec![engine::Engine::default(); setup.engines.len()],
            entries: entries.collect(),
            events: collections::BinaryHeap::new(),
            loads: Vec::new(),
            now: 0,
            order: 0,
            outputs: vec![Vec::new(); setup.engines.len()],
            policy: setup.policy,
            requests: requests.collect(),
            rng: rngs::SmallRng::seed_from_u64(setup.demand.seed),
            seen: collections::HashSet::new(),
            service: name::Name::from(setup::SERVICE),
            workspaces: (0..setup.demand.rates.len())
                .map(setup::workspace_name)
                .collect(),
            arrivals,
        };
        for index in 0..sim.arrivals.len() {
            sim.push(sim.arrivals[index].at, Event::Arrive(index));
        }
        for index in 0..sim.engines.len() {
            let phase = sim.rng.random_range(0..REPORT_MICROS);
            sim.push(phase, Event::Publish(index));
        }
        for fault in &setup.faults {
            sim.push(fault.at, Event::Fault(fault.kind));
        }
        sim
    }

    fn push(&mut self, at: u64, event: Event) {
        self.order += 1;
        let order = self.order;
        self.events
            .push(cmp::Reverse(Scheduled { at, order, event }));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => {
                let (now, entry) = (self.time(), self.arrivals[index].entry);
                self.entries[entry].budget.record(now, &self.service);
                self.arrive(index);
            }
            Event::Again(index) => self.arrive(index),
            Event::Resume(request) => self.resume(request),
            Event::Move(attempt) => self.relocate(attempt),
            Event::Reach { engine, job } => self.reach(engine, job),
            Event::Step(engine) => self.step(engine),
            Event::First { request, attempt } => self.first(request, attempt),
            Event::Finished {
                request,
                attempt,
                prompt,
                cached,
            } => {
                let outcome = routing::Outcome::Finished { prompt, cached };
                self.finished(request, attempt, outcome);
            }
            Event::Lost {
                request,
                attempt,
                refused,
            } => self.lost(request, attempt, refused),
            Event::Publish(engine) => self.publish(engine),
            Event::Report {
                entry,
                engine,
                load,
            } => {
                let now = self.time();
                self.entries[entry]
                    .fleet
                    .report(now, &entry::engine_name(engine), load);
                self.entries[entry].refresh(now);
                self.poll(entry);
            }
            Event::Cache {
                entry,
                engine,
                event,
            } => {
                let now = self.time();
                self.entries[entry]
                    .fleet
                    .cache(now, &entry::engine_name(engine), event);
            }
            Event::Wake(entry) => self.poll(entry),
            Event::Fault(kind) => self.fault(kind),
        }
    }

    fn time(&self) -> time::Time {
        time::Time::from_micros(self.now)
    }

    /// Offers a request to its entry's admission, or resumes it if it was admitted before.
    fn arrive(&mut self, index: usize) {
        if self.policy != entry::Policy::Core || self.requests[index].first.is_some() {
            return self.dispatch(index);
        }
        let arrival = &self.arrivals[index];
        let deadline = arrival.at + request::FIRST_TOKEN_MICROS;
        let ticket = admission::Ticket {
            request: index as u64,
            workspace: self.workspaces[arrival.workspace].clone(),
            service: self.service.clone(),
            priority: arrival.priority,
            cost: arrival.prompt / 8 + arrival.output,
            deadline: time::Time::from_micros(deadline),
        };
        let (now, entry) = (self.time(), arrival.entry);
        match self.entries[entry].admission.offer(now, ticket) {
            admission::Decision::Admit => self.dispatch(index),
            admission::Decision::Queue => self.schedule_wake(entry),
            admission::Decision::Refuse(_) => self.requests[index].refused = true,
        }
    }

    fn schedule_wake(&mut self, entry: usize) {
        if let Some(at) = self.entries[entry].admission.wake() {
            self.push(at.as_micros().max(self.now + 1), Event::Wake(entry));
        }
    }

    fn poll(&mut self, entry: usize) {
        if self.policy != entry::Policy::Core {
            return;
        }
        let now = self.time();
        let turn = self.entries[entry].admission.poll(now);
        for refusal in turn.refused {
            self.requests[refusal.request as usize].refused = true;
        }
        for request in turn.granted {
            self.dispatch(request as usize);
        }
    }

    fn query(&self, index: usize) -> routing::Query {
        let arrival = &self.arrivals[index];
        let request = &self.requests[index];
        let prompt = arrival.prompt + request.produced;
        let blocks = (prompt / routing::BLOCK_TOKENS) as usize;
        routing::Query {
            service: self.service.clone(),
            version: None,
            workspace: self.workspaces[arrival.workspace].clone(),
            priority: arrival.priority,
            blocks: arrival.blocks[..blocks.min(arrival.blocks.len())].into(),
            prompt,
            output: arrival.output.saturating_sub(request.produced),
            excluded: request.excluded.clone(),
            packed: false,
            sticky: None,
        }
    }

    fn dispatch(&mut self, index: usize) {
        let query = self.query(index);
        let (now, entry) = (self.time(), self.arrivals[index].entry);
        let attempt = index as u64 * 16 + u64::from(self.requests[index].attempts);
        let engine = match self.entries[entry].pick(now, attempt, &query) {
            entry::Picked::Engine(engine) => engine,
            entry::Picked::Later(at) => return self.postpone(index, at),
        };
        self.attempts.push(self.now);
        self.requests[index].attempts += 1;
        self.requests[index].engine = Some(engine);
        let sent = self.now - self.requests[index].at;
        self.requests[index].sent.get_or_insert(sent);
        let job = engine::Job {
            attempt,
            blocks: self.arrivals[index].blocks.clone(),
            prompt: query.prompt,
            output: query.output,
            priority: query.priority,
        };
        let at = self.now + self.link(entry, engine);
        self.push(at, Event::Reach { engine, job });
    }

    /// Waits for room if the deadline allows it; a resumed stream always waits.
    fn postpone(&mut self, index: usize, at: time::Time) {
        let entry = self.arrivals[index].entry;
        let deadline = self.arrivals[index].at + request::FIRST_TOKEN_MICROS;
        let streaming = self.requests[index].first.is_some();
        let now = self.time();
        if !streaming {
            self.entries[entry]
                .admission
                .release(now, index as u64, false);
        }
        let at = at.as_micros().max(self.now + 10_000);
        let hopeless = self.policy != entry::Policy::Core || (at > deadline && !streaming);
        if hopeless || at > self.end {
            self.requests[index].refused = true;
            return;
        }
        self.push(at, Event::Again(index));
    }

    fn reach(&mut self, engine: usize, job: engine::Job) {
        let request = (job.attempt / 16) as usize;
        let attempt = job.attempt;
        let up = self.engines[engine].up;
        if !self.engines[engine].offer(job) {
            let at = self.now + self.link(self.arrivals[request].entry, engine);
            return self.push(
                at,
                Event::Lost {
                    request,
                    attempt,
                    refused: up,
                },
            );
        }
        if !self.engines[engine].busy {
            self.begin(engine);
        }
    }

    fn begin(&mut self, engine: usize) {
        let mut outputs = std::mem::take(&mut self.outputs[engine]);
        outputs.clear();
        let length = self.engines[engine].step(&mut self.seen, &mut outputs);
        self.outputs[engine] = outputs;
        self.engines[engine].busy = true;
        self.push(self.now + length, Event::Step(engine));
    }

    fn step(&mut self, engine: usize) {
        self.engines[engine].busy = false;
        let outputs = std::mem::take(&mut self.outputs[engine]);
        for &output in &outputs {
            self.emit(engine, output);
        }
        self.outputs[engine] = outputs;
        if self.engines[engine].has_work() {
            self.begin(engine);
        }
    }

    fn emit(&mut self, engine: usize, output: engine::Output) {
        match output {
            engine::Output::Token { attempt } => {
                let request = (attempt / 16) as usize;
                if !self.is_current(request, attempt) {
                    return;
                }
                let at = self.now + self.link(self.arrivals[request].entry, engine);
                let first = self.requests[request].first.is_none();
                self.requests[request].token(at);
                if first {
                    self.push(at, Event::First { request, attempt });
                }
            }
            engine::Output::Finished {
                attempt,
                prompt,
                cached,
            } => {
                let request = (attempt / 16) as usize;
                let at = self.now + self.link(self.arrivals[request].entry, engine);
                self.push(
                    at,
                    Event::Finished {
                        request,
                        attempt,
                        prompt,
                        cached,
                    },
                );
            }
        }
    }

    fn first(&mut self, request: usize, attempt: u64) {
        let (now, entry) = (self.time(), self.arrivals[request].entry);
        self.entries[entry].fleet.first_token(now, attempt);
    }

    fn finished(&mut self, request: usize, attempt: u64, outcome: routing::Outcome) {
        if !self.is_current(request, attempt) {
            return;
        }
        let (now, entry) = (self.time(), self.arrivals[request].entry);
        let engine = self.requests[request].engine.take().unwrap_or(0);
        self.requests[request].whole = true;
        self.entries[entry].end(now, attempt, engine, outcome);
        self.entries[entry]
            .admission
            .release(now, request as u64, true);
        self.poll(entry);
    }

    /// Handles an attempt that was refused or cut by a dead engine.
    fn lost(&mut self, request: usize, attempt: u64, refused: bool) {
        if !self.is_current(request, attempt) {
            return;
        }
        let (now, entry) = (self.time(), self.arrivals[request].entry);
        let engine = self.requests[request].engine.take().unwrap_or(0);
        let end = if refused {
            routing::Outcome::Refused
        } else {
            routing::Outcome::Failed
        };
        self.entries[entry].end(now, attempt, engine, end);
        if !refused {
            self.entries[entry].set_down(engine, true);
        }
        self.requests[request]
            .excluded
            .push(entry::engine_name(engine));
        if self.may_retry(request) {
            return self.dispatch(request);
        }
        self.give_up(request);
    }

    /// Lets a stream wait for a chance to resume; refuses anything else.
    fn give_up(&mut self, request: usize) {
        let (now, entry) = (self.time(), self.arrivals[request].entry);
        let waits = self.requests[request].first.is_some()
            && self.now < self.requests[request].last + RESUME_MICROS;
        if waits && self.policy == entry::Policy::Core {
            let delay = retry::backoff(request as u64, self.requests[request].attempts + 3);
            return self.push(self.now + delay.as_micros() as u64, Event::Resume(request));
        }
        self.requests[request].refused = true;
        self.entries[entry]
            .admission
            .release(now, request as u64, false);
        self.poll(entry);
    }

    fn resume(&mut self, request: usize) {
        match self.may_retry(request) {
            true => self.dispatch(request),
            false => self.give_up(request),
        }
    }

    fn may_retry(&mut self, request: usize) -> bool {
        let (now, entry) = (self.time(), self.arrivals[request].entry);
        let made = self.requests[request].attempts;
        if self.policy != entry::Policy::Core {
            return made <= BASELINE_RETRIES;
        }
        let streaming = self.requests[request].first.is_some();
        let free = streaming && !self.entries[entry].fleet.is_failing(&self.service);
        made < MAX_ATTEMPTS && (free || self.entries[entry].budget.spend(now, &self.service))
    }

    fn is_current(&self, request: usize, attempt: u64) -> bool {
        let state = &self.requests[request];
        state.engine.is_some() && attempt % 16 + 1 == u64::from(state.attempts)
    }

    fn publish(&mut self, engine: usize) {
        let again = self.now + REPORT_MICROS;
        if again < self.end {
            self.push(again, Event::Publish(engine));
        }
        if !self.engines[engine].up || self.policy != entry::Policy::Core {
            return;
        }
        let load = self.engines[engine].load(self.time());
        self.loads.push(load);
        let event = self.engines[engine].take_event();
        for entry in 0..self.entries.len() {
            let at = self.now + self.rng.random_range(REPORT_DELAY.0..REPORT_DELAY.1);
            self.push(
                at,
                Event::Report {
                    entry,
                    engine,
                    load,
                },
            );
            if self.rng.random_range(0..100) >= CACHE_LOSS_PERCENT {
                let at = self.now + self.rng.random_range(CACHE_DELAY.0..CACHE_DELAY.1);
                self.push(
                    at,
                    Event::Cache {
                        entry,
                        engine,
                        event: event.clone(),
                    },
                );
            }
        }
    }

    fn fault(&mut self, kind: setup::Kind) {
        match kind {
            setup::Kind::Notice { domain, dies_at } => self.notice(domain, dies_at),
            setup::Kind::Reclaim { domain } => self.kill(|place| place == domain),
            setup::Kind::Outage => self.kill(|_| true),
        }
    }

    /// Tells every entry that engines leave, and plans how their streams do.
    fn notice(&mut self, domain: usize, dies_at: u64) {
        if self.policy != entry::Policy::Core {
            return;
        }
        for engine in 0..self.engines.len() {
            if self.domains[engine] != domain {
                continue;
            }
            let upstream = entry::engine_name(engine);
            for entry in 0..self.entries.len() {
                self.entries[entry].fleet.leave(&upstream, 0);
                let attempts = self.entries[entry].fleet.attempts_at(&upstream);
                self.plan_moves(&attempts, dies_at);
            }
        }
    }

    fn plan_moves(&mut self, attempts: &[u64], dies_at: u64) {
        let streams: Vec<_> = attempts
            .iter()
            .map(|&attempt| self.stream(attempt))
            .collect();
        let dies_at = time::Time::from_micros(dies_at);
        for step in reclaim::plan(self.time(), dies_at, &streams, &engine::SPEEDS) {
            if step.action != reclaim::Action::Finish {
                self.push(step.at.as_micros(), Event::Move(step.attempt));
            }
        }
    }

    fn stream(&self, attempt: u64) -> reclaim::Stream {
        let request = (attempt / 16) as usize;
        let arrival = &self.arrivals[request];
        let produced = self.requests[request].produced;
        reclaim::Stream {
            attempt,
            priority: arrival.priority,
            held: arrival.prompt + produced,
            left: arrival.output.saturating_sub(produced),
        }
    }

    /// Ends an attempt at an engine that leaves and goes on elsewhere.
    fn relocate(&mut self, attempt: u64) {
        let request = (attempt / 16) as usize;
        if !self.is_current(request, attempt) {
            return;
        }
        let (now, entry) = (self.time(), self.arrivals[request].entry);
        let engine = self.requests[request].engine.take().unwrap_or(0);
        self.engines[engine].cancel(attempt);
        self.entries[entry].end(now, attempt, engine, routing::Outcome::Cancelled);
        self.requests[request]
            .excluded
            .push(entry::engine_name(engine));
        self.dispatch(request);
    }

    fn kill(&mut self, hits: impl Fn(usize) -> bool) {
        for engine in 0..self.engines.len() {
            if !hits(self.domains[engine]) {
                continue;
            }
            self.outputs[engine].clear();
            for attempt in self.engines[engine].kill() {
                let request = (attempt / 16) as usize;
                let at = self.now + LOSS_MICROS;
                self.push(
                    at,
                    Event::Lost {
                        request,
                        attempt,
                        refused: false,
                    },
                );
            }
        }
    }

    fn link(&self, entry: usize, engine: usize) -> u64 {
        if entry % setup::DOMAINS.len() == self.domains[engine] {
            LOCAL_MICROS
        } else {
            REGIONAL_MICROS
        }
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == cmp::Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}
