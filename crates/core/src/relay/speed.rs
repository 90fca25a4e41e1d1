//! Estimated speed of the engines of a service without contention.
//!
//! Answers the end of an overload: responses that waited in busy engines say how busy those were, not
//! how fast an engine is. A plain average of them makes idle engines look too slow to be used, for as
//! long as it takes to forget, and requests are refused beside free slots.

use std::time::Duration;

/// Factor on the weight of a sample when the next full one arrives.
const SAMPLE_DECAY: f64 = 0.97;
/// Weight of a sample that is slower than the estimate, against one that is faster. It makes the
/// line a low expectile: most delays above it come from contention.
const SLOW_SAMPLE_WEIGHT: f64 = 0.1;
/// Assumed samples before any: delay without any prefill, and of a prompt of this length.
const INITIAL_SAMPLES: [(f64, f64); 2] = [(0.0, 50_000.0), (1_000.0, 100_000.0)];
/// Bounds of the prefill time per token, in microseconds.
const TOKEN_MICROS_BOUNDS: (f64, f64) = (2.0, 1_000.0);
/// Prefill time per token while all samples are of the same length, in microseconds.
const INITIAL_TOKEN_MICROS: f64 = 50.0;
/// Share of the delay of a first event that is attributed to prefill at least.
const MIN_PREFILL_SHARE: f64 = 0.25;

/// A line fitted to the delays of recent first events by the length of their prompts.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Without contention.
    line: Line,
    /// With the usual contention, which an engine's work includes.
    usual: Line,
}

/// Sums of a weighted least-squares fit with exponential decay of old samples.
#[derive(Clone, Copy, Debug, Default)]
struct Line {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Default for Speed {
    fn default() -> Self {
        let mut line = Line::default();
        for (tokens, micros) in INITIAL_SAMPLES {
            line.add(tokens, micros, 1.0);
        }
        Self { line, usual: line }
    }
}

impl Speed {
    /// Records the delay of a first event of which `prefill` tokens had to be processed.
    pub fn record_first_event(&mut self, delay: Duration, prefill: u32) {
        let (tokens, delay) = (f64::from(prefill), delay.as_micros() as f64);
        let weight = match delay > self.line.at(tokens) {
            true => SLOW_SAMPLE_WEIGHT,
            false => 1.0,
        };
        self.line.add(tokens, delay, weight);
        self.usual.add(tokens, delay, 1.0);
    }

    /// Replaces what is known by one sample.
    pub fn restart(&mut self, delay: Duration, prefill: u32) {
        self.line = Line::default();
        self.line
            .add(f64::from(prefill), delay.as_micros() as f64, 1.0);
        self.usual = self.line;
    }

    /// Returns the delay of the first event from a free slot, with `tokens` to process.
    pub fn first_event_delay(&self, tokens: u32) -> Duration {
        micros(self.line.at(f64::from(tokens)))
    }

    /// Returns the time that the prefill of `tokens` keeps an engine busy.
    ///
    /// Where all prompts are of similar length, the fit cannot separate the part of the delay that
    /// depends on it; a fixed share of the whole delay is then used as a lower bound.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        let usual = self.usual;
        let token_micros = usual.slope().max(usual.ratio() * MIN_PREFILL_SHARE);
        micros(token_micros * f64::from(tokens))
    }
}

impl Line {
    fn add(&mut self, x: f64, y: f64, weight: f64) {
        let kept = 1.0 - (1.0 - SAMPLE_DECAY) * weight;
        self.n = self.n * kept + weight;
        self.x = self.x * kept + weight * x;
        self.y = self.y * kept + weight * y;
        self.xx = self.xx * kept + weight * x * x;
        self.xy = self.xy * kept + weight * x * y;
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
