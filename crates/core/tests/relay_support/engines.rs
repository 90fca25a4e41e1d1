//! Engines before a fleet of reducers, some of which end under one request.

use std::collections;
use std::time::Duration;

use guavausher_core::name;
use guavausher_core::refusal;
use guavausher_core::relay::{ask, effect, engine, event, route};
use guavausher_core::time;

use super::fleet::{Fleet, Network, STEP};

/// The request under which engines end.
pub const CRASHING_REQUEST: u64 = 0xdead;
/// Steps that an engine works on a request.
const WORK: u64 = 4;
/// Steps until an engine ends under the crasher.
const FUSE: u64 = 1;
/// Steps until the list shows that an engine has ended: three heartbeats of half a second.
const UNLISTED: u64 = 30;
/// Steps until an engine that has ended is back with a new incarnation.
const BACK: u64 = 60;
/// Steps after which a caller leaves an engine that says nothing.
const LEAVE: u64 = 20;

/// Steps until callers reach an instance that has started.
const READY: u64 = 10;

/// How the end of an engine shows at the instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashEffect {
    /// Its channels break before any byte of an answer.
    BeforeHead,
    /// Its channels break after the head of the answer, or its first event.
    AfterHead,
    /// It says nothing any more.
    Silent,
}

/// What the engines do.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub effect: CrashEffect,
    /// Steps between two sends of the crasher by its caller; 0 for none.
    pub interval: u64,
    /// Other requests that arrive in a step.
    pub others: u64,
    /// Of a thousand of their attempts, how many break at a sound engine.
    pub resets: u64,
    /// Steps between two restarts of an instance, one after the other; 0 for none.
    pub restart_interval: u64,
    /// Whether an engine that is asked for the crasher answers with a failure every other time.
    pub fails: bool,
    /// Whether all others are one popular request.
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

struct Work {
    instance: usize,
    request: u64,
    fingerprint: u64,
    due: u64,
}

struct Engine {
    entry: engine::Engine,
    ended: Option<u64>,
    works: Vec<Work>,
}

/// An engine began to run the crasher.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Step.
    pub at: u64,
    /// Step at which the instance that sent it had started.
    pub since: u64,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Steps at which an engine began to run the crasher, and since when its instance ran.
    pub runs: Vec<Run>,
    /// Steps at which an engine ended.
    pub crashes: Vec<u64>,
    /// Other requests that were refused as ones that crash engines.
    pub blocked: u64,
    /// Other requests that were answered.
    pub answered: u64,
}

impl Outcome {
    /// Returns how often engines ran the crasher later than `after` the third of them had ended.
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
    asks: collections::HashMap<(usize, u64), u64>,
    /// Step at which each instance started.
    starts: Vec<u64>,
    step: u64,
    last: u64,
    noise: u64,
    outcome: Outcome,
}

impl Simulation {
    pub fn new(instances: usize, domains: usize, engines: usize, plan: Plan) -> Self {
        let engines = (0..engines).map(|index| Engine {
            entry: super::engine(index),
            ended: None,
            works: Vec::new(),
        });
        let mut world = Self {
            fleet: Fleet::new(instances, domains, Network::default()),
            plan,
            engines: engines.collect(),
            asks: collections::HashMap::new(),
            starts: vec![0; instances],
            step: 0,
            last: 0,
            noise: 1,
            outcome: Outcome::default(),
        };
        world.fleet.run_for(Duration::from_secs(4));
        world.list();
        world
    }

    /// Plays this long and tells what came of it.
    pub fn run_for(&mut self, span: Duration) -> Outcome {
        for _ in 0..span.as_millis() as u64 / STEP {
            self.play();
        }
        self.outcome.clone()
    }

    fn play(&mut self) {
        self.step += 1;
        self.fleet.step();
        self.turn();
        self.work();
        let plan = self.plan;
        if plan.restart_interval > 0 && self.step.is_multiple_of(plan.restart_interval) {
            self.restart((self.step / plan.restart_interval) as usize % self.fleet.size());
        }
        if plan.interval > 0 && self.step.is_multiple_of(plan.interval) {
            self.arrive(CRASHING_REQUEST);
        }
        for _ in 0..plan.others {
            let own = 1_000_000 + self.last;
            self.arrive(if plan.popular { 7 } else { own });
        }
    }

    /// Lists what has changed, and brings ended engines back.
    fn turn(&mut self) {
        let step = self.step;
        let ages = self.engines.iter().filter_map(|engine| engine.ended);
        let is_due = ages
            .map(|at| step - at)
            .any(|age| age == UNLISTED || age == BACK);
        for engine in &mut self.engines {
            if engine.ended.is_some_and(|at| step - at >= BACK) {
                engine.ended = None;
                engine.entry.incarnation += 1;
                engine.works.clear();
            }
        }
        if is_due {
            self.list();
        }
    }

    fn list(&mut self) {
        let step = self.step;
        let is_listed = |engine: &&Engine| engine.ended.is_none_or(|at| step - at < UNLISTED);
        let listed = self.engines.iter().filter(is_listed);
        let list = listed.map(|engine| engine.entry.clone()).collect();
        let now = self.fleet.now();
        for index in 0..self.fleet.size() {
            let effects = self.apply(index, now, super::engines(Vec::clone(&list)));
            self.perform(index, effects);
        }
    }

