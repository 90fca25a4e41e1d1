//! Learned speeds of one upstream.

use std::time::Duration;

/// Weight that a sample keeps when the next one arrives.
const MEMORY: f64 = 0.97;
/// Share of a new sample in a moving average.
const GAIN: f64 = 0.1;
/// Delay of a first token without any prefill before any sample, in microseconds.
const BASE_MICROS: f64 = 50_000.0;
/// Prefill time a token before any sample, in microseconds.
const PACE_MICROS: f64 = 50.0;
/// Bounds of the prefill time a token, in microseconds.
const PACE_BOUNDS: (f64, f64) = (2.0, 1_000.0);
/// Part of the delay of a first token that reading is taken to be at least.
const LEAST_READING: f64 = 0.25;
/// Prefill lengths of the two samples that stand for the initial guess, in tokens.
const GUESSES: (f64, f64) = (0.0, 1_000.0);
/// Time in a slot before any sample, in microseconds.
const HOLD_MICROS: f64 = 2_000_000.0;
/// Largest learned lateness, in microseconds.
const MAX_BIAS_MICROS: f64 = 5_000_000.0;

/// Learned speeds: a line through recent first tokens, and moving averages.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    line: Line,
    hold: f64,
    bias: f64,
}

/// Sums of a least-squares line with exponential forgetting.
#[derive(Clone, Copy, Debug, Default)]
struct Line {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Default for Estimate {
    fn default() -> Self {
        let mut line = Line::default();
        line.add(GUESSES.0, BASE_MICROS + PACE_MICROS * GUESSES.0);
        line.add(GUESSES.1, BASE_MICROS + PACE_MICROS * GUESSES.1);
        Self {
            line,
            hold: HOLD_MICROS,
            bias: 0.0,
        }
    }
}

impl Estimate {
    /// Learns from a first token that came after `delay` in place of `expected`.
    ///
    /// Only a `immediate` one, which met a free slot, teaches the prefill speed.
    pub fn record_first_token(
        &mut self,
        delay: Duration,
        expected: Duration,
        prefill: u32,
        immediate: bool,
    ) {
        let late = delay.as_micros() as f64 - expected.as_micros() as f64;
        self.bias = (self.bias + GAIN * late).clamp(0.0, MAX_BIAS_MICROS);
        if immediate {
            self.line.add(f64::from(prefill), delay.as_micros() as f64);
        }
    }

    /// Learns how long an attempt held its slot.
    pub fn record_slot_time(&mut self, held: Duration) {
        self.hold += GAIN * (held.as_micros() as f64 - self.hold);
    }

    /// Returns the time from a free slot to the first token with this much prompt to compute.
    pub fn first_token_delay(&self, tokens: u32) -> Duration {
        micros(self.line.at(f64::from(tokens)))
    }

    /// Returns the time that reading this much prompt keeps an engine busy.
    ///
    /// Where all prompts are alike, the line cannot tell what is due to their length; a part of
    /// the whole delay is then taken to be.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        let pace = self.line.slope().max(self.line.ratio() * LEAST_READING);
        micros(pace * f64::from(tokens))
    }

    /// Returns the wait of a request that has this many before it without a slot.
    pub fn queue_wait(&self, ahead: f64, slots: u32) -> Duration {
        micros(self.hold * ahead / f64::from(slots.max(1)))
    }

    /// Returns the learned lateness beyond what load explains.
    pub fn bias(&self) -> Duration {
        micros(self.bias)
    }
}

impl Line {
    fn add(&mut self, x: f64, y: f64) {
        self.n = self.n * MEMORY + 1.0;
        self.x = self.x * MEMORY + x;
        self.y = self.y * MEMORY + y;
        self.xx = self.xx * MEMORY + x * x;
        self.xy = self.xy * MEMORY + x * y;
    }

    fn slope(&self) -> f64 {
        let spread = self.n * self.xx - self.x * self.x;
        let slope = if spread > 1.0 {
            (self.n * self.xy - self.x * self.y) / spread
        } else {
            PACE_MICROS
        };
        slope.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1)
    }

    fn ratio(&self) -> f64 {
        self.y / self.x.max(1.0)
    }

    fn at(&self, x: f64) -> f64 {
        let slope = self.slope();
        let base = (self.y - slope * self.x) / self.n;
        base.max(0.0) + slope * x
    }
}

fn micros(value: f64) -> Duration {
    Duration::from_micros(value.max(0.0) as u64)
}
