//! Ordinary noise that good versions meet too.

use rand::Rng;
use rand::rngs::SmallRng;

/// Draws from a log-normal distribution with this median and spread.
pub fn log_normal(rng: &mut SmallRng, median: f64, sigma: f64) -> f64 {
    median * (sigma * normal(rng)).exp()
}

/// Draws from the standard normal distribution (Box and Muller).
fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// Draws the time to the next arrival in microseconds at this rate a second.
pub fn arrival(rng: &mut SmallRng, rate: f64) -> u64 {
    (-(1.0 - rng.random::<f64>()).ln() / rate * 1e6) as u64
}

/// A stretch of time in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stretch {
    /// First microsecond.
    pub start: u64,
    /// First microsecond after it.
    pub end: u64,
}

impl Stretch {
    /// Draws a stretch of at most a tenth of the window.
    pub fn draw(rng: &mut SmallRng, window: u64) -> Self {
        let start = rng.random_range(0..window * 8 / 10);
        let end = start + rng.random_range(0..window / 10);
        Self { start, end }
    }

    /// Tells whether a time lies in it.
    pub const fn has(&self, at: u64) -> bool {
        self.start <= at && at < self.end
    }
}
