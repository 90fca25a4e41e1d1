//! What this instance knows about one engine.

use std::collections;
use std::time::Duration;

use super::engine;
use super::fleet;
use crate::name;
use crate::time;

/// Time in which the memory of good and bad answers halves.
const HEALTH_HALF_LIFE: Duration = Duration::from_secs(3);
/// Bad answers below which an engine is never ejected.
const MIN_FAILURES: f64 = 2.5;
/// Answers of an imaginary good past, so that one bad answer is no verdict.
const PRIOR: f64 = 2.0;
/// First pause of an engine that took no channel; it doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest such pause.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Pause of an engine that said it was full.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// Pause of an address that another engine has taken over.
const MOVED_PAUSE: Duration = Duration::from_secs(5);
/// How long an engine counts as silent after an attempt there went unanswered.
const SILENCE: Duration = Duration::from_secs(2);
/// Share of a new sample in a moving average.
const GAIN: f64 = 0.15;
/// Bounds of an engine's delay against that of its service.
const RATIO: (f64, f64) = (0.5, 8.0);

/// Work that was sent to an engine and has not ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Load {
    /// Requests.
    pub running: u32,
    /// Prompt tokens of those without a first event that the engine has to read.
    #[serde(rename = "unread")]
    pub pending_prefill: u32,
}

/// Answers of an engine, fading with time.
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
    pub own_load: Load,
    pub other_loads: collections::BTreeMap<name::Name, Load>,
    pub health: Health,
    /// When an engine that vanished together with the store is taken as gone.
    pub gone_at: Option<time::Time>,
    /// Delay against what its service's estimate says.
    pub delay_ratio: f64,
    paused_until: time::Time,
    pause_count: u32,
    silent_until: time::Time,
}

impl Health {
    fn decay(&mut self, now: time::Time) {
        let half_lives = self.at.until(now).as_secs_f64() / HEALTH_HALF_LIFE.as_secs_f64();
        let kept = 0.5_f64.powf(half_lives);
        self.successes *= kept;
        self.failures *= kept;
        self.at = self.at.max(now);
    }

    /// Counts an answer.
    pub fn record(&mut self, now: time::Time, is_success: bool) {
        self.decay(now);
        if is_success {
            self.successes += 1.0;
        } else {
            self.failures += 1.0;
        }
    }

    /// Returns the share of bad answers, with a good past as prior.
    pub fn error_rate(&self) -> f64 {
        self.failures / (self.successes + self.failures + PRIOR)
    }

    /// Returns the faded count of bad answers.
    pub const fn failures(&self) -> f64 {
        self.failures
    }
}

impl EngineState {
    pub fn new(engine: engine::Engine) -> Self {
        Self {
            engine,
            own_load: Load::default(),
            other_loads: collections::BTreeMap::new(),
            health: Health::default(),
            gone_at: None,
            delay_ratio: 1.0,
            paused_until: time::Time::default(),
            pause_count: 0,
            silent_until: time::Time::default(),
        }
    }

    /// Returns the work of all instances.
    pub fn load(&self) -> Load {
        let mut sum = self.own_load;
        for load in self.other_loads.values() {
            sum.running = sum.running.saturating_add(load.running);
            sum.pending_prefill = sum.pending_prefill.saturating_add(load.pending_prefill);
        }
        sum
    }

    /// Tells whether new work may go there.
    pub fn is_available(&self, now: time::Time) -> bool {
        !self.engine.leaving && self.gone_at.is_none_or(|at| now < at)
    }

    /// Returns this engine as one that has ended, if it had not said that it leaves.
    pub fn as_crashed(&self) -> Option<fleet::CrashedEngine> {
        (!self.engine.leaving).then(|| fleet::CrashedEngine {
            name: self.engine.name.clone(),
            incarnation: self.engine.incarnation,
        })
    }

    /// Tells whether nothing speaks against it at the moment.
    pub fn is_healthy(&self, now: time::Time) -> bool {
        now >= self.paused_until && now >= self.silent_until
    }

    /// Tells whether its answers are much worse than those of its service, whose share of bad
    /// ones is `usual`.
    pub fn is_outlier(&self, usual_rate: f64) -> bool {
        self.health.failures() >= MIN_FAILURES && self.health.error_rate() > 2.0 * usual_rate + 0.15
    }

    pub fn record_response(&mut self, now: time::Time, is_success: bool) {
        self.health.record(now, is_success);
        self.pause_count = 0;
        self.silent_until = time::Time::default();
    }

    pub fn record_break(&mut self, now: time::Time) {
        self.health.record(now, false);
    }

    pub fn record_timeout(&mut self, now: time::Time) {
        self.health.record(now, false);
        self.silent_until = now.after(SILENCE);
    }

    pub fn record_unreachable(&mut self, now: time::Time) {
        self.health.record(now, false);
        let pause = FIRST_PAUSE.saturating_mul(1 << self.pause_count.min(4));
        self.pause_count = self.pause_count.saturating_add(1);
        self.paused_until = now.after(pause.min(MAX_PAUSE));
    }

    pub fn record_overload(&mut self, now: time::Time) {
        self.paused_until = self.paused_until.max(now.after(FULL_PAUSE));
    }

    pub fn record_moved(&mut self, now: time::Time) {
        self.paused_until = now.after(MOVED_PAUSE);
    }

    /// Learns how long a first event took against what was expected.
    pub fn update_delay_ratio(&mut self, took: Duration, expected: Duration) {
        let sample = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        let sample = sample.clamp(RATIO.0, RATIO.1);
        self.delay_ratio += GAIN * (sample - self.delay_ratio);
    }
}
