//! Figures of one run.

use crate::request;
use crate::sim;

/// Arrivals before this time in microseconds are warm-up.
pub const WARM_MICROS: u64 = 20_000_000;

/// Counts over the requests that arrived after the warm-up.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Requests offered.
    pub offered: usize,
    /// Requests refused or given up.
    pub refused: usize,
    /// First tokens in time.
    pub prompt: usize,
    /// Requests that met the target.
    pub good: usize,
    /// Gaps within the target.
    pub good_gaps: u64,
    /// All gaps.
    pub gaps: u64,
    /// Prompt tokens computed again, warm-up included.
    pub recomputed: u64,
    /// Seconds of arrivals counted.
    pub seconds: f64,
}

impl Summary {
    /// Counts a run whose arrivals lasted `length` microseconds.
    pub fn new(outcome: &sim::Outcome, length: u64) -> Self {
        let counted: Vec<_> = outcome
            .requests
            .iter()
            .filter(|r| r.at >= WARM_MICROS)
            .collect();
        let count = |test: fn(&request::Request) -> bool| {
            counted.iter().filter(|request| test(request)).count()
        };
        let good_gaps: u64 = counted.iter().map(|r| u64::from(r.good_gaps)).sum();
        let bad_gaps: u64 = counted.iter().map(|r| u64::from(r.bad_gaps)).sum();
        Self {
            offered: counted.len(),
            refused: count(|request| request.refused),
            prompt: count(request::Request::is_prompt),
            good: count(request::Request::is_good),
            good_gaps,
            gaps: good_gaps + bad_gaps,
            recomputed: outcome.recomputed,
            seconds: (length - WARM_MICROS) as f64 / 1e6,
        }
    }

    /// Returns the share of served requests whose first token came in time.
    pub fn prompt_share(&self) -> f64 {
        ratio(self.prompt as f64, (self.offered - self.refused) as f64)
    }

    /// Returns the share of gaps within the target.
    pub fn gap_share(&self) -> f64 {
        ratio(self.good_gaps as f64, self.gaps as f64)
    }

    /// Returns the share of offered requests that were refused.
    pub fn refused_share(&self) -> f64 {
        ratio(self.refused as f64, self.offered as f64)
    }

    /// Returns requests a second that met the target.
    pub fn goodput(&self) -> f64 {
        ratio(self.good as f64, self.seconds)
    }
}

/// Divides, giving zero for an empty whole.
pub fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}
