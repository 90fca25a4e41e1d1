//! Estimated prefill speed and slot time of one upstream.

use std::time::Duration;

/// Factor on the weight of a sample when the next one arrives.
const SAMPLE_DECAY: f64 = 0.97;
/// Share of a new sample in a moving average.
const GAIN: f64 = 0.1;
/// Assumed delay of a first token without any prefill before any sample, in microseconds.
const INITIAL_BASE_MICROS: f64 = 50_000.0;
/// Assumed prefill time per token before any sample, in microseconds.
const INITIAL_TOKEN_MICROS: f64 = 50.0;
/// Bounds of the prefill time per token, in microseconds.
const TOKEN_MICROS_BOUNDS: (f64, f64) = (2.0, 1_000.0);
/// Prefill lengths of the two samples that express the assumed speed, in tokens.
const INITIAL_PREFILL_TOKENS: (f64, f64) = (0.0, 1_000.0);
/// Assumed time in a slot before any sample, in microseconds.
const INITIAL_SLOT_MICROS: f64 = 2_000_000.0;
/// Largest bias, in microseconds.
const MAX_BIAS_MICROS: f64 = 5_000_000.0;

/// Estimated speeds: a line fitted to the delays of recent first tokens, and moving averages.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    line: Line,
    slot_micros: f64,
    bias_micros: f64,
}

/// Sums of a least-squares fit with exponential decay of old samples.
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
        line.add(
            INITIAL_PREFILL_TOKENS.0,
            INITIAL_BASE_MICROS + INITIAL_TOKEN_MICROS * INITIAL_PREFILL_TOKENS.0,
        );
        line.add(
            INITIAL_PREFILL_TOKENS.1,
            INITIAL_BASE_MICROS + INITIAL_TOKEN_MICROS * INITIAL_PREFILL_TOKENS.1,
        );
        Self {
            line,
            slot_micros: INITIAL_SLOT_MICROS,
            bias_micros: 0.0,
        }
    }
}

impl Estimate {
    /// Records a first token that arrived after `delay` where `expected` was estimated.
    ///
    /// Only the first token of an `immediate` request, which found a free slot, updates the prefill
    /// speed.
    pub fn record_first_token(
        &mut self,
        delay: Duration,
        expected: Duration,
        prefill: u32,
        immediate: bool,
    ) {
        let error = delay.as_micros() as f64 - expected.as_micros() as f64;
        self.bias_micros = (self.bias_micros + GAIN * error).clamp(0.0, MAX_BIAS_MICROS);
        if immediate {
            self.line.add(f64::from(prefill), delay.as_micros() as f64);
        }
    }

    /// Records how long an attempt occupied its slot.
    pub fn record_slot_time(&mut self, held: Duration) {
        self.slot_micros += GAIN * (held.as_micros() as f64 - self.slot_micros);
    }

    /// Returns the delay of the first token from a free slot, with `tokens` to prefill.
    pub fn first_token_delay(&self, tokens: u32) -> Duration {
        micros(self.line.at(f64::from(tokens)))
    }

    /// Returns the wait of a request with `ahead` requests queued before it.
    pub fn queue_wait(&self, ahead: f64, slots: u32) -> Duration {
        micros(self.slot_micros * ahead / f64::from(slots.max(1)))
    }

    /// Returns the average delay of first tokens beyond the estimate.
    pub fn bias(&self) -> Duration {
        micros(self.bias_micros)
    }
}

impl Line {
    fn add(&mut self, x: f64, y: f64) {
        self.n = self.n * SAMPLE_DECAY + 1.0;
        self.x = self.x * SAMPLE_DECAY + x;
        self.y = self.y * SAMPLE_DECAY + y;
        self.xx = self.xx * SAMPLE_DECAY + x * x;
        self.xy = self.xy * SAMPLE_DECAY + x * y;
    }

    fn slope(&self) -> f64 {
        let spread = self.n * self.xx - self.x * self.x;
        let slope = if spread > 1.0 {
            (self.n * self.xy - self.x * self.y) / spread
        } else {
            INITIAL_TOKEN_MICROS
        };
        slope.clamp(TOKEN_MICROS_BOUNDS.0, TOKEN_MICROS_BOUNDS.1)
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
