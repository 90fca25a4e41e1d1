//! Event loop of one run.

mod admit;
mod leave;
mod serve;

use std::collections;

use guavausher_core::name;
use guavausher_core::routing;
use guavausher_core::time;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs;

use crate::engine;
use crate::entry;
use crate::request;
use crate::schedule;
use crate::setup;
use crate::trace;

/// One-way delay within a failure domain in microseconds.
const LOCAL_MICROS: u64 = 300;
/// One-way delay between failure domains in microseconds.
const REGIONAL_MICROS: u64 = 5_000;
/// Time between two reports of an engine in microseconds.
const REPORT_MICROS: u64 = 500_000;
/// Attempts of one request at most.
pub const MAX_ATTEMPTS: u32 = 15;
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
}

/// A run in progress.
pub struct Sim {
    arrivals: Vec<trace::Arrival>,
    attempts: Vec<u64>,
    domains: Vec<usize>,
    end: u64,
    engines: Vec<engine::Engine>,
    entries: Vec<entry::Entry>,
    events: schedule::Schedule,
    now: u64,
    outputs: Vec<Vec<engine::Output>>,
    policy: entry::Policy,
    requests: Vec<request::Request>,
    rng: rngs::SmallRng,
    seen: collections::HashSet<u64>,
    service: name::Name,
    workspaces: Vec<name::Name>,
}

/// Runs a setup to its end.
pub fn run(setup: &setup::Setup) -> Outcome {
    let mut sim = Sim::new(setup);
    while let Some((at, event)) = sim.events.pop() {
        if at > sim.end {
            break;
        }
        sim.now = at;
        sim.handle(event);
    }
    Outcome {
        requests: sim.requests,
        recomputed: sim.engines.iter().map(|engine| engine.recomputed).sum(),
        attempts: sim.attempts,
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
            events: schedule::Schedule::default(),
            now: 0,
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
            sim.push(sim.arrivals[index].at, schedule::Event::Arrive(index));
        }
        for index in 0..sim.engines.len() {
            let phase = sim.rng.random_range(0..REPORT_MICROS);
            sim.push(phase, schedule::Event::Publish(index));
        }
        for fault in &setup.faults {
            sim.push(fault.at, schedule::Event::Fault(fault.kind));
        }
        sim
    }

    fn push(&mut self, at: u64, event: schedule::Event) {
        self.events.push(at, event);
    }

    fn handle(&mut self, event: schedule::Event) {
        match event {
            schedule::Event::Arrive(index) => {
                let (now, entry) = (self.time(), self.arrivals[index].entry);
                self.entries[entry].budget.record(now, &self.service);
                self.arrive(index);
            }
            schedule::Event::Again(index) => self.arrive(index),
            schedule::Event::Resume(request) => self.resume(request),
            schedule::Event::Move(attempt) => self.relocate(attempt),
            schedule::Event::Reach { engine, job } => self.reach(engine, job),
            schedule::Event::Step(engine) => self.step(engine),
            schedule::Event::First { request, attempt } => self.first(request, attempt),
            schedule::Event::Finished {
                request,
                attempt,
                prompt,
                cached,
            } => {
                let outcome = routing::Outcome::Finished { prompt, cached };
                self.finished(request, attempt, outcome);
            }
            schedule::Event::Lost {
                request,
                attempt,
                refused,
            } => self.lost(request, attempt, refused),
            schedule::Event::Publish(engine) => self.publish(engine),
            schedule::Event::Report {
                entry,
                engine,
                load,
            } => {
                let now = self.time();
                self.entries[entry]
                    .fleet
                    .apply_load(now, &entry::engine_name(engine), load);
                self.entries[entry].refresh(now);
                self.poll(entry);
            }
            schedule::Event::Cache {
                entry,
                engine,
                event,
            } => {
                let now = self.time();
                self.entries[entry].fleet.apply_cache_event(
                    now,
                    &entry::engine_name(engine),
                    event,
                );
            }
            schedule::Event::Wake(entry) => self.poll(entry),
            schedule::Event::Fault(kind) => self.fault(kind),
        }
    }

    fn time(&self) -> time::Time {
        time::Time::from_micros(self.now)
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

    fn is_current(&self, request: usize, attempt: u64) -> bool {
        let state = &self.requests[request];
        state.engine.is_some() && attempt % 16 + 1 == u64::from(state.attempts)
    }

    fn link(&self, entry: usize, engine: usize) -> u64 {
        if entry % setup::DOMAINS.len() == self.domains[engine] {
            LOCAL_MICROS
        } else {
            REGIONAL_MICROS
        }
    }
}
