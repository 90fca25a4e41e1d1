//! Adaptive limit on one node's requests to the upstreams of a service.

use std::time::Duration;

use crate::time;

/// Time between two updates.
const INTERVAL: Duration = Duration::from_millis(100);
/// Part of the distance to the target that one update covers.
const GAIN: f64 = 0.1;
/// Slots won in each update while the window is used up.
const STEP: f64 = 0.05;
/// Smallest share of the target that a node takes for its own.
const MIN_SHARE: f64 = 1.0 / 64.0;
/// Slots left free for requests within their share, as a divisor of all slots.
const HEADROOM_DIVISOR: f64 = 8.0;
/// Multiple of the node's part of the free slots that it may use for a moment.
const BURST: f64 = 1.0;
/// Part of the free slots that a node may use at once while most slots are free.
const IDLE_SHARE: f64 = 0.25;
/// Factor after a refusal for lack of room.
const REFUSAL_CUT: f64 = 0.95;

/// The requests that a node may have at the upstreams of one service.
///
/// Several nodes share the upstreams without agreement. Each aims at its present part of the
/// target use; one that needs more wins a little at each update, which evens out the parts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Window {
    size: f64,
    slots: u32,
    next: time::Time,
}

/// Requests and slots of all open upstreams of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    /// Own requests.
    pub own: u32,
    /// All requests.
    pub total: u32,
    /// Slots.
    pub slots: u32,
    /// Whether most upstreams fail, so that few requests there say nothing.
    pub failing: bool,
}

impl Window {
    /// Builds a window that holds all slots until the first update.
    pub const fn new() -> Self {
        Self {
            size: f64::INFINITY,
            slots: 0,
            next: time::Time::from_micros(0),
        }
    }

    /// Returns whether it is time for an update.
    pub fn is_due(&self, now: time::Time) -> bool {
        self.next <= now
    }

    /// Moves towards the node's part of the target.
    pub fn update(&mut self, now: time::Time, usage: Usage) {
        self.next = now.after(INTERVAL);
        let target = target(usage);
        let own = f64::from(usage.own);
        let share = (own / f64::from(usage.total.max(1))).max(MIN_SHARE);
        self.size = self.size.min(target);
        if own + 1.0 > self.size {
            self.size += STEP;
        }
        self.size += GAIN * (target * share - self.size);
        let free = f64::from(usage.slots.saturating_sub(usage.total));
        let burst = free * share * BURST;
        let is_idle = !usage.failing && usage.total * 2 < usage.slots;
        let least = if is_idle {
            own + (free * IDLE_SHARE).ceil()
        } else {
            0.0
        };
        let slots = (self.size + burst).max(least).round() as u32;
        self.slots = slots.max(1).min(usage.slots);
    }

    /// Gives up a little after a refusal for lack of room.
    pub fn record_refusal(&mut self) {
        self.size *= REFUSAL_CUT;
    }

    /// Returns the requests allowed, at least one while there are slots.
    pub const fn slots(&self) -> u32 {
        self.slots
    }
}

fn target(usage: Usage) -> f64 {
    f64::from(usage.slots) * (1.0 - 1.0 / HEADROOM_DIVISOR)
}
