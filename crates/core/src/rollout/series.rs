//! Recent times of one service, version and route at one entry.

/// Times that are kept.
const CAPACITY: usize = 256;
/// Times needed before a limit is given.
const MIN_TIMES: usize = 6;
/// Times needed before the limit is a close one.
const MANY_TIMES: usize = 32;
/// Times between two computations of the limit, once there are many.
const REFRESH: u32 = 16;
/// The limit is this many times the quantile.
const RATIO: f64 = 1.25;
/// The limit is this many times the quantile of a few times.
const FEW_RATIO: f64 = 1.5;
/// The limit is at least this much above the quantile, in microseconds.
const FLOOR_MICROS: u64 = 5_000;
/// The quantile, in hundredths.
const QUANTILE: usize = 90;

/// The last times of a measure, with a limit above which a time is called late.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Series {
    times: Vec<u32>,
    cursor: usize,
    added: u32,
    limit: Option<u64>,
}

impl Series {
    /// Adds a time in microseconds.
    pub fn add(&mut self, micros: u64) {
        let micros = u32::try_from(micros).unwrap_or(u32::MAX);
        if self.times.len() < CAPACITY {
            self.times.push(micros);
        } else {
            self.times[self.cursor] = micros;
        }
        self.cursor = (self.cursor + 1) % CAPACITY;
        self.added = self.added.wrapping_add(1);
        if self.times.len() < MANY_TIMES || self.added.is_multiple_of(REFRESH) {
            self.limit = self.compute();
        }
    }

    /// Tells whether a time in microseconds is late; never before enough times are known.
    pub fn is_late(&self, micros: u64) -> bool {
        self.limit.is_some_and(|limit| micros > limit)
    }

    fn compute(&self) -> Option<u64> {
        if self.times.len() < MIN_TIMES {
            return None;
        }
        let mut times = self.times.clone();
        let index = times.len() * QUANTILE / 100;
        let (_, quantile, _) = times.select_nth_unstable(index);
        let quantile = u64::from(*quantile);
        let is_close = times.len() >= MANY_TIMES;
        let ratio = if is_close { RATIO } else { FEW_RATIO };
        let scaled = (quantile as f64 * ratio) as u64;
        Some(scaled.max(quantile + FLOOR_MICROS))
    }
}
