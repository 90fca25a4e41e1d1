//! How late the event loop is, and which events keep it busy.

use std::cell;
use std::collections;
use std::time::Duration;

use guavausher_core::time;

/// Lag from which the process counts as behind.
pub const MIN_LAG: Duration = Duration::from_millis(200);
/// Shortest time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Lag of the event loop, and the time that events have taken since the last report.
#[derive(Debug, Default)]
pub struct EventLoop {
    lag: cell::Cell<Duration>,
    reported_at: cell::Cell<time::Time>,
    busy: cell::RefCell<collections::BTreeMap<&'static str, Duration>>,
}

/// A process that is behind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// How much later than due a timer has fired.
    pub lag: Duration,
    /// Time that all events have taken since the last report.
    pub busy: Duration,
    /// The kind of event that has taken most of it.
    pub busiest: &'static str,
    /// Time that events of this kind have taken.
    pub busiest_time: Duration,
}

impl EventLoop {
    /// Records how long the process has worked on an event.
    pub fn record_event(&self, kind: &'static str, took: Duration) {
        *self.busy.borrow_mut().entry(kind).or_default() += took;
    }

    /// Records that a timer due at `due` fires now. Returns a report if the process is behind and
    /// none was returned for a while.
    pub fn record_timer(&self, now: time::Time, due: time::Time) -> Option<Report> {
        let lag = due.until(now);
        self.lag.set(lag);
        if self.reported_at.get().after(REPORT_INTERVAL) > now {
            return None;
        }
        let busy = std::mem::take(&mut *self.busy.borrow_mut());
        self.reported_at.set(now);
        if lag < MIN_LAG {
            return None;
        }
        let busiest = busy.iter().max_by_key(|(_, took)| **took);
        let (busiest, busiest_time) = busiest.map_or(("none", Duration::ZERO), |(k, t)| (*k, *t));
        Some(Report {
            lag,
            busy: busy.values().sum(),
            busiest,
            busiest_time,
        })
    }

    /// Returns how late the last timer fired.
    pub const fn lag(&self) -> Duration {
        self.lag.get()
    }
}
