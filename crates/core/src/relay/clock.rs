//! Estimate of the true time, from a wall clock that may jump and the estimates of other
//! instances.

use crate::time;

/// Steps of the wall clock smaller than this are followed, in microseconds.
const MAX_STEP_MICROS: i64 = 200_000;
/// Difference from the median of all instances at which the own estimate is corrected, in
/// microseconds.
const MAX_ERROR_MICROS: i64 = 300_000;

/// Estimate of the true time.
///
/// The wall clock may jump and jump back, so the estimate advances with the monotonic clock and
/// does not follow a jump. A process that starts during a jump is corrected by the median of all
/// instances.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Microseconds by which the true time is ahead of the monotonic clock.
    offset: i64,
}

impl Clock {
    /// Starts from readings of the monotonic and the wall clock.
    pub fn new(now: time::Time, wall_micros: u64) -> Self {
        Self {
            offset: difference(wall_micros, now.as_micros()),
        }
    }

    /// Processes later readings of both clocks. Returns `true` if the wall clock has jumped.
    pub fn observe(&mut self, now: time::Time, wall_micros: u64) -> bool {
        let offset = difference(wall_micros, now.as_micros());
        let jumped = (offset - self.offset).abs() >= MAX_STEP_MICROS;
        if !jumped {
            self.offset = offset;
        }
        jumped
    }

    /// Compares the estimate with those of the other instances at the same moment, given as how
    /// far each is ahead. Returns `true` if the estimate was corrected.
    pub fn correct(&mut self, mut ahead_micros: Vec<i64>) -> bool {
        ahead_micros.push(0);
        ahead_micros.sort_unstable();
        let median = ahead_micros[ahead_micros.len() / 2];
        let is_wrong = median.abs() >= MAX_ERROR_MICROS;
        if is_wrong {
            self.offset += median;
        }
        is_wrong
    }

    /// Returns the estimated true time in microseconds since the Unix epoch.
    pub fn unix_micros(&self, now: time::Time) -> u64 {
        now.as_micros().saturating_add_signed(self.offset)
    }
}

fn difference(wall_micros: u64, now_micros: u64) -> i64 {
    wall_micros as i64 - now_micros as i64
}
