//! Weighted fair queue of one service.

use std::collections;
use std::time::Duration;

use super::shares;
use super::ticket;
use crate::declaration;
use crate::name;
use crate::time;

/// Tickets of one workspace and class that may wait.
const MAX_FLOW: usize = 64;
/// Tickets of one service that may wait.
const MAX_QUEUE: usize = 1024;
/// Grants of the quick class for each one of the long class while both wait.
const QUICK_GRANTS: u32 = 4;
/// Share of a new sample in a moving average.
const GAIN: f64 = 0.1;
/// Time in progress before any sample, in microseconds.
const HOLD_MICROS: f64 = 1_000_000.0;
/// Slots kept for the quick class and for other workspaces, as a divisor of capacity.
const RESERVE_DIVISOR: u32 = 8;
/// Slots that heavy workspaces may fill, as a divisor of capacity.
const HEAVY_DIVISOR: u32 = 2;
/// Time in which offered demand fades to about a third.
const DEMAND_MEMORY: Duration = Duration::from_secs(20);
/// How long a class or workspace counts as present after its last ticket.
const PRESENCE: Duration = Duration::from_secs(10);

/// Waiting and running requests of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    /// Requests that may run at once.
    pub capacity: u32,
    flows: collections::BTreeMap<Key, Flow>,
    granted: u32,
    hold: Option<f64>,
    long_running: u32,
    quick_seen: Option<time::Time>,
    running: u32,
    waiting: usize,
    clock: u64,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Key {
    priority: declaration::Priority,
    workspace: name::Name,
}

/// Requests of one workspace and class.
#[derive(Clone, Debug, Default)]
struct Flow {
    demand: f64,
    finish: u64,
    running: u32,
    seen: time::Time,
    tickets: collections::VecDeque<Waiting>,
    weight: u32,
}

#[derive(Clone, Debug)]
struct Waiting {
    last: time::Time,
    start: u64,
    ticket: ticket::Ticket,
}

impl Queue {
    /// Returns whether a ticket may run at once, without passing anyone who could run too.
    pub fn can_start(&self, now: time::Time, ticket: &ticket::Ticket, weight: u32) -> bool {
        let key = key(ticket);
        if self
            .flows
            .get(&key)
            .is_some_and(|flow| !flow.tickets.is_empty())
        {
            return false;
        }
        let mut shares = self.shares(now);
        shares.add(&ticket.workspace, weight, 0, 0.0);
        if !self.fits(now, &key, &shares) {
            return false;
        }
        let mut waiting = self
            .flows
            .iter()
            .filter(|(_, flow)| !flow.tickets.is_empty());
        !waiting.any(|(other, _)| self.fits(now, other, &shares))
    }

    /// Returns whether another ticket of this workspace and class may wait.
    pub fn is_full(&self, ticket: &ticket::Ticket) -> bool {
        let flow = self.flows.get(&key(ticket));
        self.waiting >= MAX_QUEUE || flow.is_some_and(|flow| flow.tickets.len() >= MAX_FLOW)
    }

    /// Returns the expected wait of a ticket offered now.
    pub fn expected_wait(&self, now: time::Time, ticket: &ticket::Ticket, weight: u32) -> Duration {
        let key = key(ticket);
        let mut shares = self.shares(now);
        shares.add(&key.workspace, weight, 0, 0.0);
        let tier = shares.tier(&key.workspace, self.capacity);
        let mine = 1 + self.flows.get(&key).map_or(0, |flow| flow.tickets.len());
        let rivals = self.flows.iter().filter(|(other, flow)| {
            !flow.tickets.is_empty() && shares.tier(&other.workspace, self.capacity) <= tier
        });
        let ahead = rivals.map(|(other, flow)| {
            let ratio = f64::from(flow.weight.max(1)) / f64::from(weight.max(1));
            let turns = mine as f64 * ratio * class_share(other.priority, key.priority);
            turns.min(flow.tickets.len() as f64)
        });
        let hold = self.hold.unwrap_or(HOLD_MICROS);
        let micros = hold * (ahead.sum::<f64>() + 1.0) / f64::from(self.capacity.max(1));
        Duration::from_micros(micros as u64)
    }

    /// Adds a ticket to its flow.
    pub fn push(&mut self, ticket: ticket::Ticket, last: time::Time, weight: u32) {
        let clock = self.clock;
        let cost = u64::from(ticket.cost.max(1)) * 1024 / u64::from(weight.max(1));
        let flow = self.flows.entry(key(&ticket)).or_default();
        let start = flow.finish.max(clock);
        flow.finish = start + cost;
        flow.tickets.push_back(Waiting {
            last,
            start,
            ticket,
        });
        self.waiting += 1;
    }

    /// Counts a ticket that runs at once.
    pub fn start(&mut self, ticket: &ticket::Ticket, weight: u32) {
        let clock = self.clock;
        let cost = u64::from(ticket.cost.max(1)) * 1024 / u64::from(weight.max(1));
        let flow = self.flows.entry(key(ticket)).or_default();
        flow.finish = flow.finish.max(clock) + cost;
        self.count(ticket);
    }

    /// Takes the next ticket that may run.
    pub fn pop(&mut self, now: time::Time) -> Option<ticket::Ticket> {
        let picked = self.next(now)?;
        self.granted = match picked.priority {
            declaration::Priority::Quick => self.granted.saturating_add(1),
            declaration::Priority::Long => 0,
        };
        let flow = self.flows.get_mut(&picked)?;
        let waiting = flow.tickets.pop_front()?;
        self.waiting -= 1;
        self.clock = self.clock.max(waiting.start);
        self.count(&waiting.ticket);
        Some(waiting.ticket)
    }

