//! Weighted fair queue of one service.

use std::collections;
use std::time::Duration;

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
    /// Returns whether a ticket may run at once, without passing anyone who waits.
    pub fn has_room(&self, now: time::Time, ticket: &ticket::Ticket) -> bool {
        self.waiting == 0 && self.fits(now, &key(ticket))
    }

    /// Returns whether another ticket of this workspace and class may wait.
    pub fn is_full(&self, ticket: &ticket::Ticket) -> bool {
        let flow = self.flows.get(&key(ticket));
        self.waiting >= MAX_QUEUE || flow.is_some_and(|flow| flow.tickets.len() >= MAX_FLOW)
    }

    /// Returns the expected wait of a ticket offered now.
    pub fn wait(&self, ticket: &ticket::Ticket) -> Duration {
        let own = self.flows.get(&key(ticket));
        let mine = own.map_or(0, |flow| flow.tickets.len()) + 1;
        let weight = own.map_or(1, |flow| flow.weight).max(1);
        let ahead: f64 = self
            .flows
            .iter()
            .map(|(other, flow)| {
                let turns = mine as f64 * f64::from(flow.weight.max(1)) / f64::from(weight);
                let turns = turns * class_share(other.priority, ticket.priority);
                turns.min(flow.tickets.len() as f64)
            })
            .sum();
        let hold = self.hold.unwrap_or(HOLD_MICROS);
        let micros = hold * (ahead + 1.0) / f64::from(self.capacity.max(1));
        Duration::from_micros(micros as u64)
    }

    /// Adds a ticket to its flow.
    pub fn push(&mut self, now: time::Time, ticket: ticket::Ticket, last: time::Time, weight: u32) {
        self.see(now, &ticket, weight);
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
    pub fn run(&mut self, now: time::Time, ticket: &ticket::Ticket, weight: u32) {
        self.see(now, ticket, weight);
        let clock = self.clock;
        let cost = u64::from(ticket.cost.max(1)) * 1024 / u64::from(weight.max(1));
        let flow = self.flows.entry(key(ticket)).or_default();
        flow.finish = flow.finish.max(clock) + cost;
        self.count(ticket);
    }

    /// Takes the next ticket that may run.
    pub fn pop(&mut self, now: time::Time) -> Option<ticket::Ticket> {
        let quick = self.next(now, declaration::Priority::Quick);
        let long = self.next(now, declaration::Priority::Long);
        let long_turn = self.granted >= QUICK_GRANTS;
        let picked = match (quick, long) {
            (Some(quick), Some(long)) => {
                if long_turn {
                    long
                } else {
                    quick
                }
            }
            (quick, long) => quick.or(long)?,
        };
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

    fn next(&self, now: time::Time, priority: declaration::Priority) -> Option<Key> {
        let flows = self
            .flows
            .iter()
            .filter(|(key, _)| key.priority == priority);
        let heads = flows.filter_map(|(key, flow)| Some((key, flow.tickets.front()?.start)));
        let fitting = heads.filter(|(key, _)| self.fits(now, key));
        fitting
            .min_by_key(|&(_, start)| start)
            .map(|(key, _)| key.clone())
    }

    /// Applies the reserves: for the quick class, and for workspaces below their share.
    fn fits(&self, now: time::Time, key: &Key) -> bool {
        let free = self.capacity.saturating_sub(self.running);
        if free == 0 {
            return false;
        }
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
        free > reserve || self.is_below_share(now, key)
    }

    fn is_below_share(&self, now: time::Time, key: &Key) -> bool {
        let mut weights = collections::BTreeMap::new();
        let mut mine = 0;
        for (other, flow) in &self.flows {
            let present =
                flow.running > 0 || !flow.tickets.is_empty() || flow.seen.after(PRESENCE) > now;
            if present || other.workspace == key.workspace {
                weights.insert(&other.workspace, flow.weight.max(1));
            }
            if other.workspace == key.workspace {
                mine += flow.running;
            }
        }
        let total: u32 = weights.values().sum();
        let weight = weights.get(&key.workspace).copied().unwrap_or(1);
        let alone = weights.len() <= 1;
        let share = u64::from(self.capacity) * u64::from(weight) / u64::from(total.max(1));
        alone || u64::from(mine) < share.max(1)
    }

    fn see(&mut self, now: time::Time, ticket: &ticket::Ticket, weight: u32) {
        if ticket.priority == declaration::Priority::Quick {
            self.quick_seen = Some(now);
        }
        let flow = self.flows.entry(key(ticket)).or_default();
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
