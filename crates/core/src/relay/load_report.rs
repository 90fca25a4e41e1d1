//! What an engine states of its load in a response.

use std::time::Duration;

use crate::time;

/// Usual time that work takes, in percent.
const USUAL_PERCENT: u32 = 100;
/// Bounds of the time that work takes, relative to the usual one.
const PACE_BOUNDS: (f64, f64) = (0.25, 16.0);
/// Half-life of the stated numbers of requests, which change with each request of the fleet.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(300);
/// Half-life of the stated time that work takes, which changes many times a second.
const PACE_HALF_LIFE: Duration = Duration::from_millis(150);

/// Load of an engine from all instances together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Time that work takes on its machine at the moment, in percent of the usual time.
    pub percent: u32,
}

/// A load report and what has happened since.
#[derive(Clone, Copy, Debug)]
pub(super) struct Received {
    pub report: LoadReport,
    pub at: time::Time,
    /// Requests that this instance has sent to the engine since.
    pub sent: u32,
}

impl LoadReport {
    /// Parses `running,waiting,slots` with an optional fourth figure, the percentage; `None` if a
    /// figure is missing or is no number.
    pub fn parse(text: &str) -> Option<Self> {
        let mut figures = text.split(',').map(|figure| figure.trim().parse::<u32>());
        let running = figures.next()?.ok()?;
        let waiting = figures.next()?.ok()?;
        figures.next()?.ok()?;
        let percent = figures.next().unwrap_or(Ok(USUAL_PERCENT)).ok()?;
        let is_plausible = percent > 0 && figures.next().is_none();
        is_plausible.then_some(Self {
            running,
            waiting,
            percent,
        })
    }

    /// Returns the time that work takes relative to the usual time.
    pub fn pace(&self) -> f64 {
        let pace = f64::from(self.percent) / f64::from(USUAL_PERCENT);
        pace.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1)
    }
}

impl Received {
    /// Returns the number of requests at the engine, of which `known` are known otherwise.
    pub fn requests(&self, now: time::Time, known: u32) -> u32 {
        let stated = self.report.running.saturating_add(self.report.waiting);
        let stated = f64::from(stated.saturating_add(self.sent));
        let weight = self.weight(now, LOAD_HALF_LIFE);
        (stated * weight + f64::from(known) * (1.0 - weight)).round() as u32
    }

    /// Returns the expected time that work takes relative to the usual time.
    pub fn pace(&self, now: time::Time) -> f64 {
        1.0 + (self.report.pace() - 1.0) * self.weight(now, PACE_HALF_LIFE)
    }

    fn weight(&self, now: time::Time, half_life: Duration) -> f64 {
        0.5_f64.powf(self.at.until(now).as_secs_f64() / half_life.as_secs_f64())
    }
}
