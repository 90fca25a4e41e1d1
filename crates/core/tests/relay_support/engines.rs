//! A simulated fleet of reducers and engines; a request, or requests with a part of their prompts,
//! crash each engine that runs them.

use std::collections;
use std::time::Duration;

use guavausher_core::refusal;
use guavausher_core::relay::{effect, engine, event, request, route};
use guavausher_core::time;

use super::crash_store::CrashStore;
use super::fleet::{Fleet, Network, STEP};
use super::outcome::{Outcome, Run};
use super::plan::{CrashEffect, Failures, Plan};
use super::prompts;

/// Fingerprint of the request that crashes engines.
pub const CRASHING_REQUEST: u64 = 0xdead;
/// Steps for which an engine runs a request.
const RUN_STEPS: u64 = 4;
/// Steps until the crashing request crashes an engine.
const CRASH_STEPS: u64 = 1;
/// Steps until a crashed engine is missing from the list: three heartbeats of half a second.
const UNLISTED_STEPS: u64 = 30;
/// Steps until a crashed engine is back with a new incarnation.
const RESTART_STEPS: u64 = 60;
/// Steps after which a caller abandons a silent engine.
const ABANDON_STEPS: u64 = 20;
/// Steps for which an engine runs each fourth request of a plan with prompts.
const LONG_RUN_STEPS: u64 = 40;
/// Steps until callers reach an instance that has started.
const READY_STEPS: u64 = 10;

struct Attempt {
    instance: usize,
    request: u64,
    number: usize,
    kind: Kind,
    due: u64,
}

/// What a request does to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Sound,
    /// It crashes the engine.
    Crashing,
    /// It crashes the engine by the crashing part with this number.
    CrashingPart(usize),
}

struct Engine {
    entry: engine::Engine,
    /// Step at which it crashed.
    crashed: Option<u64>,
    attempts: Vec<Attempt>,
}

pub struct Simulation {
    pub fleet: Fleet,
    plan: Plan,
    engines: Vec<Engine>,
    /// Kinds by instance and request.
    kinds: collections::HashMap<(usize, u64), Kind>,
    /// Step at which each instance started.
    starts: Vec<u64>,
    /// What keeps the crashes, if the plan has a store.
    store: Option<CrashStore>,
    /// Submissions of the crashing request.
    submissions: u64,
    /// Step of the next kill, and the number of kills so far.
    next_kill: Option<u64>,
    kills: u64,
    step: u64,
    last_id: u64,
    random: u64,
    outcome: Outcome,
}

impl Simulation {
    pub fn new(instances: usize, domains: usize, engines: usize, plan: Plan) -> Self {
        let engines = (0..engines).map(|index| Engine {
            entry: engine::Engine {
                domain: super::name(&format!("d{}", index % plan.engine_domains)),
                ..super::engine(index)
            },
            crashed: None,
            attempts: Vec::new(),
        });
        let mut simulation = Self {
            fleet: Fleet::new(instances, domains, Network::default()),
            plan,
            engines: engines.collect(),
            kinds: collections::HashMap::new(),
            starts: vec![0; instances],
            store: plan.store.map(|store| CrashStore::new(store, instances)),
            submissions: 0,
            next_kill: None,
            kills: 0,
            step: 0,
            last_id: 0,
            random: plan.seed,
            outcome: Outcome::default(),
        };
        simulation.fleet.run_for(Duration::from_secs(4));
        simulation.fleet.take_effects();
        simulation.list();
        simulation
    }

    /// Runs the simulation for a time and returns the results so far.
    pub fn run_for(&mut self, span: Duration) -> Outcome {
        for _ in 0..span.as_millis() as u64 / STEP {
            self.step();
        }
        self.outcome.clone()
    }

