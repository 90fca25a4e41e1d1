//! The recent rates of faulty requests of the old version.

use crate::rollout::measure;
use crate::time;

/// Half-life of the weight of a request, in microseconds.
const HALF_LIFE_MICROS: f64 = 30e6;
/// Weight of the prior rate, in requests.
const PRIOR_REQUESTS: f64 = 20.0;
/// Tolerated ratio of the new version's rate to the old version's.
const TOLERATED_RATIO: f64 = 1.5;
/// The largest tolerated rate; a version above it is never accepted as good.
const MAX_TOLERATED_RATE: f64 = 0.6;

/// Requests and faulty requests of the old version, weighted by exponential decay over time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Baseline {
    requests: f64,
    faults: [f64; measure::Measure::ALL.len()],
    updated: time::Time,
}

impl Baseline {
    /// Decays the counts by the time since the last update.
    pub fn decay(&mut self, now: time::Time) {
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

    /// Adds requests that are faulty by one measure.
    pub fn add_faults(&mut self, measure: measure::Measure, faults: u64) {
        self.faults[measure.index()] += faults as f64;
    }

    /// Returns the rate of faulty requests that a good new version stays below.
    pub fn tolerated_rate(&self, measure: measure::Measure) -> f64 {
        let faults = self.faults[measure.index()] + measure.prior_rate() * PRIOR_REQUESTS;
        let rate = faults / (self.requests + PRIOR_REQUESTS);
        (rate * TOLERATED_RATIO + measure.tolerated_excess()).min(MAX_TOLERATED_RATE)
    }
}
