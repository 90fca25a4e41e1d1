//! The old version's recent rate of faults.

use crate::rollout::measure;
use crate::time;

/// Time in microseconds in which an old count loses half its weight.
const HALF_LIFE_MICROS: f64 = 30e6;
/// Weight of the prior rate, in requests.
const PRIOR_REQUESTS: f64 = 20.0;
/// The new version's rate may be this many times the old version's.
const RATIO: f64 = 1.5;
/// The largest tolerated rate; above it no version is called good.
const MAX_RATE: f64 = 0.6;

/// The old version's recent requests and faults, with older ones weighed less.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Baseline {
    requests: f64,
    faults: [f64; measure::Measure::ALL.len()],
    updated: time::Time,
}

impl Baseline {
    /// Lets the counts age up to now.
    pub fn age(&mut self, now: time::Time) {
        let elapsed = self.updated.until(now).as_micros() as f64;
        let weight = (-elapsed / HALF_LIFE_MICROS).exp2();
        self.requests *= weight;
        for faults in &mut self.faults {
            *faults *= weight;
        }
        self.updated = now;
    }

    /// Adds requests.
    pub fn add_requests(&mut self, requests: u64) {
        self.requests += requests as f64;
    }

    /// Adds faults of one measure.
    pub fn add_faults(&mut self, measure: measure::Measure, faults: u64) {
        self.faults[measure.index()] += faults as f64;
    }

    /// Returns the rate of faults that a good new version stays under.
    pub fn tolerated(&self, measure: measure::Measure) -> f64 {
        let faults = self.faults[measure.index()] + measure.prior() * PRIOR_REQUESTS;
        let rate = faults / (self.requests + PRIOR_REQUESTS);
        (rate * RATIO + measure.tolerance()).min(MAX_RATE)
    }
}