    fn work(&mut self) {
        let step = self.step;
        for index in 0..self.engines.len() {
            let works = &mut self.engines[index].works;
            let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(works)
                .into_iter()
                .partition(|work| work.due <= step);
            *works = rest;
            for work in due {
                self.finish(index, work);
            }
        }
    }

    fn finish(&mut self, index: usize, work: Work) {
        if self.engines[index].ended.is_some() {
            return self.signal(&work, event::Signal::Abandoned);
        }
        if work.fingerprint != CRASHING_REQUEST {
            if self.draw() % 1_000 < self.plan.resets {
                return self.signal(&work, event::Signal::Broken { unanswered: true });
            }
            self.outcome.answered += 1;
            self.signal(&work, event::Signal::First);
            return self.signal(&work, event::Signal::Whole { status: 200 });
        }
        if self.plan.fails && self.outcome.runs.len().is_multiple_of(2) {
            self.signal(&work, event::Signal::Failing { status: 500 });
            return self.signal(&work, event::Signal::Whole { status: 500 });
        }
        self.end(index, work);
    }

    /// Lets an engine end under the crasher, with all that it works on.
    fn end(&mut self, index: usize, crasher: Work) {
        self.outcome.crashes.push(self.step);
        self.engines[index].ended = Some(self.step);
        let works = std::mem::take(&mut self.engines[index].works);
        for work in works.into_iter().chain([crasher]) {
            match self.plan.effect {
                CrashEffect::Silent => {
                    let due = self.step + LEAVE;
                    self.engines[index].works.push(Work { due, ..work });
                }
                CrashEffect::BeforeHead => {
                    self.signal(&work, event::Signal::Broken { unanswered: true })
                }
                CrashEffect::AfterHead => {
                    self.signal(&work, event::Signal::First);
                    self.signal(&work, event::Signal::Broken { unanswered: false });
                }
            }
        }
    }

    fn arrive(&mut self, fingerprint: u64) {
        self.last += 1;
        let (now, id) = (self.fleet.now(), self.last);
        let index = self.ready();
        let ask = ask::Ask {
            fingerprint,
            ..super::new_request(id, now, route::RetryPolicy::ResumableStream, 2)
        };
        self.asks.insert((index, id), fingerprint);
        let effects = self.apply(index, now, event::Event::Arrived(ask));
        self.perform(index, effects);
    }

    /// Draws an instance that callers reach.
    fn ready(&mut self) -> usize {
        loop {
            let index = (self.draw() % self.fleet.size() as u64) as usize;
            if self.starts[index] == 0 || self.starts[index] + READY <= self.step {
                return index;
            }
        }
    }

    fn restart(&mut self, index: usize) {
        self.fleet.restart_one(index);
        self.starts[index] = self.step;
        for engine in &mut self.engines {
            engine.works.retain(|work| work.instance != index);
        }
        self.list();
    }

    fn signal(&mut self, work: &Work, signal: event::Signal) {
        let now = self.fleet.now();
        let request = work.request;
        let effects = self.apply(
            work.instance,
            now,
            event::Event::Attempt { request, signal },
        );
        self.perform(work.instance, effects);
    }

    fn apply(&mut self, index: usize, now: time::Time, event: event::Event) -> Vec<effect::Effect> {
        self.fleet.instance(index).apply(now, event)
    }

    fn perform(&mut self, instance: usize, effects: Vec<effect::Effect>) {
        for effect in effects {
            match effect {
                effect::Effect::Send { request, dispatch } => {
                    self.send(instance, request, &dispatch.choice.engine);
                }
                effect::Effect::Refuse {
                    request, refusal, ..
                } => {
                    let fingerprint = self.asks.remove(&(instance, request));
                    let is_blamed = refusal.code == refusal::Code::Suspect;
                    self.outcome.blocked +=
                        u64::from(is_blamed && fingerprint != Some(CRASHING_REQUEST));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, instance: usize, request: u64, name: &name::Name) {
        let fingerprint = self.asks[&(instance, request)];
        let named = self.engines.iter().position(|e| e.entry.name == *name);
        let index = named.expect("a known engine");
        let mut work = Work {
            instance,
            request,
            fingerprint,
            due: self.step + WORK,
        };
        if self.engines[index].ended.is_some() && self.plan.effect != CrashEffect::Silent {
            return self.signal(&work, event::Signal::Unsent);
        }
        if self.engines[index].ended.is_some() {
            work.due = self.step + LEAVE;
        } else if fingerprint == CRASHING_REQUEST {
            let since = self.starts[instance];
            let at = self.step;
            self.outcome.runs.push(Run { at, since });
            work.due = self.step + FUSE;
        }
        self.engines[index].works.push(work);
    }

    fn draw(&mut self) -> u64 {
        self.noise = self
            .noise
            .wrapping_mul(0x5851_f42d_4c95_7f2d)
            .wrapping_add(1);
        self.noise >> 33
    }
}