    /// Takes the waiting tickets that can no longer meet their deadline.
    pub fn expire(&mut self, now: time::Time) -> Vec<ticket::Ticket> {
        let mut expired = Vec::new();
        for flow in self.flows.values_mut() {
            flow.tickets.retain(|waiting| {
                let keep = waiting.last > now;
                if !keep {
                    expired.push(waiting.ticket.clone());
                }
                keep
            });
        }
        self.waiting -= expired.len();
        self.flows.retain(|_, flow| {
            flow.running > 0 || !flow.tickets.is_empty() || flow.seen.after(PRESENCE) > now
        });
        expired
    }

    /// Removes a waiting ticket; returns whether it was there.
    pub fn remove(&mut self, request: u64) -> bool {
        for flow in self.flows.values_mut() {
            let before = flow.tickets.len();
            flow.tickets
                .retain(|waiting| waiting.ticket.request != request);
            if flow.tickets.len() < before {
                self.waiting -= 1;
                return true;
            }
        }
        false
    }

    /// Frees the slot of a running ticket.
    pub fn release(&mut self, ticket: &ticket::Ticket, held: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        if ticket.priority == declaration::Priority::Long {
            self.long_running = self.long_running.saturating_sub(1);
        }
        if let Some(flow) = self.flows.get_mut(&key(ticket)) {
            flow.running = flow.running.saturating_sub(1);
        }
        if let Some(held) = held {
            let sample = held.as_micros() as f64;
            let old = self.hold.unwrap_or(sample);
            self.hold = Some(old + GAIN * (sample - old));
        }
    }

    /// Returns the earliest deadline that waits.
    pub fn wake(&self) -> Option<time::Time> {
        let flows = self.flows.values();
        let waiting = flows.flat_map(|flow| flow.tickets.iter());
        waiting.map(|waiting| waiting.last).min()
    }

    /// Returns the flow whose turn it is: the lightest workspaces first, then by class.
    fn next(&self, now: time::Time) -> Option<Key> {
        let shares = self.shares(now);
        let waiting = self
            .flows
            .iter()
            .filter(|(_, flow)| !flow.tickets.is_empty());
        let fitting = waiting.filter(|(key, _)| self.fits(now, key, &shares));
        let long_turn = self.granted >= QUICK_GRANTS;
        let best = fitting.min_by_key(|(key, flow)| {
            let tier = shares.tier(&key.workspace, self.capacity);
            let later = (key.priority == declaration::Priority::Long) != long_turn;
            (
                tier,
                later,
                flow.tickets.front().map(|waiting| waiting.start),
            )
        });
        best.map(|(key, _)| key.clone())
    }

    /// Applies the reserves: for the quick class, and for workspaces within their share.
    fn fits(&self, now: time::Time, key: &Key, shares: &shares::Shares) -> bool {
        let reserve = self.capacity / RESERVE_DIVISOR;
        let quick_near = self
            .quick_seen
            .is_some_and(|seen| seen.after(PRESENCE) > now);
        if key.priority == declaration::Priority::Long
            && quick_near
            && self.long_running >= self.capacity.saturating_sub(reserve).max(1)
        {
            return false;
        }
        let limit = match shares.tier(&key.workspace, self.capacity) {
            shares::Tier::Within => self.capacity + reserve,
            shares::Tier::Beyond => self.capacity,
            shares::Tier::Heavy => (self.capacity / HEAVY_DIVISOR).max(1).min(self.capacity),
        };
        self.running < limit
    }

    fn shares(&self, now: time::Time) -> shares::Shares {
        let mut shares = shares::Shares::default();
        for (key, flow) in &self.flows {
            if flow.running > 0 || !flow.tickets.is_empty() || flow.seen.after(PRESENCE) > now {
                shares.add(&key.workspace, flow.weight, flow.running, flow.demand(now));
            }
        }
        shares
    }

    /// Notes an offered ticket, whether or not it is admitted.
    pub fn record_offer(&mut self, now: time::Time, ticket: &ticket::Ticket, weight: u32) {
        if ticket.priority == declaration::Priority::Quick {
            self.quick_seen = Some(now);
        }
        let flow = self.flows.entry(key(ticket)).or_default();
        flow.demand = flow.demand(now) + f64::from(ticket.cost);
        flow.seen = now;
        flow.weight = weight;
    }

    fn count(&mut self, ticket: &ticket::Ticket) {
        self.running = self.running.saturating_add(1);
        if ticket.priority == declaration::Priority::Long {
            self.long_running = self.long_running.saturating_add(1);
        }
        let flow = self.flows.entry(key(ticket)).or_default();
        flow.running = flow.running.saturating_add(1);
    }
}

impl Flow {
    /// Returns the recently offered tokens, older ones counting less.
    fn demand(&self, now: time::Time) -> f64 {
        let age = self.seen.until(now).as_secs_f64() / DEMAND_MEMORY.as_secs_f64();
        self.demand * (-age).exp()
    }
}

fn key(ticket: &ticket::Ticket) -> Key {
    Key {
        priority: ticket.priority,
        workspace: ticket.workspace.clone(),
    }
}

/// Returns how many grants `other` gets for each one of `own`.
fn class_share(other: declaration::Priority, own: declaration::Priority) -> f64 {
    match (other, own) {
        (declaration::Priority::Quick, declaration::Priority::Long) => f64::from(QUICK_GRANTS),
        (declaration::Priority::Long, declaration::Priority::Quick) => {
            1.0 / f64::from(QUICK_GRANTS)
        }
        _ => 1.0,
    }
}
