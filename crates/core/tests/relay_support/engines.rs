//! A simulated fleet of reducers and engines; one request crashes each engine that runs it.

use std::collections;
use std::time::Duration;

use guavausher_core::refusal;
use guavausher_core::relay::{effect, engine, event, request, route};
use guavausher_core::time;

use super::fleet::{Fleet, Network, STEP};

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

/// Steps until callers reach an instance that has started.
const READY_STEPS: u64 = 10;

/// How a crash of an engine shows at the instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashEffect {
    /// Connections break before any byte of a response.
    BeforeHead,
    /// Connections break after the head of the response or its first event.
    AfterHead,
    /// Connections stay open but nothing more arrives.
    Silent,
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub effect: CrashEffect,
    /// Steps between two submissions of the crashing request; 0 for none.
    pub interval: u64,
    /// Other requests that arrive in each step.
    pub others: u64,
    /// Attempts per thousand of these requests that break at a healthy engine.
    pub resets: u64,
    /// Steps between two restarts of instances, one at a time; 0 for none.
    pub restart_interval: u64,
    /// Whether an engine responds to the crashing request with an error every other time.
    pub fails: bool,
    /// Whether all other requests have the same fingerprint.
    pub popular: bool,
}

impl Plan {
    pub const CALM: Self = Self {
        effect: CrashEffect::BeforeHead,
        interval: 8,
        others: 4,
        resets: 0,
        restart_interval: 0,
        fails: false,
        popular: false,
    };
}

struct Attempt {
    instance: usize,
    request: u64,
    number: usize,
    fingerprint: u64,
    due: u64,
}

struct Engine {
    entry: engine::Engine,
    /// Step at which it crashed.
    crashed: Option<u64>,
    attempts: Vec<Attempt>,
}

/// A run of the crashing request at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Step at which it began.
    pub at: u64,
    /// Step at which the instance that sent the request had started.
    pub since: u64,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Runs of the crashing request.
    pub runs: Vec<Run>,
    /// Steps at which an engine crashed.
    pub crashes: Vec<u64>,
    /// Other requests that were refused as suspect.
    pub blocked: u64,
    /// Other requests that got a complete response.
    pub answered: u64,
}

impl Outcome {
    /// Returns the number of runs of the crashing request later than `after` the third crash.
    pub fn late_runs(&self, after: Duration) -> usize {
        let steps = after.as_millis() as u64 / STEP;
        let Some(third) = self.crashes.get(2) else {
            return 0;
        };
        self.runs
            .iter()
            .filter(|run| run.at > third + steps)
            .count()
    }
}

pub struct Simulation {
    pub fleet: Fleet,
    plan: Plan,
    engines: Vec<Engine>,
    /// Fingerprints by instance and request.
    fingerprints: collections::HashMap<(usize, u64), u64>,
    /// Step at which each instance started.
    starts: Vec<u64>,
    step: u64,
    last_id: u64,
    random: u64,
    outcome: Outcome,
}

impl Simulation {
    pub fn new(instances: usize, domains: usize, engines: usize, plan: Plan) -> Self {
        let engines = (0..engines).map(|index| Engine {
            entry: super::engine(index),
            crashed: None,
            attempts: Vec::new(),
        });
        let mut simulation = Self {
            fleet: Fleet::new(instances, domains, Network::default()),
            plan,
            engines: engines.collect(),
            fingerprints: collections::HashMap::new(),
            starts: vec![0; instances],
            step: 0,
            last_id: 0,
            random: 1,
            outcome: Outcome::default(),
        };
        simulation.fleet.run_for(Duration::from_secs(4));
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
        self.restart_engines();
        self.finish_attempts();
        let plan = self.plan;
        if plan.restart_interval > 0 && self.step.is_multiple_of(plan.restart_interval) {
            self.restart_instance((self.step / plan.restart_interval) as usize % self.fleet.size());
        }
        if plan.interval > 0 && self.step.is_multiple_of(plan.interval) {
            self.arrive(CRASHING_REQUEST);
        }
        for _ in 0..plan.others {
            let unique = 1_000_000 + self.last_id;
            self.arrive(if plan.popular { 7 } else { unique });
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
        if attempt.fingerprint != CRASHING_REQUEST {
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
        self.crash(index, attempt);
    }

    /// Crashes an engine under the crashing request, which ends all its attempts.
    fn crash(&mut self, index: usize, crasher: Attempt) {
        self.outcome.crashes.push(self.step);
        self.engines[index].crashed = Some(self.step);
        let attempts = std::mem::take(&mut self.engines[index].attempts);
        for attempt in attempts.into_iter().chain([crasher]) {
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
                CrashEffect::AfterHead => {
                    self.signal(&attempt, event::Signal::First);
                    self.signal(&attempt, event::Signal::Broken { unanswered: false });
                }
            }
        }
    }

    fn arrive(&mut self, fingerprint: u64) {
        self.last_id += 1;
        let (now, id) = (self.fleet.now(), self.last_id);
        let index = self.draw_ready();
        let request = request::Request {
            fingerprint,
            ..super::new_request(id, now, route::RetryPolicy::ResumableStream, 2)
        };
        self.fingerprints.insert((index, id), fingerprint);
        let effects = self.apply(index, now, event::Event::Arrived(request));
        self.perform(index, effects);
    }

    /// Draws an instance that callers can reach.
    fn draw_ready(&mut self) -> usize {
        loop {
            let index = (self.draw() % self.fleet.size() as u64) as usize;
            if self.starts[index] == 0 || self.starts[index] + READY_STEPS <= self.step {
                return index;
            }
        }
    }

    fn restart_instance(&mut self, index: usize) {
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
                    let fingerprint = self.fingerprints.remove(&(instance, request));
                    let is_blocked = refusal.code == refusal::Code::Suspect;
                    self.outcome.blocked +=
                        u64::from(is_blocked && fingerprint != Some(CRASHING_REQUEST));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, instance: usize, request: u64, dispatch: &effect::Dispatch) {
        let name = &dispatch.choice.engine;
        let fingerprint = self.fingerprints[&(instance, request)];
        let index = self.engines.iter().position(|e| e.entry.name == *name);
        let index = index.expect("a known engine");
        let mut attempt = Attempt {
            instance,
            request,
            number: dispatch.number,
            fingerprint,
            due: self.step + RUN_STEPS,
        };
        if self.engines[index].crashed.is_some() && self.plan.effect != CrashEffect::Silent {
            return self.signal(&attempt, event::Signal::Unsent);
        }
        if self.engines[index].crashed.is_some() {
            attempt.due = self.step + ABANDON_STEPS;
        } else if fingerprint == CRASHING_REQUEST {
            let since = self.starts[instance];
            let at = self.step;
            self.outcome.runs.push(Run { at, since });
            attempt.due = self.step + CRASH_STEPS;
        }
        self.engines[index].attempts.push(attempt);
    }

    fn draw(&mut self) -> u64 {
        self.random = self
            .random
            .wrapping_mul(0x5851_f42d_4c95_7f2d)
            .wrapping_add(1);
        self.random >> 33
    }
}
