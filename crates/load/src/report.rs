//! The summary of a run.

use std::fmt;

use crate::scenario;
use crate::tally;

/// Microseconds in a millisecond.
const MICROS: f64 = 1_000.0;

/// The summary of a run, as a table or as JSON.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Requests a second that were asked for.
    pub rate: f64,
    /// Requests that were sent.
    pub sent: u64,
    /// Requests that were not sent because too many were open.
    pub unsent: u64,
    /// Requests with a whole answer.
    pub ok: u64,
    /// Requests that were refused as not run.
    pub refused: u64,
    /// Requests that found no connection and were never sent.
    pub unreached: u64,
    /// Requests that failed in any other way.
    pub failed: u64,
    /// Streams that ended before their end.
    pub truncated: u64,
    /// Requests that were sent again at another target.
    pub reconnects: u64,
    /// Token offsets that came again or out of order.
    pub duplicate: u64,
    /// Token offsets that were left out.
    pub missing: u64,
    /// Tokens that came.
    pub tokens: u64,
    /// Time to the first token.
    pub first: Times,
    /// Time between two tokens.
    pub gap: Times,
    /// Time to a whole answer that is no stream.
    pub answer: Times,
    /// Good requests a second.
    pub goodput: f64,
}

/// Percentiles in milliseconds and the share within the target.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Times {
    /// How many times were measured.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// The target.
    pub target_ms: u64,
    /// Share within the target, 1 if nothing was measured.
    pub within: f64,
}

impl Report {
    /// Sums up a run.
    pub fn new(scenario: &scenario::Scenario, tally: &tally::Tally) -> Self {
        Self {
            seed: scenario.seed,
            rate: scenario.rate,
            sent: tally.sent,
            unsent: tally.unsent,
            ok: tally.ok,
            refused: tally.refused,
            unreached: tally.unreached,
            failed: tally.failed,
            truncated: tally.truncated,
            reconnects: tally.reconnects,
            duplicate: tally.duplicate,
            missing: tally.missing,
            tokens: tally.tokens,
            first: Times::new(&tally.first, scenario.first_ms),
            gap: Times::new(&tally.gap, scenario.gap_ms),
            answer: Times::new(&tally.answer, scenario.first_ms),
            goodput: tally.good as f64 / scenario.duration as f64,
        }
    }

    /// Returns the report as one line of JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl Times {
    fn new(histogram: &tally::Histogram, target_ms: u64) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS;
        let target = target_ms.saturating_mul(1_000);
        let within = if histogram.is_empty() {
            1.0
        } else {
            histogram.quantile_below(target)
        };
        Self {
            count: histogram.len(),
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            target_ms,
            within,
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = [
            ("sent", self.sent),
            ("unsent", self.unsent),
            ("ok", self.ok),
            ("refused", self.refused),
            ("unreached", self.unreached),
            ("failed", self.failed),
            ("truncated", self.truncated),
            ("reconnects", self.reconnects),
            ("duplicate", self.duplicate),
            ("missing", self.missing),
            ("tokens", self.tokens),
        ];
        for (name, count) in counts {
            writeln!(f, "{name:<12} {count:>10}")?;
        }
        writeln!(f, "{:<12} {:>10.1} a second", "goodput", self.goodput)?;
        writeln!(f)?;
        writeln!(
            f,
            "{:<12} {:>10} {:>10} {:>10} {:>10} {:>16}",
            "ms", "count", "p50", "p95", "p99", "within target"
        )?;
        write_times(f, "first token", &self.first)?;
        writeln!(f)?;
        write_times(f, "token gap", &self.gap)?;
        writeln!(f)?;
        write_times(f, "answer", &self.answer)
    }
}

fn write_times(f: &mut fmt::Formatter<'_>, name: &str, times: &Times) -> fmt::Result {
    if times.count == 0 {
        return write!(f, "{name:<12} {:>10}", 0);
    }
    let share = format!("{:.1}% in {}", times.within * 100.0, times.target_ms);
    write!(
        f,
        "{name:<12} {:>10} {:>10.2} {:>10.2} {:>10.2} {share:>16}",
        times.count, times.p50_ms, times.p95_ms, times.p99_ms
    )
}
