//! An instance's allowance within a usage cap while a workspace demands more than the cap.
//!
//! When one workspace sends many times its cap to a large fleet, each instance receives the others'
//! reports only after a delay. If all decided by the level alone, all would open when it falls
//! below the burst, admit one or more requests each, and refuse together for seconds.

use std::time::Duration;

use crate::time;

/// Time in which the headroom below the burst is to be used up.
const FILL_TIME: Duration = Duration::from_secs(2);
/// Time constant of the average demand.
const DEMAND_SPAN: Duration = Duration::from_secs(1);
/// Time over which credit accumulates; the credit for one request may always accumulate.
const MAX_CREDIT_TIME: Duration = Duration::from_millis(500);

/// Headroom of a cap.
#[derive(Clone, Copy, Debug)]
pub struct Headroom {
    /// Units per second that the cap allows.
    pub rate: f64,
    /// Units between the known level and the burst.
    pub units: f64,
}

/// Demand of a workspace and the part of it that this instance may admit.
#[derive(Clone, Debug)]
pub struct Allowance {
    /// Demand at this instance in units per second.
    demand: f64,
    /// Demand at the other instances in units per second.
    others: f64,
    /// Units that they may admit before their reports arrive here.
    unreported: f64,
    /// Random share of the first request's units that is credited at once.
    initial_share: f64,
    /// Units that this instance may admit.
    credit: f64,
    at: time::Time,
}

impl Allowance {
    /// Builds the allowance of an instance; `seed` keeps instances from admitting at the same
    /// moments.
    pub fn new(seed: u64) -> Self {
        Self {
            demand: 0.0,
            others: 0.0,
            unreported: 0.0,
            initial_share: seed as f64 / u64::MAX as f64,
            credit: 0.0,
            at: time::Time::default(),
        }
    }

    /// Returns the demand at this instance in units per second.
    pub fn demand(&self, now: time::Time) -> f64 {
        let elapsed = self.at.until(now).as_secs_f64();
        self.demand * (-elapsed / DEMAND_SPAN.as_secs_f64()).exp()
    }

    /// Updates the demand at the other instances, in units per second, and the delay of their
    /// reports.
    pub fn update_others(&mut self, others: f64, lag: Duration) {
        self.others = others;
        self.unreported = others * lag.as_secs_f64();
    }

    /// Charges units if this instance may admit them.
    ///
    /// The units that all others may admit before their reports arrive are reserved. If the
    /// headroom does not cover them, each instance admits in proportion to its demand.
    ///
    /// # Errors
    ///
    /// Returns the time at which the units may be admitted if they may not be now.
    pub fn try_charge(
        &mut self,
        now: time::Time,
        units: f64,
        headroom: Headroom,
    ) -> Result<(), time::Time> {
        self.demand = self.demand(now) + units / DEMAND_SPAN.as_secs_f64();
        self.at = self.at.max(now);
        let allowed = headroom.rate + headroom.units.max(0.0) / FILL_TIME.as_secs_f64();
        let demand = self.demand + self.others;
        let inflow = allowed * self.demand / demand;
        // Credit grows by request and not by time, so that an instance that rarely receives
        // requests also gets its part.
        self.credit +=
            units * ((allowed / demand).min(1.0) + std::mem::take(&mut self.initial_share));
        self.credit = self
            .credit
            .min(units.max(inflow * MAX_CREDIT_TIME.as_secs_f64()));
        if units + self.unreported <= headroom.units {
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
