//! Weighted fair queue of one service.

use std::collections;
use std::time::Duration;

use super::shares;
use super::ticket;
use crate::declaration;
use crate::name;
use crate::time;

/// Tickets of one workspace and class that may wait.
const MAX_FLOW_TICKETS: usize = 64;
/// Tickets of one service that may wait.
const MAX_QUEUE_TICKETS: usize = 1024;
/// Grants to the quick class for each grant to the long class while both wait.
const QUICK_GRANTS: u32 = 4;
/// Share of a new sample in a moving average.
const GAIN: f64 = 0.1;
/// Assumed time in a slot before any sample, in microseconds.
const INITIAL_SLOT_MICROS: f64 = 1_000_000.0;
/// Slots reserved for the quick class and for workspaces within their share, as a divisor of
/// capacity.
const RESERVE_DIVISOR: u32 = 8;
/// Slots up to which heavy workspaces are granted, as a divisor of capacity.
const HEAVY_DIVISOR: u32 = 2;
/// Time constant of the exponential decay of offered demand, which leaves about a third.
const DEMAND_DECAY: Duration = Duration::from_secs(20);
/// How long a class or workspace counts as present after its last ticket.
const PRESENCE_WINDOW: Duration = Duration::from_secs(10);

/// Waiting and running requests of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    /// Requests that may run at once.
    pub capacity: u32,
    flows: collections::BTreeMap<Key, Flow>,
    quick_streak: u32,
    slot_micros: Option<f64>,
    long_running: u32,
    quick_seen: Option<time::Time>,
    running: u32,
    waiting: usize,
    virtual_time: u64,
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
    virtual_finish: u64,
    running: u32,
    last_offer: time::Time,
    tickets: collections::VecDeque<Waiting>,
    weight: u32,
}

#[derive(Clone, Debug)]
struct Waiting {
    latest_grant: time::Time,
    virtual_start: u64,
    ticket: ticket::Ticket,
}

