//! What is wrong with a bad version, and when it shows.

use rand::Rng;
use rand::rngs::SmallRng;

/// When a fault shows.
#[derive(Clone, Copy, Debug)]
pub enum Trigger {
    /// From the first request on.
    Once,
    /// From a point in the rollout's window on, in thousandths.
    Later(u64),
    /// On an upstream with at most this many free slots.
    Load(usize),
    /// On one route.
    Route(usize),
}

/// What a fault does to a request.
#[derive(Clone, Copy, Debug)]
pub enum Effect {
    /// Fails with this probability.
    Fail(f64),
    /// Makes the first token this many times later.
    Slow(f64),
    /// Makes the gaps between tokens this many times longer.
    Stall(f64),
}

/// A fault of a version.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// When it shows.
    pub trigger: Trigger,
    /// What it does.
    pub effect: Effect,
}

impl Fault {
    /// Draws a fault; the kinds of trigger take turns by index.
    pub fn draw(rng: &mut SmallRng, index: u64) -> Self {
        let trigger = match index % 4 {
            0 => Trigger::Once,
            1 => Trigger::Later(rng.random_range(100..600)),
            2 => Trigger::Load(rng.random_range(1..=2)),
            _ => Trigger::Route(rng.random_range(0..crate::fleet::ROUTES)),
        };
        let effect = match rng.random_range(0..3) {
            0 => Effect::Fail(rng.random_range(0.15..1.0)),
            1 => Effect::Slow(rng.random_range(1.8..6.0)),
            _ => Effect::Stall(rng.random_range(1.8..6.0)),
        };
        Self { trigger, effect }
    }
}
