//! Requests at their entries: admission, dispatch, retries and what ends them.

use guavausher_core::admission;
use guavausher_core::retry;
use guavausher_core::routing;
use guavausher_core::time;

use crate::engine;
use crate::entry;
use crate::request;
use crate::schedule;

use super::{MAX_ATTEMPTS, Sim};

/// Retries that a baseline makes.
const BASELINE_RETRIES: u32 = 2;
/// Longest time that a cut stream waits for a chance to resume, in microseconds.
const RESUME_MICROS: u64 = 20_000_000;

impl Sim {
    /// Offers a request to its entry's admission, or resumes it if it was admitted before.
    pub(super) fn arrive(&mut self, index: usize) {
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

    pub(super) fn schedule_wake(&mut self, entry: usize) {
        if let Some(at) = self.entries[entry].admission.wake() {
            self.push(
                at.as_micros().max(self.now + 1),
                schedule::Event::Wake(entry),
            );
        }
    }

    pub(super) fn poll(&mut self, entry: usize) {
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

    pub(super) fn query(&self, index: usize) -> routing::Query {
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

    pub(super) fn dispatch(&mut self, index: usize) {
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
        self.push(at, schedule::Event::Reach { engine, job });
    }

    /// Waits for room if the deadline allows it; a resumed stream always waits.
    pub(super) fn postpone(&mut self, index: usize, at: time::Time) {
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
        self.push(at, schedule::Event::Again(index));
    }

    /// Handles an attempt that was refused or cut by a dead engine.
    pub(super) fn lost(&mut self, request: usize, attempt: u64, refused: bool) {
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
    pub(super) fn give_up(&mut self, request: usize) {
        let (now, entry) = (self.time(), self.arrivals[request].entry);
        let waits = self.requests[request].first.is_some()
            && self.now < self.requests[request].last + RESUME_MICROS;
        if waits && self.policy == entry::Policy::Core {
            let delay = retry::backoff(request as u64, self.requests[request].attempts + 3);
            return self.push(
                self.now + delay.as_micros() as u64,
                schedule::Event::Resume(request),
            );
        }
        self.requests[request].refused = true;
        self.entries[entry]
            .admission
            .release(now, request as u64, false);
        self.poll(entry);
    }

    pub(super) fn resume(&mut self, request: usize) {
        match self.may_retry(request) {
            true => self.dispatch(request),
            false => self.give_up(request),
        }
    }

    pub(super) fn may_retry(&mut self, request: usize) -> bool {
        let (now, entry) = (self.time(), self.arrivals[request].entry);
        let made = self.requests[request].attempts;
        if self.policy != entry::Policy::Core {
            return made <= BASELINE_RETRIES;
        }
        let streaming = self.requests[request].first.is_some();
        let free = streaming && !self.entries[entry].fleet.is_failing(&self.service);
        made < MAX_ATTEMPTS && (free || self.entries[entry].budget.spend(now, &self.service))
    }
}
