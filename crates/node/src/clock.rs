//! A clock that never steps back.

use std::time;

use guavausher_core::time as point;

/// Wall time read once at start, advanced by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: point::Time,
    start: time::Instant,
}

impl Clock {
    /// Starts the clock at the present wall time.
    pub fn start() -> Self {
        let wall = time::SystemTime::now()
            .duration_since(time::UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            origin: point::Time::default().after(wall),
            start: time::Instant::now(),
        }
    }

    /// Returns the present time; later calls never return an earlier one.
    pub fn now(&self) -> point::Time {
        self.origin.after(self.start.elapsed())
    }
}
