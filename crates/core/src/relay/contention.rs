//! How much longer first events of a service take at the moment than its speed alone says.

use std::time::Duration;

use crate::time;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Half-life of what is known while no response shows it: an overload may end at any moment, and what
/// it leaves behind must not keep requests away from idle engines.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Bounds of a sample.
const BOUNDS: (f64, f64) = (0.5, 8.0);

/// Average delay of recent first events relative to the expected one without contention.
#[derive(Clone, Copy, Debug)]
pub struct Contention {
    ratio: f64,
    at: time::Time,
}

impl Default for Contention {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            at: time::Time::default(),
        }
    }
}

impl Contention {
    /// Records the delay of a first event and the one expected without contention.
    pub fn record(&mut self, now: time::Time, took: Duration, expected: Duration) {
        let sample = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let known = self.ratio(now);
        self.ratio = known + SAMPLE_WEIGHT * (sample.clamp(BOUNDS.0, BOUNDS.1) - known);
        self.at = self.at.max(now);
    }

    /// Returns the expected delay relative to the one without contention.
    pub fn ratio(&self, now: time::Time) -> f64 {
        let age = self.at.until(now).as_secs_f64();
        1.0 + (self.ratio - 1.0) * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
