//! Learned speeds of one upstream.

use std::time::Duration;

/// Share of a new sample in a moving average.
const GAIN: f64 = 0.1;
/// Fewest uncached tokens for a sample of the prefill speed.
const MIN_TOKENS: u32 = 64;
/// Prefill time a token before any sample, in microseconds.
const PACE_MICROS: f64 = 50.0;
/// Time in a slot before any sample, in microseconds.
const HOLD_MICROS: f64 = 2_000_000.0;
/// Largest learned correction, in microseconds.
const MAX_BIAS_MICROS: f64 = 5_000_000.0;

/// Moving averages of one upstream's speeds, in microseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    pace: f64,
    hold: f64,
    bias: f64,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            pace: PACE_MICROS,
            hold: HOLD_MICROS,
            bias: 0.0,
        }
    }
}

impl Estimate {
    /// Learns from a first token that came `late` microseconds after the expected time.
    pub fn first_token(&mut self, delay: Duration, late: i64, uncached: u32, direct: bool) {
        self.bias = blend(self.bias, self.bias + late as f64);
        self.bias = self.bias.clamp(0.0, MAX_BIAS_MICROS);
        if direct && uncached >= MIN_TOKENS {
            let sample = delay.as_micros() as f64 / f64::from(uncached);
            self.pace = blend(self.pace, sample.min(self.pace * 4.0));
        }
    }

    /// Learns how long an attempt held its slot.
    pub fn finish(&mut self, held: Duration) {
        self.hold = blend(self.hold, held.as_micros() as f64);
    }

    /// Returns the time to compute uncached prompt tokens.
    pub fn prefill(&self, uncached: u32) -> Duration {
        micros(self.pace * f64::from(uncached))
    }

    /// Returns the wait of a request that has this many before it without a slot.
    pub fn wait(&self, ahead: u32, slots: u32) -> Duration {
        micros(self.hold * f64::from(ahead) / f64::from(slots.max(1)))
    }

    /// Returns the learned lateness beyond what load explains.
    pub fn bias(&self) -> Duration {
        micros(self.bias)
    }
}

fn blend(old: f64, sample: f64) -> f64 {
    old + GAIN * (sample - old)
}

fn micros(value: f64) -> Duration {
    Duration::from_micros(value.max(0.0) as u64)
}
