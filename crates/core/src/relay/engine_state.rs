//! State of one engine as known to this instance.

use std::collections;
use std::time::Duration;

use super::crashed_engine;
use super::engine;
use super::load;
use super::load_report;
use super::pace;
use crate::name;
use crate::time;

/// Half-life of the counts of successes and failures.
const HEALTH_HALF_LIFE: Duration = Duration::from_secs(3);
/// Decayed number of failures below which an engine is never ejected.
const MIN_FAILURES: f64 = 2.5;
/// Successes assumed before any response, so that one failure does not decide.
const PRIOR_SUCCESSES: f64 = 2.0;
/// First pause of an engine that accepted no connection; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest such pause.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Pause of an engine that reported that it is full.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// Pause of an engine whose address another engine has taken over.
const MOVED_PAUSE: Duration = Duration::from_secs(5);
/// How long an engine counts as unresponsive after an attempt there got no response.
const SILENT_PERIOD: Duration = Duration::from_secs(2);
/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.15;
/// The same for an engine that takes a limited rate, and so is measured rarely.
const RARE_SAMPLE_WEIGHT: f64 = 0.5;
/// Half-life of what is known of an engine's delay relative to that of its service: what slows an
/// engine down, a busy neighbour or a queue, ends before an instance of a large fleet uses it again.
const RATIO_HALF_LIFE: Duration = Duration::from_secs(2);
/// Bounds of an engine's delay relative to that of its service.
const RATIO_BOUNDS: (f64, f64) = (0.5, 8.0);

/// Counts of successes and failures of an engine, which decay over time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    successes: f64,
    failures: f64,
    at: time::Time,
}

/// One engine.
#[derive(Clone, Debug)]
pub(super) struct EngineState {
    pub engine: engine::Engine,
    pub own_load: load::Load,
    pub other_loads: collections::BTreeMap<name::Name, load::Load>,
    pub health: Health,
    /// When an engine that disappeared from the list is considered gone; this is delayed if it
    /// disappeared together with the store.
    pub gone_at: Option<time::Time>,
    /// From when new requests may be sent there; [`time::Time::MAX`] while its failure domain is
    /// evacuated.
    pub usable_at: time::Time,
    /// Delay relative to the estimate of its service, at `measured_at`.
    delay_ratio: f64,
    measured_at: time::Time,
    /// Pace of the requests to it, if it takes a limited rate.
    pub pace: Option<pace::Pace>,
    /// Whether it took any rate when the paces were last updated.
    pub was_unlimited: bool,
    /// What it stated last of its load.
    report: Option<load_report::Received>,
    paused_until: time::Time,
    pause_count: u32,
    silent_until: time::Time,
    /// When this instance sent it a request last.
    sent_at: Option<time::Time>,
    /// When it was listed first.
    pub listed_at: time::Time,
    /// When it responded last.
    pub responded_at: Option<time::Time>,
}

impl Health {
    fn decay(&mut self, now: time::Time) {
        let half_lives = self.at.until(now).as_secs_f64() / HEALTH_HALF_LIFE.as_secs_f64();
        let kept = 0.5_f64.powf(half_lives);
        self.successes *= kept;
        self.failures *= kept;
        self.at = self.at.max(now);
    }

    /// Counts a success or a failure.
    pub fn record(&mut self, now: time::Time, is_success: bool) {
        self.decay(now);
        if is_success {
            self.successes += 1.0;
        } else {
            self.failures += 1.0;
        }
    }

    /// Returns the share of failures, with the assumed successes as prior.
    pub fn error_rate(&self) -> f64 {
        self.failures / (self.successes + self.failures + PRIOR_SUCCESSES)
    }

    /// Returns the decayed number of failures.
    pub const fn failures(&self) -> f64 {
        self.failures
    }
}

impl EngineState {
    /// Returns the state of an engine that is listed for the first time.
    pub fn new(now: time::Time, engine: engine::Engine) -> Self {
        Self {
            engine,
            own_load: load::Load::default(),
            other_loads: collections::BTreeMap::new(),
            health: Health::default(),
            gone_at: None,
            usable_at: time::Time::default(),
            delay_ratio: 1.0,
            measured_at: time::Time::default(),
            pace: None,
            was_unlimited: false,
            report: None,
            paused_until: time::Time::default(),
            pause_count: 0,
            silent_until: time::Time::default(),
            sent_at: None,
            listed_at: now,
            responded_at: None,
        }
    }

    /// Records that a request is sent to it.
    pub fn record_send(&mut self, now: time::Time) {
        self.sent_at = Some(now);
        if let Some(received) = &mut self.report {
            received.sent = received.sent.saturating_add(1);
        }
    }

    /// Returns `true` if this instance has sent it no request after `since`.
    pub fn is_unused_since(&self, since: time::Time) -> bool {
        self.sent_at.is_none_or(|at| at <= since)
    }

    /// Returns the load of all instances.
    pub fn load(&self) -> load::Load {
        let mut sum = self.own_load;
        for load in self.other_loads.values() {
            sum.running = sum.running.saturating_add(load.running);
            sum.pending_prefill = sum.pending_prefill.saturating_add(load.pending_prefill);
        }
        sum
    }