    fn step(&mut self) {
        self.step += 1;
        self.fleet.step();
        for (instance, effects) in self.fleet.take_effects() {
            self.perform(instance, effects);
        }
        self.restart_engines();
        self.finish_attempts();
        let plan = self.plan;
        if plan.restart_interval > 0 && self.step.is_multiple_of(plan.restart_interval) {
            self.restart_instance((self.step / plan.restart_interval) as usize % self.fleet.size());
        }
        self.use_store();
        self.kill_when_due();
        if plan.interval > 0 && self.step.is_multiple_of(plan.interval) {
            self.arrive(CRASHING_REQUEST, Kind::Crashing);
            self.plan_kill();
        }
        for (number, part) in plan.parts.iter().enumerate() {
            if part.is_due(self.step) {
                self.arrive(2_000_000 + self.last_id, Kind::CrashingPart(number));
            }
        }
        for _ in 0..plan.others {
            let unique = 1_000_000 + self.last_id;
            self.arrive(if plan.popular { 7 } else { unique }, Kind::Sound);
        }
        let failures = plan
            .failures
            .filter(|f| self.step.is_multiple_of(f.interval))
            .filter(|f| self.step / f.interval <= plan.failure_count);
        if let Some(failures) = failures {
            self.fail_engines(failures);
        }
    }

    fn fail_engines(&mut self, failures: Failures) {
        let drawn = self.draw() as usize;
        let count = self.engines.len();
        let failing = (0..count).filter(|index| match failures.divisor {
            0 => *index == drawn % count,
            divisor => index % divisor == drawn % divisor,
        });
        for index in failing {
            if self.engines[index].crashed.is_none() {
                self.crash(index, None);
            }
        }
    }

    /// Restarts crashed engines when due and lists the engines if the list has changed.
    fn restart_engines(&mut self) {
        let step = self.step;
        let crashes = self.engines.iter().filter_map(|engine| engine.crashed);
        let is_changed = crashes
            .map(|at| step - at)
            .any(|age| age == UNLISTED_STEPS || age == RESTART_STEPS);
        for engine in &mut self.engines {
            if engine.crashed.is_some_and(|at| step - at >= RESTART_STEPS) {
                engine.crashed = None;
                engine.entry.incarnation += 1;
                engine.attempts.clear();
            }
        }
        if is_changed {
            self.list();
        }
    }

    fn list(&mut self) {
        let step = self.step;
        let is_listed =
            |engine: &&Engine| engine.crashed.is_none_or(|at| step - at < UNLISTED_STEPS);
        let listed = self.engines.iter().filter(is_listed);
        let list = listed.map(|engine| engine.entry.clone()).collect();
        let now = self.fleet.now();
        for index in 0..self.fleet.size() {
            let effects = self.apply(index, now, super::engines(Vec::clone(&list)));
            self.perform(index, effects);
        }
    }

    fn finish_attempts(&mut self) {
        let step = self.step;
        for index in 0..self.engines.len() {
            let attempts = &mut self.engines[index].attempts;
            let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(attempts)
                .into_iter()
                .partition(|attempt| attempt.due <= step);
            *attempts = rest;
            for attempt in due {
                self.finish(index, attempt);
            }
        }
    }

    fn finish(&mut self, index: usize, attempt: Attempt) {
        if self.engines[index].crashed.is_some() {
            return self.signal(&attempt, event::Signal::Abandoned);
        }
        if attempt.kind == Kind::Sound {
            if self.draw() % 1_000 < self.plan.resets {
                return self.signal(&attempt, event::Signal::Broken { unanswered: true });
            }
            self.outcome.answered += 1;
            self.signal(&attempt, event::Signal::First);
            return self.signal(&attempt, event::Signal::Whole { status: 200 });
        }
        if self.plan.fails && self.outcome.runs.len().is_multiple_of(2) {
            self.signal(&attempt, event::Signal::Failing { status: 500 });
            return self.signal(&attempt, event::Signal::Whole { status: 500 });
        }
        self.crash(index, Some(attempt));
    }

