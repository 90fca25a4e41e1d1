//! Parameters of a simulation of engines that crash.

use super::prompts;

/// How a crash of an engine shows at the instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashEffect {
    /// Connections break before any byte of a response.
    BeforeHead,
    /// Connections break after the head of the response, or within its first event.
    HeadOnly,
    /// Connections break after the first event.
    AfterHead,
    /// Connections close between two events of responses that end with their connection.
    CleanClose,
    /// Connections stay open but nothing more arrives.
    Silent,
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub effect: CrashEffect,
    /// Steps between two submissions of the crashing request; 0 for none.
    pub interval: u64,
    /// Other requests that arrive in each step.
    pub others: u64,
    /// Attempts per thousand of these requests that break at a healthy engine.
    pub resets: u64,
    /// Steps between two restarts of instances, one at a time; 0 for none.
    pub restart_interval: u64,
    /// Whether an engine responds to the crashing request with an error every other time.
    pub fails: bool,
    /// Whether all other requests have the same fingerprint.
    pub popular: bool,
    /// Parts of prompts that crash engines, in requests that are all different.
    pub parts: &'static [prompts::CrashingPart],
    /// Engines that crash for another reason.
    pub failures: Option<Failures>,
    /// Number of failures, after which there are no more.
    pub failure_count: u64,
    /// Failure domains of the engines, in rotation.
    pub engine_domains: usize,
    /// Steps for which an engine runs each sound request; 0 for some steps.
    pub run_steps: u64,
    /// Kills of instances between two submissions of the crashing request.
    pub kills: Option<Kills>,
    /// The store that keeps what is known of crashes.
    pub store: Option<CrashStore>,
    /// Seed of all draws.
    pub seed: u64,
}

/// Instances that are killed and start again at once.
#[derive(Clone, Copy, Debug)]
pub struct Kills {
    /// Submissions of the crashing request before each kill.
    pub submissions: u64,
    /// Steps from the last of them to the kill.
    pub delay: u64,
    /// Number of kills.
    pub count: u64,
    /// One of so many instances is killed, in rotation; 1 for all.
    pub divisor: usize,
}

/// How the store responds.
#[derive(Clone, Copy, Debug)]
pub struct CrashStore {
    /// Steps from the request for a write or a first read to its effect.
    pub latency: u64,
    /// Steps, from the first to the last, at which it does not respond.
    pub outage: (u64, u64),
}

/// Engines that crash for no reason in their requests.
#[derive(Clone, Copy, Debug)]
pub struct Failures {
    /// Steps between two failures.
    pub interval: u64,
    /// One of so many engines crashes at a time; with 0, a single one.
    pub divisor: usize,
}

impl Plan {
    pub const CALM: Self = Self {
        effect: CrashEffect::BeforeHead,
        interval: 8,
        others: 4,
        resets: 0,
        restart_interval: 0,
        fails: false,
        popular: false,
        parts: &[],
        failures: None,
        failure_count: u64::MAX,
        engine_domains: 1,
        run_steps: 0,
        kills: None,
        store: None,
        seed: 1,
    };

    pub const fn has_prompts(&self) -> bool {
        !self.parts.is_empty() || self.failures.is_some()
    }
}
