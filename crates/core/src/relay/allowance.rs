//! An instance's part of a usage cap while a workspace asks for more than it.
//!
//! Load: one workspace sends many times its cap to a large fleet. Each instance hears of what the others
//! admit only a moment later. If all go by the same meter, all open in the moment at which it falls
//! below the burst, admit a request or more each, and close together for seconds.

use std::time::Duration;

use crate::time;

/// Time in which room below the burst is filled.
const FILL: Duration = Duration::from_secs(2);
/// Span over which demand is averaged.
const SPAN: Duration = Duration::from_secs(1);
/// Time of which the allowance is kept beyond that for one request.
const KEPT: Duration = Duration::from_millis(500);

/// What a cap leaves.
#[derive(Clone, Copy, Debug)]
pub struct Headroom {
    /// Units a second that the cap allows.
    pub rate: f64,
    /// Units below the burst that nobody has used as far as is known.
    pub units: f64,
}

/// The demand of a workspace and what this instance may admit of it.
#[derive(Clone, Debug)]
pub struct Allowance {
    /// Units a second that callers have asked this instance for.
    demand: f64,
    /// The same of the other instances.
    others: f64,
    /// What they may admit before it is heard here.
    unheard: f64,
    /// Part of its first request that this instance may admit at once.
    lot: f64,
    /// Units that this instance may admit.
    credit: f64,
    at: time::Time,
}

impl Allowance {
    /// Builds the state of an instance; `seed` keeps instances from admitting at the same moments.
    pub fn new(seed: u64) -> Self {
        Self {
            demand: 0.0,
            others: 0.0,
            unheard: 0.0,
            lot: seed as f64 / u64::MAX as f64,
            credit: 0.0,
            at: time::Time::default(),
        }
    }

    /// Returns the units a second that this instance is asked for.
    pub fn demand(&self, now: time::Time) -> f64 {
        let elapsed = self.at.until(now).as_secs_f64();
        self.demand * (-elapsed / SPAN.as_secs_f64()).exp()
    }

    /// Sets what the other instances are asked for, and the time until what they admit is heard.
    pub fn update_others(&mut self, others: f64, lag: Duration) {
        self.others = others;
        self.unheard = others * lag.as_secs_f64();
    }

    /// Takes units if this instance may admit them.
    ///
    /// What all others may admit before they are heard is set aside. Where the cap does not have
    /// that much room, each instance admits in proportion to its demand.
    ///
    /// # Errors
    ///
    /// Returns when they may be admitted if not now.
    pub fn try_charge(
        &mut self,
        now: time::Time,
        units: f64,
        room: Headroom,
    ) -> Result<(), time::Time> {
        self.demand = self.demand(now) + units / SPAN.as_secs_f64();
        self.at = self.at.max(now);
        let all = room.rate + room.units.max(0.0) / FILL.as_secs_f64();
        let asked = self.demand + self.others;
        let inflow = all * self.demand / asked;
        // By request and not by time: an instance that is asked now and then has its part as well.
        self.credit += units * ((all / asked).min(1.0) + std::mem::take(&mut self.lot));
        self.credit = self.credit.min(units.max(inflow * KEPT.as_secs_f64()));
        if units + self.unheard <= room.units {
            return Ok(());
        }
        if self.credit >= units {
            self.credit -= units;
            return Ok(());
        }
        let wait = (units - self.credit) / inflow.max(f64::MIN_POSITIVE);
        Err(now.after(Duration::from_secs_f64(wait.min(1e6))))
    }
}
