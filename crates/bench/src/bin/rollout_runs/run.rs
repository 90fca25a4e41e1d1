//! One rollout from its declaration to its deadline.

use std::cmp;
use std::collections;

use guavausher_core::rollout;
use guavausher_core::time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fault;
use crate::fleet;
use crate::noise;
use crate::outcome;
use crate::service;

const ENTRIES: usize = 9;
const SECOND: u64 = 1_000_000;
/// How often entries report and the controller decides.
const TICK: u64 = SECOND / 2;
/// Time that a fact or document takes to reach every entry.
const SPREAD: u64 = SECOND / 2;
const START: u64 = 1_000 * SECOND;

/// State of one run.
pub struct Run {
    rng: SmallRng,
    fleet: fleet::Fleet,
    entries: Vec<Entry>,
    controller: Option<rollout::Evidence>,
    status: rollout::Status,
    reports: Vec<rollout::Report>,
    events: collections::BinaryHeap<cmp::Reverse<(u64, u64)>>,
    pending: collections::BTreeMap<u64, Pending>,
    serial: u64,
    shown: Option<u64>,
    window: u64,
    rate: f64,
    outage: noise::Stretch,
    crash: noise::Stretch,
    halt: Option<u64>,
    ended: Option<u64>,
    outcome: outcome::Outcome,
}

struct Entry {
    split: rollout::Split,
    monitor: rollout::Monitor,
    requests: u64,
    moved: u64,
}

enum Pending {
    Arrival,
    Tick,
    Adopt(rollout::Status),
    Halt,
    Kill(usize),
    End(End),
}

struct End {
    entry: usize,
    upstream: usize,
    route: usize,
    sample: rollout::Sample,
}