    /// Crashes an engine, by a request that it runs if there is one, which ends all its attempts.
    fn crash(&mut self, index: usize, crasher: Option<Attempt>) {
        self.outcome.crashes.push(self.step);
        if let Some(Kind::CrashingPart(part)) = crasher.as_ref().map(|crasher| crasher.kind) {
            let crashes = self.outcome.part_crashes.entry(part).or_default();
            crashes.push(self.step);
        }
        self.engines[index].crashed = Some(self.step);
        let attempts = std::mem::take(&mut self.engines[index].attempts);
        for attempt in attempts.into_iter().chain(crasher) {
            match self.plan.effect {
                CrashEffect::Silent => {
                    let due = self.step + ABANDON_STEPS;
                    self.engines[index]
                        .attempts
                        .push(Attempt { due, ..attempt });
                }
                CrashEffect::BeforeHead => {
                    self.signal(&attempt, event::Signal::Broken { unanswered: true })
                }
                CrashEffect::HeadOnly => {
                    self.signal(&attempt, event::Signal::Broken { unanswered: false })
                }
                CrashEffect::CleanClose => {
                    self.signal(&attempt, event::Signal::First);
                    self.signal(&attempt, event::Signal::WholeAtClose { status: 200 });
                }
                CrashEffect::AfterHead => {
                    self.signal(&attempt, event::Signal::First);
                    self.signal(&attempt, event::Signal::Broken { unanswered: false });
                }
            }
        }
    }

    fn arrive(&mut self, fingerprint: u64, kind: Kind) {
        self.last_id += 1;
        let (now, id) = (self.fleet.now(), self.last_id);
        let Some(index) = self.draw_ready() else {
            return;
        };
        let request = request::Request {
            fingerprint,
            parts: self.prompt(kind),
            ..super::new_request(id, now, route::RetryPolicy::ResumableStream, 2)
        };
        self.kinds.insert((index, id), kind);
        let effects = self.apply(index, now, event::Event::Arrived(request));
        self.perform(index, effects);
    }

    fn prompt(&mut self, kind: Kind) -> Vec<request::Part> {
        if !self.plan.has_prompts() {
            return Vec::new();
        }
        let draws = [self.draw(), self.draw()];
        let sound = prompts::sound(self.last_id, self.step, draws);
        match kind {
            Kind::CrashingPart(number) => {
                prompts::crashing(sound, number, self.plan.parts[number].position)
            }
            _ => sound,
        }
    }

    /// Draws an instance that callers can reach; `None` if there is none.
    fn draw_ready(&mut self) -> Option<usize> {
        let is_ready = |start: &u64| *start == 0 || start + READY_STEPS <= self.step;
        if !self.starts.iter().any(is_ready) {
            return None;
        }
        loop {
            let index = (self.draw() % self.fleet.size() as u64) as usize;
            if self.starts[index] == 0 || self.starts[index] + READY_STEPS <= self.step {
                return Some(index);
            }
        }
    }

    /// Plans a kill after enough submissions of the crashing request.
    fn plan_kill(&mut self) {
        self.submissions += 1;
        let kills = self.plan.kills.filter(|kills| {
            self.kills < kills.count && self.submissions.is_multiple_of(kills.submissions)
        });
        self.next_kill = kills
            .map(|kills| self.step + kills.delay)
            .or(self.next_kill);
    }

    fn kill_when_due(&mut self) {
        let Some(kills) = self
            .plan
            .kills
            .filter(|_| self.next_kill == Some(self.step))
        else {
            return;
        };
        self.next_kill = None;
        self.fleet.drop_messages();
        let first = self.kills as usize % kills.divisor;
        self.kills += 1;
        for index in (first..self.fleet.size()).step_by(kills.divisor) {
            self.restart_instance(index);
        }
    }

