//! Engines that leave or die, and the streams on them.

use guavausher_core::routing;
use guavausher_core::routing::reclaim;
use guavausher_core::time;

use crate::engine;
use crate::entry;
use crate::schedule;
use crate::setup;

use super::Sim;

/// Delay until an entry notices a dead engine, in microseconds.
const LOSS_MICROS: u64 = 50_000;

impl Sim {
    pub(super) fn fault(&mut self, kind: setup::Kind) {
        match kind {
            setup::Kind::Notice { domain, dies_at } => self.notice(domain, dies_at),
            setup::Kind::Reclaim { domain } => self.kill(|place| place == domain),
            setup::Kind::Outage => self.kill(|_| true),
        }
    }

    /// Tells every entry that engines leave, and plans how their streams do.
    pub(super) fn notice(&mut self, domain: usize, dies_at: u64) {
        if self.policy != entry::Policy::Core {
            return;
        }
        for engine in 0..self.engines.len() {
            if self.domains[engine] != domain {
                continue;
            }
            let upstream = entry::engine_name(engine);
            for entry in 0..self.entries.len() {
                self.entries[entry].fleet.mark_leaving(&upstream, 0);
                let attempts = self.entries[entry].fleet.attempts_at(&upstream);
                self.plan_moves(&attempts, dies_at);
            }
        }
    }

    pub(super) fn plan_moves(&mut self, attempts: &[u64], dies_at: u64) {
        let streams: Vec<_> = attempts
            .iter()
            .map(|&attempt| self.stream(attempt))
            .collect();
        let dies_at = time::Time::from_micros(dies_at);
        for step in reclaim::plan(self.time(), dies_at, &streams, &engine::SPEEDS) {
            if step.action != reclaim::Action::Finish {
                self.push(step.at.as_micros(), schedule::Event::Move(step.attempt));
            }
        }
    }

    pub(super) fn stream(&self, attempt: u64) -> reclaim::Stream {
        let request = (attempt / 16) as usize;
        let arrival = &self.arrivals[request];
        let produced = self.requests[request].produced;
        reclaim::Stream {
            attempt,
            priority: arrival.priority,
            kv_tokens: arrival.prompt + produced,
            remaining: arrival.output.saturating_sub(produced),
        }
    }

    /// Ends an attempt at an engine that leaves and goes on elsewhere.
    pub(super) fn relocate(&mut self, attempt: u64) {
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

    pub(super) fn kill(&mut self, hits: impl Fn(usize) -> bool) {
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
                    schedule::Event::Lost {
                        request,
                        attempt,
                        refused: false,
                    },
                );
            }
        }
    }
}
