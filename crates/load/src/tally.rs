//! Counts and histograms of a run.

use std::time;

use crate::measure;
use crate::scenario;

/// The longest time that a histogram tells apart, in microseconds.
const MAX_MICROS: u64 = 2 * scenario::MAX_DURATION_SECONDS * 1_000_000;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// A good stream has at most one gap in so many over the target.
const GAP_SHARE: usize = 20;

/// A histogram of times in microseconds.
pub type Histogram = hdrhistogram::Histogram<u64>;

/// Counts and histograms of a run.
#[derive(Debug)]
pub struct Tally {
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
    /// Requests with a whole answer within the targets.
    pub good: u64,
    /// Tokens that came.
    pub tokens: u64,
    /// Time to the first token.
    pub first: Histogram,
    /// Time between two tokens.
    pub gap: Histogram,
    /// Time to a whole answer that is no stream.
    pub answer: Histogram,
    target: Target,
}

#[derive(Clone, Copy, Debug)]
struct Target {
    first: time::Duration,
    gap: time::Duration,
}

impl Tally {
    /// Builds an empty tally.
    ///
    /// # Errors
    ///
    /// Fails if a histogram can't be built.
    pub fn new(scenario: &scenario::Scenario) -> Result<Self, hdrhistogram::CreationError> {
        let target = Target {
            first: time::Duration::from_millis(scenario.first_ms),
            gap: time::Duration::from_millis(scenario.gap_ms),
        };
        Ok(Self {
            sent: 0,
            unsent: 0,
            ok: 0,
            refused: 0,
            unreached: 0,
            failed: 0,
            truncated: 0,
            reconnects: 0,
            duplicate: 0,
            missing: 0,
            good: 0,
            tokens: 0,
            first: histogram()?,
            gap: histogram()?,
            answer: histogram()?,
            target,
        })
    }

    /// Adds the measure of one request.
    pub fn add(&mut self, measure: &measure::Measure) {
        self.sent += 1;
        *self.counter(measure.end) += 1;
        self.good += u64::from(self.is_good(measure));
        self.reconnects += measure.reconnects;
        self.duplicate += measure.progress.duplicate;
        self.missing += measure.progress.missing;
        self.tokens += measure
            .first
            .map_or(0, |_| measure.progress.gaps.len() as u64 + 1);
        record(&mut self.first, measure.first);
        record(&mut self.gap, measure.progress.gaps.iter().copied());
        record(&mut self.answer, measure.answer);
    }

    fn counter(&mut self, end: measure::End) -> &mut u64 {
        match end {
            measure::End::Ok => &mut self.ok,
            measure::End::Refused => &mut self.refused,
            measure::End::Unreached => &mut self.unreached,
            measure::End::Failed => &mut self.failed,
            measure::End::Truncated => &mut self.truncated,
        }
    }

    fn is_good(&self, measure: &measure::Measure) -> bool {
        let gaps = &measure.progress.gaps;
        let late = gaps.iter().filter(|gap| **gap > self.target.gap).count();
        let first = measure.first.or(measure.answer);
        measure.end == measure::End::Ok
            && measure.progress.missing == 0
            && first.is_some_and(|first| first <= self.target.first)
            && late * GAP_SHARE <= gaps.len()
    }
}

fn histogram() -> Result<Histogram, hdrhistogram::CreationError> {
    Histogram::new_with_bounds(1, MAX_MICROS, DIGITS)
}

fn record(histogram: &mut Histogram, times: impl IntoIterator<Item = time::Duration>) {
    for time in times {
        histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    }
}