impl Queue {
    /// Returns `true` if a ticket may start at once without overtaking one that could start too.
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
        if !self.has_capacity(now, &key, &shares) {
            return false;
        }
        let mut waiting = self
            .flows
            .iter()
            .filter(|(_, flow)| !flow.tickets.is_empty());
        !waiting.any(|(other, _)| self.has_capacity(now, other, &shares))
    }

    /// Returns `true` if no other ticket of this workspace and class may wait.
    pub fn is_full(&self, ticket: &ticket::Ticket) -> bool {
        let flow = self.flows.get(&key(ticket));
        self.waiting >= MAX_QUEUE_TICKETS
            || flow.is_some_and(|flow| flow.tickets.len() >= MAX_FLOW_TICKETS)
    }

    /// Returns the expected wait of a ticket offered now.
    pub fn expected_wait(&self, now: time::Time, ticket: &ticket::Ticket, weight: u32) -> Duration {
        let key = key(ticket);
        let mut shares = self.shares(now);
        shares.add(&key.workspace, weight, 0, 0.0);
        let tier = shares.tier(&key.workspace, self.capacity);
        let own = 1 + self.flows.get(&key).map_or(0, |flow| flow.tickets.len());
        let competing = self.flows.iter().filter(|(other, flow)| {
            !flow.tickets.is_empty() && shares.tier(&other.workspace, self.capacity) <= tier
        });
        let ahead = competing.map(|(other, flow)| {
            let ratio = f64::from(flow.weight.max(1)) / f64::from(weight.max(1));
            let grants = own as f64 * ratio * class_share(other.priority, key.priority);
            grants.min(flow.tickets.len() as f64)
        });
        let slot_micros = self.slot_micros.unwrap_or(INITIAL_SLOT_MICROS);
        let micros = slot_micros * (ahead.sum::<f64>() + 1.0) / f64::from(self.capacity.max(1));
        Duration::from_micros(micros as u64)
    }

    /// Appends a ticket to its flow.
    pub fn push(&mut self, ticket: ticket::Ticket, latest_grant: time::Time, weight: u32) {
        let virtual_time = self.virtual_time;
        let cost = u64::from(ticket.cost.max(1)) * 1024 / u64::from(weight.max(1));
        let flow = self.flows.entry(key(&ticket)).or_default();
        let virtual_start = flow.virtual_finish.max(virtual_time);
        flow.virtual_finish = virtual_start + cost;
        flow.tickets.push_back(Waiting {
            latest_grant,
            virtual_start,
            ticket,
        });
        self.waiting += 1;
    }

    /// Records a ticket that starts at once.
    pub fn start(&mut self, ticket: &ticket::Ticket, weight: u32) {
        let virtual_time = self.virtual_time;
        let cost = u64::from(ticket.cost.max(1)) * 1024 / u64::from(weight.max(1));
        let flow = self.flows.entry(key(ticket)).or_default();
        flow.virtual_finish = flow.virtual_finish.max(virtual_time) + cost;
        self.record_start(ticket);
    }

    /// Removes and returns the next ticket that may start.
    pub fn pop(&mut self, now: time::Time) -> Option<ticket::Ticket> {
        let key = self.next_flow(now)?;
        self.quick_streak = match key.priority {
            declaration::Priority::Quick => self.quick_streak.saturating_add(1),
            declaration::Priority::Long => 0,
        };
        let flow = self.flows.get_mut(&key)?;
        let waiting = flow.tickets.pop_front()?;
        self.waiting -= 1;
        self.virtual_time = self.virtual_time.max(waiting.virtual_start);
        self.record_start(&waiting.ticket);
        Some(waiting.ticket)
    }

    /// Removes and returns the waiting tickets that can no longer meet their deadline.
    pub fn expire(&mut self, now: time::Time) -> Vec<ticket::Ticket> {
        let mut expired = Vec::new();
        for flow in self.flows.values_mut() {
            flow.tickets.retain(|waiting| {
                let keep = waiting.latest_grant > now;
                if !keep {
                    expired.push(waiting.ticket.clone());
                }
                keep
            });
        }
        self.waiting -= expired.len();
        self.flows.retain(|_, flow| {
            flow.running > 0
                || !flow.tickets.is_empty()
                || flow.last_offer.after(PRESENCE_WINDOW) > now
        });
        expired
    }

    /// Removes a waiting ticket; returns `true` if it was queued.
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

    /// Frees the slot of a running ticket; `held` is the time that it occupied the slot.
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
            let old = self.slot_micros.unwrap_or(sample);
            self.slot_micros = Some(old + GAIN * (sample - old));
        }
    }

    /// Returns the earliest time at which a waiting ticket expires.
    pub fn wake(&self) -> Option<time::Time> {
        let flows = self.flows.values();
        let waiting = flows.flat_map(|flow| flow.tickets.iter());
        waiting.map(|waiting| waiting.latest_grant).min()
    }

    /// Returns the flow to grant next, ordered by tier of the workspace, then class, then virtual
    /// start time.
    fn next_flow(&self, now: time::Time) -> Option<Key> {
        let shares = self.shares(now);
        let waiting = self
            .flows
            .iter()
            .filter(|(_, flow)| !flow.tickets.is_empty());
        let grantable = waiting.filter(|(key, _)| self.has_capacity(now, key, &shares));
        let long_next = self.quick_streak >= QUICK_GRANTS;
        let first = grantable.min_by_key(|(key, flow)| {
            let tier = shares.tier(&key.workspace, self.capacity);
            let second = (key.priority == declaration::Priority::Long) != long_next;
            (
                tier,
                second,
                flow.tickets.front().map(|waiting| waiting.virtual_start),
            )
        });
        first.map(|(key, _)| key.clone())
    }

    /// Returns `true` if a slot is free beyond the reserves for the quick class and for workspaces
    /// within their share.
    fn has_capacity(&self, now: time::Time, key: &Key, shares: &shares::Shares) -> bool {
        let reserve = self.capacity / RESERVE_DIVISOR;
        let quick_present = self
            .quick_seen
            .is_some_and(|seen| seen.after(PRESENCE_WINDOW) > now);
        if key.priority == declaration::Priority::Long
            && quick_present
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
            if flow.running > 0
                || !flow.tickets.is_empty()
                || flow.last_offer.after(PRESENCE_WINDOW) > now
            {
                shares.add(&key.workspace, flow.weight, flow.running, flow.demand(now));
            }
        }
        shares
    }

    /// Records an offered ticket, whether or not it is admitted.
    pub fn record_offer(&mut self, now: time::Time, ticket: &ticket::Ticket, weight: u32) {
        if ticket.priority == declaration::Priority::Quick {
            self.quick_seen = Some(now);
        }
        let flow = self.flows.entry(key(ticket)).or_default();
        flow.demand = flow.demand(now) + f64::from(ticket.cost);
        flow.last_offer = now;
        flow.weight = weight;
    }

    fn record_start(&mut self, ticket: &ticket::Ticket) {
        self.running = self.running.saturating_add(1);
        if ticket.priority == declaration::Priority::Long {
            self.long_running = self.long_running.saturating_add(1);
        }
        let flow = self.flows.entry(key(ticket)).or_default();
        flow.running = flow.running.saturating_add(1);
    }
}

impl Flow {
    /// Returns the recently offered tokens with exponential decay.
    fn demand(&self, now: time::Time) -> f64 {
        let age = self.last_offer.until(now).as_secs_f64() / DEMAND_DECAY.as_secs_f64();
        self.demand * (-age).exp()
    }
}

fn key(ticket: &ticket::Ticket) -> Key {
    Key {
        priority: ticket.priority,
        workspace: ticket.workspace.clone(),
    }
}

/// Returns how many grants class `other` gets for each grant to class `own`.
fn class_share(other: declaration::Priority, own: declaration::Priority) -> f64 {
    match (other, own) {
        (declaration::Priority::Quick, declaration::Priority::Long) => f64::from(QUICK_GRANTS),
        (declaration::Priority::Long, declaration::Priority::Quick) => {
            1.0 / f64::from(QUICK_GRANTS)
        }
        _ => 1.0,
    }
}
