//! Admission controller of one node.

use std::collections;
use std::time::Duration;

use super::decision;
use super::limits;
use super::queue;
use super::refusal;
use super::ticket;
use crate::declaration;
use crate::name;
use crate::time;

/// Longest time after which a refused caller is told to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Shortest time after which a refused caller is told to retry, in microseconds.
const MIN_RETRY_AFTER_MICROS: u64 = 50_000;
/// Time before the deadline that is reserved for the upstream, at most.
const MAX_SERVICE_TIME: Duration = Duration::from_secs(1);
/// The same as a share of the time to the deadline, as a divisor.
const SERVICE_DIVISOR: u32 = 3;
/// Largest jitter, as a share of the time to the retry.
const MAX_JITTER: f64 = 0.5;

/// Decides which requests run now, wait in a queue or are refused.
#[derive(Clone, Debug)]
pub struct Controller {
    queues: collections::BTreeMap<name::Name, queue::Queue>,
    rng: rand::rngs::SmallRng,
    tickets: collections::HashMap<u64, Open>,
    workspaces: collections::BTreeMap<name::Name, limits::Limits>,
}

/// The outcome of one poll.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PollOutcome {
    /// Queued requests that may be dispatched now.
    pub granted: Vec<u64>,
    /// Queued requests that cannot be served in time; they have not run.
    pub refused: Vec<refusal::Refusal>,
}

#[derive(Clone, Debug)]
struct Open {
    ticket: ticket::Ticket,
    granted: Option<time::Time>,
}

impl Controller {
    /// Builds a controller without workspaces and capacity.
    pub fn new(seed: u64) -> Self {
        use rand::SeedableRng as _;
        Self {
            queues: collections::BTreeMap::new(),
            rng: rand::rngs::SmallRng::seed_from_u64(seed),
            tickets: collections::HashMap::new(),
            workspaces: collections::BTreeMap::new(),
        }
    }

    /// Applies a declaration; open requests keep their place in the queues.
    ///
    /// Until the first [`Controller::set_capacity`] a service has its declared slots.
    pub fn declare(&mut self, _now: time::Time, declaration: &declaration::Declaration) {
        let old = std::mem::take(&mut self.workspaces);
        for workspace in &declaration.workspaces {
            let mut limits = old.get(&workspace.name).copied().unwrap_or_default();
            limits.weight = workspace.weight;
            limits.rate = workspace.rate;
            limits.concurrency = workspace.concurrency;
            self.workspaces.insert(workspace.name.clone(), limits);
        }
        for service in &declaration.services {
            if self.queues.contains_key(&service.name) {
                continue;
            }
            let upstreams = declaration
                .upstreams
                .iter()
                .filter(|u| u.service == service.name);
            let queue = self.queues.entry(service.name.clone()).or_default();
            queue.capacity = upstreams.map(|upstream| upstream.slots).sum();
        }
    }

    /// Sets how many requests of a service this node may have in progress.
    pub fn set_capacity(&mut self, _now: time::Time, service: &name::Name, slots: u32) {
        self.queues.entry(service.clone()).or_default().capacity = slots;
    }

    /// Decides about a new request.
    pub fn offer(&mut self, now: time::Time, ticket: ticket::Ticket) -> decision::Decision {
        let Some(limits) = self.workspaces.get_mut(&ticket.workspace) else {
            let reason = refusal::Reason::UnknownWorkspace;
            return self.refuse(now, &ticket, reason, now.after(MAX_RETRY_AFTER));
        };
        let queue = self.queues.entry(ticket.service.clone()).or_default();
        let weight = limits.weight;
        queue.record_offer(now, &ticket, weight);
        let wait = queue.expected_wait(now, &ticket, weight);
        if limits.open >= limits.concurrency {
            return self.refuse(now, &ticket, refusal::Reason::Concurrency, now.after(wait));
        }
        if let Err(fits_at) = limits.bucket.take(now, limits.rate) {
            return self.refuse(now, &ticket, refusal::Reason::Rate, fits_at);
        }
        if queue.can_start(now, &ticket, weight) {
            limits.open += 1;
            queue.start(&ticket, weight);
            let open = Open {
                ticket,
                granted: Some(now),
            };
            self.tickets.insert(open.ticket.request, open);
            return decision::Decision::Admit;
        }
        if queue.is_full(&ticket) {
            return self.refuse(now, &ticket, refusal::Reason::QueueFull, now.after(wait));
        }
        let latest = latest_grant(now, ticket.deadline);
        if now.after(wait) > latest {
            return self.refuse(now, &ticket, refusal::Reason::Deadline, now.after(wait));
        }
        limits.open += 1;
        queue.push(ticket.clone(), latest, weight);
        self.tickets.insert(
            ticket.request,
            Open {
                ticket,
                granted: None,
            },
        );
        decision::Decision::Queue
    }