impl Run {
    /// Draws a run.
    pub fn new(seed: u64, index: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(index));
        let fault = (index % 2 == 1).then(|| fault::Fault::draw(&mut rng, index / 2));
        let window = rng.random_range(90..300) * SECOND;
        let half = if rng.random_bool(0.5) { 10 } else { 20 };
        let is_light = index / 2 % 5 == 4;
        let load = rng.random_range(if is_light { 0.05..0.15 } else { 0.5..0.75 });
        let status = rollout::start(
            time::Time::from_micros(START),
            &service::declare(&mut rng, START + window),
            7,
        );
        let entry = |_| Entry {
            split: rollout::Split::new(),
            monitor: rollout::Monitor::new(),
            requests: 0,
            moved: 0,
        };
        let fleet = fleet::Fleet {
            upstreams: (0..2 * half).map(|i| upstream(i >= half)).collect(),
            fault,
            onset: START + onset(fault, window),
            congestion: noise::Stretch::draw(&mut rng, window),
        };
        let outcome = outcome::Outcome {
            fault,
            phase: status.phase,
            reason: String::new(),
            harmed: 0,
            noticed: 0,
            excess: 0,
            lingered: 0,
            spare: 0,
        };
        Self {
            fleet,
            entries: (0..ENTRIES).map(entry).collect(),
            controller: None,
            status,
            reports: Vec::new(),
            events: collections::BinaryHeap::new(),
            pending: collections::BTreeMap::new(),
            serial: 0,
            shown: None,
            window,
            rate: load * (half * fleet::SLOTS) as f64 / 0.75,
            outage: noise::Stretch::draw(&mut rng, window),
            crash: noise::Stretch::draw(&mut rng, window),
            halt: None,
            ended: None,
            outcome,
            rng,
        }
    }

    /// Plays the run until its deadline.
    pub fn play(mut self) -> outcome::Outcome {
        let mut now = START - 20 * SECOND;
        self.schedule(now, Pending::Arrival);
        self.schedule(START, Pending::Adopt(self.status.clone()));
        self.schedule(START, Pending::Tick);
        if self.rng.random_bool(0.5) {
            let at = START + self.rng.random_range(0..self.window);
            let index = self.rng.random_range(0..self.fleet.upstreams.len());
            self.schedule(at, Pending::Kill(index));
        }
        while now < START + self.window {
            let Some(cmp::Reverse((at, serial))) = self.events.pop() else {
                break;
            };
            now = at;
            if let Some(event) = self.pending.remove(&serial) {
                self.handle(now, event);
            }
        }
        self.finish()
    }

    fn handle(&mut self, now: u64, event: Pending) {
        match event {
            Pending::Arrival => self.arrive(now),
            Pending::End(end) => self.end(now, &end),
            Pending::Tick => self.tick(now),
            Pending::Adopt(status) => self.adopt(&status),
            Pending::Halt => self.spread_halt(),
            Pending::Kill(index) => self.kill(now, index),
        }
    }

    fn arrive(&mut self, now: u64) {
        let next = now + noise::arrival(&mut self.rng, self.rate);
        self.schedule(next, Pending::Arrival);
        let index = self.rng.random_range(0..ENTRIES);
        let route = pick_route(&mut self.rng);
        let entry = &mut self.entries[index];
        let is_new = entry.split.choose(&service::service(), &service::old()) == service::new();
        entry.requests += 1;
        entry.moved += u64::from(is_new);
        if is_new && self.status.phase == rollout::Phase::Canary {
            let allowed =
                entry.requests * u64::from(self.status.limit) / u64::from(rollout::FULL_SHARE);
            self.outcome.excess = self.outcome.excess.max(entry.moved.saturating_sub(allowed));
        }
        if let Some(halt) = self.halt.filter(|_| is_new) {
            self.outcome.lingered = self.outcome.lingered.max(now - halt);
        }
        let upstream = self.fleet.choose(&mut self.rng, is_new);
        let fate = self.fleet.begin(&mut self.rng, now, upstream, route);
        if fate.is_harmed {
            self.outcome.harmed += 1;
            self.shown.get_or_insert(now);
        }
        let end = End {
            entry: index,
            upstream,
            route,
            sample: fate.sample,
        };
        self.schedule(now + fate.duration, Pending::End(end));
    }

    fn end(&mut self, now: u64, end: &End) {
        let upstream = &mut self.fleet.upstreams[end.upstream];
        upstream.running -= 1;
        let version = if upstream.is_new {
            service::new()
        } else {
            service::old()
        };
        let route = &fleet::route_names()[end.route];
        let now = time::Time::from_micros(now);
        self.entries[end.entry].monitor.record(
            now,
            &service::service(),
            &version,
            route,
            end.sample,
        );
    }

    fn kill(&mut self, now: u64, index: usize) {
        let lost = |event: &Pending| matches!(event, Pending::End(end) if end.upstream == index);
        let lost: Vec<_> = self
            .pending
            .extract_if(.., |_, event| lost(event))
            .collect();
        for (_, event) in lost {
            if let Pending::End(mut end) = event {
                end.sample.failed = true;
                self.end(now, &end);
            }
        }
    }

    fn tick(&mut self, now: u64) {
        self.schedule(now + TICK, Pending::Tick);
        let at = time::Time::from_micros(now);
        for entry in &mut self.entries {
            entry.split.expire(at);
            if !entry.monitor.detect_regressions(at).is_empty() && self.halt.is_none() {
                self.halt = Some(now);
            }
            self.reports.extend(entry.monitor.drain());
        }
        if self.halt == Some(now) {
            self.schedule(now + SPREAD, Pending::Halt);
        }
        self.control(now);
    }

    fn control(&mut self, now: u64) {
        let reports = std::mem::take(&mut self.reports);
        if self.crash.has(now - START) {
            self.controller = None;
            return;
        }
        let fresh = || rollout::Evidence::new(&self.status);
        let evidence = self.controller.get_or_insert_with(fresh);
        let at = time::Time::from_micros(now);
        evidence.add(at, reports.iter());
        match rollout::advance(at, &self.status, evidence, self.halt.is_some()) {
            rollout::Advance::Stay => {}
            rollout::Advance::Step(status) => self.write(now, status),
            rollout::Advance::Halt(status) => {
                if self.halt.is_none() {
                    self.halt = Some(now);
                    self.schedule(now + SPREAD, Pending::Halt);
                }
                self.write(now, status);
            }
        }
    }

    fn write(&mut self, now: u64, status: rollout::Status) {
        if self.outage.has(now - START) {
            return;
        }
        if let Some(evidence) = &mut self.controller {
            evidence.begin_step();
        }
        if status.phase.is_end() {
            self.ended.get_or_insert(now);
        }
        self.status = status.clone();
        self.schedule(now + SPREAD, Pending::Adopt(status));
    }

    fn adopt(&mut self, status: &rollout::Status) {
        for entry in &mut self.entries {
            entry.split.adopt(std::slice::from_ref(status));
            entry.monitor.adopt(std::slice::from_ref(status));
        }
    }

    fn spread_halt(&mut self) {
        for entry in &mut self.entries {
            entry
                .split
                .halt(&service::service(), &service::new(), self.status.generation);
        }
    }

    fn finish(self) -> outcome::Outcome {
        let deadline = START + self.window;
        let left = self.ended.map_or(0, |ended| deadline.saturating_sub(ended));
        let noticed = self.halt.zip(self.shown);
        outcome::Outcome {
            phase: self.status.phase,
            reason: self.status.reason,
            spare: left * 1_000 / self.window,
            noticed: noticed.map_or(0, |(halt, shown)| halt.saturating_sub(shown)),
            ..self.outcome
        }
    }

    fn schedule(&mut self, at: u64, event: Pending) {
        self.serial += 1;
        self.events.push(cmp::Reverse((at, self.serial)));
        self.pending.insert(self.serial, event);
    }
}

fn onset(fault: Option<fault::Fault>, window: u64) -> u64 {
    match fault.map(|fault| fault.trigger) {
        Some(fault::Trigger::Later(part)) => window * part / 1_000,
        _ => 0,
    }
}

fn upstream(is_new: bool) -> fleet::Upstream {
    fleet::Upstream { is_new, running: 0 }
}

fn pick_route(rng: &mut SmallRng) -> usize {
    match rng.random_range(0..7) {
        0..4 => 0,
        4..6 => 1,
        _ => 2,
    }
}
