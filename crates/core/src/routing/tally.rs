//! Requests at one upstream: its lagged report corrected by own dispatches.

use std::collections;
use std::time::Duration;

use rand::Rng as _;
use rand::rngs;

use super::load;
use crate::time;

/// Own changes remembered, to relate a lagged report to the present.
const MAX_CHANGES: usize = 64;
/// Age at which a report says nothing any more.
const MAX_AGE: Duration = Duration::from_secs(10);
/// Share of free slots claimed before any evidence.
const FIRST_CLAIM: f64 = 0.25;
/// Bounds of the share of free slots claimed.
const CLAIM_BOUNDS: (f64, f64) = (0.02, 1.0);
/// Growth of the claim after a report without a queue.
const CLAIM_STEP: f64 = 0.02;
/// Factor on the claim after a report with a queue.
const CLAIM_CUT: f64 = 0.8;
/// Queue, as a divisor of the slots, above which the claim is cut.
const QUEUE_DIVISOR: u32 = 8;
/// Slots claimed from a full upstream for each unit of the claim.
const FULL_CLAIM: f64 = 0.5;

/// What is known of the requests at one upstream.
///
/// Several nodes share the upstream without agreement. A node keeps the slots that it holds,
/// claims a share of the free ones at each report, and gives up its part of any excess. The
/// share adapts to how often the upstream's queue shows that all nodes claimed too much.
#[derive(Clone, Debug)]
pub(super) struct Tally {
    own: u32,
    others: u32,
    allowed: u32,
    claim: f64,
    report: Option<load::Load>,
    changes: collections::VecDeque<Change>,
}

#[derive(Clone, Copy, Debug)]
struct Change {
    at: time::Time,
    delta: i32,
}

impl Tally {
    /// Builds a tally that allows all slots until the first report.
    pub fn new(slots: u32) -> Self {
        Self {
            own: 0,
            others: 0,
            allowed: slots,
            claim: FIRST_CLAIM,
            report: None,
            changes: collections::VecDeque::new(),
        }
    }

    /// Counts a dispatch.
    pub fn start(&mut self, now: time::Time) {
        self.own = self.own.saturating_add(1);
        self.note(now, 1);
    }

    /// Counts an end.
    pub fn end(&mut self, now: time::Time) {
        self.own = self.own.saturating_sub(1);
        self.note(now, -1);
    }

    /// Gives up a slot after a refusal for lack of room.
    pub fn refuse(&mut self) {
        self.allowed = self.allowed.min(self.own);
        self.claim = (self.claim * CLAIM_CUT).max(CLAIM_BOUNDS.0);
    }

    /// Takes a report unless a newer one is known.
    pub fn report(&mut self, load: load::Load, slots: u32, rng: &mut rngs::SmallRng) {
        if self.report.is_some_and(|known| known.at > load.at) {
            return;
        }
        let mine = self.own_at(load.at);
        let total = load.queue.saturating_add(load.running);
        self.others = total.saturating_sub(mine);
        self.report = Some(load);
        self.adapt(load.queue, slots);
        let free = f64::from(slots.saturating_sub(total));
        let excess = f64::from(total.saturating_sub(slots));
        let part = f64::from(mine) / f64::from(total.max(1));
        let claimed = round(self.claim * (free + FULL_CLAIM), rng);
        let given = round(excess * part, rng);
        self.allowed = mine.saturating_add(claimed).saturating_sub(given);
    }

    /// Returns requests that this node has there.
    pub const fn own(&self) -> u32 {
        self.own
    }

    /// Returns how many more requests this node may send.
    pub fn room(&self, now: time::Time, slots: u32) -> u32 {
        let allowed = match self.report {
            Some(load) if load.at.until(now) < MAX_AGE => self.allowed,
            _ => self.allowed.max(1).min(slots),
        };
        allowed.saturating_sub(self.own)
    }

    /// Returns all requests believed to be there.
    pub fn total(&self, now: time::Time) -> u32 {
        let others = match self.report {
            Some(load) if load.at.until(now) < MAX_AGE => self.others,
            _ => 0,
        };
        self.own.saturating_add(others)
    }

    /// Returns the reported slots.
    pub fn slots(&self) -> Option<u32> {
        self.report.map(|load| load.slots)
    }

    /// Forgets the report, for a new incarnation.
    pub fn reset(&mut self, slots: u32) {
        self.report = None;
        self.others = 0;
        self.allowed = slots;
        self.claim = FIRST_CLAIM;
    }

    fn adapt(&mut self, queue: u32, slots: u32) {
        if queue > slots / QUEUE_DIVISOR {
            self.claim *= CLAIM_CUT;
        } else if queue == 0 {
            self.claim += CLAIM_STEP;
        }
        self.claim = self.claim.clamp(CLAIM_BOUNDS.0, CLAIM_BOUNDS.1);
    }

    fn own_at(&self, at: time::Time) -> u32 {
        let since = self
            .changes
            .iter()
            .rev()
            .take_while(|change| change.at > at);
        let delta: i32 = since.map(|change| change.delta).sum();
        u32::try_from(i64::from(self.own) - i64::from(delta)).unwrap_or(0)
    }

    fn note(&mut self, at: time::Time, delta: i32) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Change { at, delta });
    }
}

/// Rounds up or down at random, so that the mean is exact.
fn round(value: f64, rng: &mut rngs::SmallRng) -> u32 {
    let whole = value.floor();
    let more = rng.random::<f64>() < value - whole;
    whole as u32 + u32::from(more)
}