    /// Ends an admitted or queued request; only a completed one updates the mean time in a slot.
    pub fn release(&mut self, now: time::Time, request: u64, completed: bool) {
        let Some(open) = self.tickets.remove(&request) else {
            return;
        };
        if let Some(limits) = self.workspaces.get_mut(&open.ticket.workspace) {
            limits.open = limits.open.saturating_sub(1);
        }
        let Some(queue) = self.queues.get_mut(&open.ticket.service) else {
            return;
        };
        match open.granted {
            Some(granted) => {
                let length = completed.then(|| granted.until(now));
                queue.release(&open.ticket, length);
            }
            None => {
                queue.remove(request);
            }
        }
    }

    /// Grants queued requests that fit now and refuses those that can no longer meet their
    /// deadline.
    pub fn poll(&mut self, now: time::Time) -> PollOutcome {
        let mut outcome = PollOutcome::default();
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            expired.extend(queue.expire(now));
            while let Some(ticket) = queue.pop(now) {
                outcome.granted.push(ticket.request);
            }
        }
        for request in &outcome.granted {
            if let Some(open) = self.tickets.get_mut(request) {
                open.granted = Some(now);
            }
        }
        for ticket in expired {
            self.tickets.remove(&ticket.request);
            let mut weight = 1;
            if let Some(limits) = self.workspaces.get_mut(&ticket.workspace) {
                limits.open = limits.open.saturating_sub(1);
                weight = limits.weight;
            }
            let queue = self.queues.get(&ticket.service);
            let wait = queue.map(|queue| queue.expected_wait(now, &ticket, weight));
            let retry_at = now.after(wait.unwrap_or(MAX_RETRY_AFTER));
            let refusal = self.refusal(now, &ticket, refusal::Reason::Deadline, retry_at);
            outcome.refused.push(refusal);
        }
        outcome
    }

    /// Returns the earliest deadline of a queued request.
    pub fn wake(&self) -> Option<time::Time> {
        self.queues.values().filter_map(queue::Queue::wake).min()
    }

    fn refuse(
        &mut self,
        now: time::Time,
        ticket: &ticket::Ticket,
        reason: refusal::Reason,
        retry_at: time::Time,
    ) -> decision::Decision {
        decision::Decision::Refuse(self.refusal(now, ticket, reason, retry_at))
    }

    /// Adds jitter to the time of the retry, so that refused callers do not retry at once.
    fn refusal(
        &mut self,
        now: time::Time,
        ticket: &ticket::Ticket,
        reason: refusal::Reason,
        retry_at: time::Time,
    ) -> refusal::Refusal {
        use rand::Rng as _;
        let wait = now.until(retry_at).min(MAX_RETRY_AFTER).as_micros() as u64;
        let wait = wait.max(MIN_RETRY_AFTER_MICROS) as f64;
        let spread = wait * (1.0 + self.rng.random_range(0.0..MAX_JITTER));
        refusal::Refusal {
            request: ticket.request,
            reason,
            retry_at: now.after(Duration::from_micros(spread as u64)),
        }
    }
}

/// Returns the latest time at which a grant can still meet a deadline.
fn latest_grant(now: time::Time, deadline: time::Time) -> time::Time {
    let left = now.until(deadline);
    let reserved = MAX_SERVICE_TIME.min(left / SERVICE_DIVISOR);
    now.after(left.saturating_sub(reserved))
}
