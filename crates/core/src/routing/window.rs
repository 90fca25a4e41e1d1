//! Adaptive limit on the requests of one node to the upstreams of a service.

use std::time::Duration;

use crate::time;

/// Time between two updates.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Share of the distance to the target that one update covers.
const GAIN: f64 = 0.1;
/// Slots added by each update while the window is fully used.
const INCREASE: f64 = 0.05;
/// Smallest share of the target that a node claims.
const MIN_SHARE: f64 = 1.0 / 64.0;
/// Slots left free for requests within their share, as a divisor of all slots.
const HEADROOM_DIVISOR: f64 = 8.0;
/// Multiple of its share of the free slots that a node may use for a short time.
const BURST: f64 = 1.0;
/// Share of the free slots that a node may use at once while most slots are free.
const IDLE_SHARE: f64 = 0.25;
/// Factor on the window after a refusal by a full upstream.
const REFUSAL_FACTOR: f64 = 0.95;

/// The requests that a node may have at the upstreams of one service.
///
/// Several nodes share the upstreams without coordination. Each aims at its current share of the
/// target usage; one that needs more gains a little with each update, which equalizes the shares.
#[derive(Clone, Copy, Debug)]
pub(super) struct Window {
    size: f64,
    slots: u32,
    next_update: time::Time,
}

/// Requests and slots of all open upstreams of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    /// Requests of this node.
    pub own: u32,
    /// Requests of all nodes.
    pub total: u32,
    /// Slots of all upstreams.
    pub slots: u32,
    /// Whether the service is failing, so that few requests do not mean that it is idle.
    pub failing: bool,
}

impl Window {
    /// Builds a window that allows no request before its first update, which starts from the
    /// target.
    pub const fn new() -> Self {
        Self {
            size: f64::INFINITY,
            slots: 0,
            next_update: time::Time::from_micros(0),
        }
    }

    /// Returns `true` if an update is due.
    pub fn is_due(&self, now: time::Time) -> bool {
        self.next_update <= now
    }

    /// Moves the window towards this node's share of the target.
    pub fn update(&mut self, now: time::Time, usage: Usage) {
        self.next_update = now.after(UPDATE_INTERVAL);
        let target = target(usage);
        let own = f64::from(usage.own);
        let share = (own / f64::from(usage.total.max(1))).max(MIN_SHARE);
        self.size = self.size.min(target);
        if own + 1.0 > self.size {
            self.size += INCREASE;
        }
        self.size += GAIN * (target * share - self.size);
        let free = f64::from(usage.slots.saturating_sub(usage.total));
        let burst = free * share * BURST;
        let is_idle = !usage.failing && usage.total * 2 < usage.slots;
        let minimum = if is_idle {
            own + (free * IDLE_SHARE).ceil()
        } else {
            0.0
        };
        let slots = (self.size + burst).max(minimum).round() as u32;
        self.slots = slots.max(1).min(usage.slots);
    }

    /// Shrinks the window after a refusal by a full upstream.
    pub fn record_refusal(&mut self) {
        self.size *= REFUSAL_FACTOR;
    }

    /// Returns the number of requests allowed, at least one while there are slots.
    pub const fn slots(&self) -> u32 {
        self.slots
    }
}

fn target(usage: Usage) -> f64 {
    f64::from(usage.slots) * (1.0 - 1.0 / HEADROOM_DIVISOR)
}
