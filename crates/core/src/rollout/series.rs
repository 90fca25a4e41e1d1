//! Recent durations of one measure, with a limit for outliers.

/// Largest number of durations kept.
const CAPACITY: usize = 256;
/// Durations needed before there is a limit.
const MIN_DURATIONS: usize = 6;
/// Durations needed before the limit gets closer to the quantile.
const MANY_DURATIONS: usize = 32;
/// Durations between two computations of the limit, from [`MANY_DURATIONS`] on.
const REFRESH_INTERVAL: u32 = 16;
/// Ratio of the limit to the quantile.
const LIMIT_RATIO: f64 = 1.25;
/// Ratio of the limit to the quantile of fewer than [`MANY_DURATIONS`].
const EARLY_LIMIT_RATIO: f64 = 1.5;
/// The least distance of the limit from the quantile, in microseconds.
const MIN_MARGIN_MICROS: u64 = 5_000;
/// The quantile that the limit is based on, in percent.
const QUANTILE_PERCENT: usize = 90;

/// The last durations of one service, version and route at one entry.
///
/// A duration above the limit is late.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Series {
    durations: Vec<u32>,
    cursor: usize,
    added: u32,
    limit: Option<u64>,
}

impl Series {
    /// Adds a duration in microseconds.
    pub fn add(&mut self, micros: u64) {
        let micros = u32::try_from(micros).unwrap_or(u32::MAX);
        if self.durations.len() < CAPACITY {
            self.durations.push(micros);
        } else {
            self.durations[self.cursor] = micros;
        }
        self.cursor = (self.cursor + 1) % CAPACITY;
        self.added = self.added.wrapping_add(1);
        if self.durations.len() < MANY_DURATIONS || self.added.is_multiple_of(REFRESH_INTERVAL) {
            self.limit = self.compute_limit();
        }
    }

    /// Returns `true` if a duration in microseconds is late; `false` while there is no limit.
    pub fn is_late(&self, micros: u64) -> bool {
        self.limit.is_some_and(|limit| micros > limit)
    }

    fn compute_limit(&self) -> Option<u64> {
        if self.durations.len() < MIN_DURATIONS {
            return None;
        }
        let mut durations = self.durations.clone();
        let index = durations.len() * QUANTILE_PERCENT / 100;
        let (_, quantile, _) = durations.select_nth_unstable(index);
        let quantile = u64::from(*quantile);
        let has_many = durations.len() >= MANY_DURATIONS;
        let ratio = if has_many {
            LIMIT_RATIO
        } else {
            EARLY_LIMIT_RATIO
        };
        let scaled = (quantile as f64 * ratio) as u64;
        Some(scaled.max(quantile + MIN_MARGIN_MICROS))
    }
}