    /// Returns `true` if new requests may be sent there.
    pub fn is_available(&self, now: time::Time) -> bool {
        self.is_listed(now) && self.usable_at <= now
    }

    /// Returns `true` if it is neither leaving nor gone, although its failure domain may be
    /// evacuated.
    pub fn is_listed(&self, now: time::Time) -> bool {
        !self.engine.leaving && self.gone_at.is_none_or(|at| now < at)
    }

    /// Returns this engine as a crashed one, or `None` if it is known to be leaving.
    pub fn as_crashed(&self) -> Option<crashed_engine::CrashedEngine> {
        (!self.engine.leaving).then(|| crashed_engine::CrashedEngine {
            name: self.engine.name.clone(),
            incarnation: self.engine.incarnation,
        })
    }

    /// Returns `true` if it is neither paused nor unresponsive.
    pub fn is_healthy(&self, now: time::Time) -> bool {
        now >= self.paused_until && now >= self.silent_until
    }

    /// Returns `true` if its rate limit leaves room for a request of this instance.
    pub fn admits(&self, now: time::Time) -> bool {
        self.pace.is_none_or(|pace| pace.admits(now))
    }

    /// Returns `true` if new requests may be sent there now.
    pub fn is_usable(&self, now: time::Time) -> bool {
        self.is_available(now) && self.is_healthy(now) && self.admits(now)
    }

    /// Returns `true` if it has a slot beyond `reserve` of them, as far as is known.
    pub fn has_room(&self, now: time::Time, reserve: u32) -> bool {
        self.free_slots(now) > reserve
    }

    /// Returns the number of its free slots, as far as is known.
    pub fn free_slots(&self, now: time::Time) -> u32 {
        self.engine.slots.max(1).saturating_sub(self.requests(now))
    }

    /// Records what it states of its load.
    pub fn record_load(&mut self, now: time::Time, report: load_report::LoadReport) {
        self.report = Some(load_report::Received {
            report,
            at: now,
            sent: 0,
        });
    }

    /// Returns the expected number of requests that it runs or that wait there.
    pub fn requests(&self, now: time::Time) -> u32 {
        let known = self.load().running;
        let report = self.report.as_ref();
        report.map_or(known, |report| report.requests(now, known))
    }

    /// Returns the expected time that work takes there, relative to the usual time.
    pub fn pace_factor(&self, now: time::Time) -> f64 {
        self.report.as_ref().map_or(1.0, |report| report.pace(now))
    }

    /// Returns `true` if it stated a moment ago that requests wait there or that work takes longer
    /// than usual, so that a response does not show its speed.
    pub fn is_contended(&self, now: time::Time) -> bool {
        let recent = self.report.filter(|report| report.at == now);
        recent.is_some_and(|r| r.report.waiting > 0 || r.report.pace() > 1.0)
    }

    /// Returns `true` if its error rate is much higher than `usual_rate`, the one of its service.
    pub fn is_outlier(&self, usual_rate: f64) -> bool {
        self.health.failures() >= MIN_FAILURES && self.health.error_rate() > 2.0 * usual_rate + 0.15
    }

    pub fn record_response(&mut self, now: time::Time, is_success: bool) {
        self.health.record(now, is_success);
        self.responded_at = Some(now);
        self.pause_count = 0;
        self.silent_until = time::Time::default();
    }

    pub fn record_break(&mut self, now: time::Time) {
        self.health.record(now, false);
    }

    pub fn record_timeout(&mut self, now: time::Time) {
        self.health.record(now, false);
        self.silent_until = now.after(SILENT_PERIOD);
    }

    pub fn record_unreachable(&mut self, now: time::Time) {
        self.health.record(now, false);
        let pause = FIRST_PAUSE.saturating_mul(1 << self.pause_count.min(4));
        self.pause_count = self.pause_count.saturating_add(1);
        self.paused_until = now.after(pause.min(MAX_PAUSE));
    }

    pub fn record_overload(&mut self, now: time::Time) {
        self.responded_at = Some(now);
        self.paused_until = self.paused_until.max(now.after(FULL_PAUSE));
    }

    pub fn record_moved(&mut self, now: time::Time) {
        self.paused_until = now.after(MOVED_PAUSE);
    }

    /// Returns the delay relative to the estimate of its service, which approaches the `usual` one of
    /// the service's engines.
    pub fn delay_ratio(&self, now: time::Time, usual: f64) -> f64 {
        let age = self.measured_at.until(now).as_secs_f64();
        let kept = 0.5_f64.powf(age / RATIO_HALF_LIFE.as_secs_f64());
        usual + (self.delay_ratio - usual) * kept
    }

    /// Forgets the delay ratio: the engine is as fast as its service.
    pub fn reset_delay_ratio(&mut self) {
        self.delay_ratio = 1.0;
    }

    /// Updates the delay ratio from the measured and the expected time to a first event.
    pub fn update_delay_ratio(&mut self, now: time::Time, took: Duration, expected: Duration) {
        let sample = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let sample = sample.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        let weight = match self.pace {
            Some(_) => RARE_SAMPLE_WEIGHT,
            None => SAMPLE_WEIGHT,
        };
        let known = self.delay_ratio(now, 1.0);
        self.delay_ratio = known + weight * (sample - known);
        self.measured_at = self.measured_at.max(now);
    }
}
