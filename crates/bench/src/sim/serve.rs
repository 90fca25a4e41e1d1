//! Engines at work: what they begin, emit and report.

use rand::Rng as _;

use crate::engine;
use crate::entry;
use crate::schedule;

use super::{REPORT_MICROS, Sim};

/// Delay of cache events in microseconds, from and to.
const CACHE_DELAY: (u64, u64) = (200_000, 1_500_000);
/// Cache events that never arrive, in percent.
const CACHE_LOSS_PERCENT: u32 = 10;
/// Delay of load reports in microseconds, from and to.
const REPORT_DELAY: (u64, u64) = (100_000, 600_000);

impl Sim {
    pub(super) fn reach(&mut self, engine: usize, job: engine::Job) {
        let request = (job.attempt / 16) as usize;
        let attempt = job.attempt;
        let up = self.engines[engine].up;
        if !self.engines[engine].offer(job) {
            let at = self.now + self.link(self.arrivals[request].entry, engine);
            return self.push(
                at,
                schedule::Event::Lost {
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

    pub(super) fn begin(&mut self, engine: usize) {
        let mut outputs = std::mem::take(&mut self.outputs[engine]);
        outputs.clear();
        let length = self.engines[engine].step(&mut self.seen, &mut outputs);
        self.outputs[engine] = outputs;
        self.engines[engine].busy = true;
        self.push(self.now + length, schedule::Event::Step(engine));
    }

    pub(super) fn step(&mut self, engine: usize) {
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

    pub(super) fn emit(&mut self, engine: usize, output: engine::Output) {
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
                    self.push(at, schedule::Event::First { request, attempt });
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
                    schedule::Event::Finished {
                        request,
                        attempt,
                        prompt,
                        cached,
                    },
                );
            }
        }
    }

    pub(super) fn publish(&mut self, engine: usize) {
        let again = self.now + REPORT_MICROS;
        if again < self.end {
            self.push(again, schedule::Event::Publish(engine));
        }
        if !self.engines[engine].up || self.policy != entry::Policy::Core {
            return;
        }
        let load = self.engines[engine].load(self.time());
        let event = self.engines[engine].take_event();
        for entry in 0..self.entries.len() {
            let at = self.now + self.rng.random_range(REPORT_DELAY.0..REPORT_DELAY.1);
            self.push(
                at,
                schedule::Event::Report {
                    entry,
                    engine,
                    load,
                },
            );
            if self.rng.random_range(0..100) >= CACHE_LOSS_PERCENT {
                let at = self.now + self.rng.random_range(CACHE_DELAY.0..CACHE_DELAY.1);
                self.push(
                    at,
                    schedule::Event::Cache {
                        entry,
                        engine,
                        event: event.clone(),
                    },
                );
            }
        }
    }
}
