//! Monotonic clock and wall clock of the process.

use std::time::Duration;

use guavausher_core::time;
use rustix::time as clocks;

/// Returns the monotonic time since the machine's boot, suspended time included.
pub fn now() -> time::Time {
    read(clocks::ClockId::Boottime)
}

/// Returns the wall clock time in microseconds since the Unix epoch; it may jump.
pub fn wall_micros() -> u64 {
    read(clocks::ClockId::Realtime).as_micros()
}

/// Sleeps until a time of the monotonic clock.
pub async fn sleep_until(at: time::Time) {
    /// Longest single sleep, since the timers do not count suspended time.
    const MAX_SLEEP: Duration = Duration::from_secs(1);
    loop {
        let left = now().until(at);
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left.min(MAX_SLEEP)).await;
    }
}

fn read(id: clocks::ClockId) -> time::Time {
    let at = clocks::clock_gettime(id);
    let seconds = u64::try_from(at.tv_sec).unwrap_or_default();
    let micros = u64::try_from(at.tv_nsec).unwrap_or_default() / 1_000;
    time::Time::from_micros(seconds * 1_000_000 + micros)
}