    /// Lets the instances call the store.
    fn use_store(&mut self) {
        let Some(mut store) = self.store.take() else {
            return;
        };
        let now = self.fleet.now();
        for index in 0..self.fleet.size() {
            let state = &self.fleet.instance(index).state;
            if let Some(read) = store.step(self.step, now, index, state) {
                let effects = self.apply(index, now, read);
                self.perform(index, effects);
            }
        }
        self.outcome.store_calls = store.calls;
        self.store = Some(store);
    }

    fn restart_instance(&mut self, index: usize) {
        if let Some(store) = &mut self.store {
            store.restart(index);
        }
        self.fleet.restart_one(index);
        self.starts[index] = self.step;
        for engine in &mut self.engines {
            engine.attempts.retain(|attempt| attempt.instance != index);
        }
        self.list();
    }

    fn signal(&mut self, attempt: &Attempt, signal: event::Signal) {
        let now = self.fleet.now();
        let event = event::Event::Attempt {
            request: attempt.request,
            attempt: attempt.number,
            signal,
        };
        let effects = self.apply(attempt.instance, now, event);
        self.perform(attempt.instance, effects);
    }

    fn apply(&mut self, index: usize, now: time::Time, event: event::Event) -> Vec<effect::Effect> {
        self.fleet.instance(index).apply(now, event)
    }

    fn perform(&mut self, instance: usize, effects: Vec<effect::Effect>) {
        for effect in effects {
            match effect {
                effect::Effect::Send { request, dispatch } => {
                    self.send(instance, request, &dispatch);
                }
                effect::Effect::Refuse {
                    request, refusal, ..
                } => {
                    let kind = self.kinds.remove(&(instance, request));
                    if refusal.code == refusal::Code::Suspect {
                        self.count_blocked(kind);
                    }
                }
                _ => {}
            }
        }
    }

    fn count_blocked(&mut self, kind: Option<Kind>) {
        match kind {
            Some(Kind::Sound) => {
                self.outcome.blocked += 1;
                self.outcome.blocked_steps.insert(self.step);
            }
            Some(Kind::CrashingPart(part)) => {
                *self.outcome.part_blocked.entry(part).or_default() += 1
            }
            _ => {}
        }
    }

    fn send(&mut self, instance: usize, request: u64, dispatch: &effect::Dispatch) {
        let name = &dispatch.choice.engine;
        let kind = self.kinds[&(instance, request)];
        let index = self.engines.iter().position(|e| e.entry.name == *name);
        let index = index.expect("a known engine");
        let mut attempt = Attempt {
            instance,
            request,
            number: dispatch.number,
            kind,
            due: self.step + self.run_steps(request),
        };
        if self.engines[index].crashed.is_some() && self.plan.effect != CrashEffect::Silent {
            return self.signal(&attempt, event::Signal::Unsent);
        }
        if self.engines[index].crashed.is_some() {
            attempt.due = self.step + ABANDON_STEPS;
        } else if kind != Kind::Sound {
            self.record_run(instance, kind);
            attempt.due = self.step + CRASH_STEPS;
        }
        self.engines[index].attempts.push(attempt);
    }

    fn run_steps(&self, request: u64) -> u64 {
        if self.plan.run_steps > 0 {
            return self.plan.run_steps;
        }
        match self.plan.has_prompts() && request.is_multiple_of(4) {
            true => LONG_RUN_STEPS,
            false => RUN_STEPS,
        }
    }

    fn record_run(&mut self, instance: usize, kind: Kind) {
        let run = Run {
            at: self.step,
            since: self.starts[instance],
        };
        match kind {
            Kind::CrashingPart(part) => self.outcome.part_runs.entry(part).or_default().push(run),
            _ => self.outcome.runs.push(run),
        }
    }

    fn draw(&mut self) -> u64 {
        self.random = self
            .random
            .wrapping_mul(0x5851_f42d_4c95_7f2d)
            .wrapping_add(1);
        self.random >> 33
    }
}
