//! True time, from a clock that may jump and the clocks of the others.

use crate::time;

/// Steps of the time of day below this are followed, in microseconds.
const MAX_STEP_MICROS: i64 = 200_000;
/// Difference from the others' median at which the own estimate is wrong, in microseconds.
const MAX_ERROR_MICROS: i64 = 300_000;

/// Estimate of the true time of day.
///
/// The time of day may jump and jump back, so the steady clock carries the estimate and a jump is
/// not followed. A process that starts during a jump is set right by the median of the others.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    offset: i64,
}

impl Clock {
    /// Starts from a reading of both clocks.
    pub fn new(now: time::Time, wall_micros: u64) -> Self {
        Self {
            offset: difference(wall_micros, now.as_micros()),
        }
    }

    /// Takes a later reading of both clocks; returns whether the time of day has jumped.
    pub fn observe(&mut self, now: time::Time, wall_micros: u64) -> bool {
        let offset = difference(wall_micros, now.as_micros());
        let jumped = (offset - self.offset).abs() >= MAX_STEP_MICROS;
        if !jumped {
            self.offset = offset;
        }
        jumped
    }

    /// Compares the estimate with those of the others at the same moment.
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

    /// Returns the true time in microseconds since the Unix epoch.
    pub fn unix_micros(&self, now: time::Time) -> u64 {
        now.as_micros().saturating_add_signed(self.offset)
    }
}

fn difference(wall_micros: u64, now_micros: u64) -> i64 {
    wall_micros as i64 - now_micros as i64
}
