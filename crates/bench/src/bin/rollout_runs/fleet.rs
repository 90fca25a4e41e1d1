//! Upstreams of both versions: slots, times and failures.

use guavausher_core::name;
use guavausher_core::rollout;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::fault;
use crate::noise;

/// Routes; each has half the traffic of the one before.
pub const ROUTES: usize = 3;
/// Requests that an upstream runs at once.
pub const SLOTS: usize = 8;

const TOKENS: f64 = 20.0;
/// Median time to the first token on each route in microseconds.
const FIRST: [f64; ROUTES] = [60e3, 150e3, 400e3];
const GAP: f64 = 24e3;
/// Share of requests that fail on any version.
const FAILURES: f64 = 0.004;

/// One upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Whether it runs the new version.
    pub is_new: bool,
    /// Requests that it runs now.
    pub running: usize,
}

/// What happens to one request.
#[derive(Clone, Copy, Debug)]
pub struct Fate {
    /// What the entry sees at its end.
    pub sample: rollout::Sample,
    /// Time until its end in microseconds.
    pub duration: u64,
    /// Whether the version's fault touched it.
    pub is_harmed: bool,
}

/// All upstreams of one service.
pub struct Fleet {
    /// Upstreams; the new ones in the order of their rank.
    pub upstreams: Vec<Upstream>,
    /// The fault of the new version.
    pub fault: Option<fault::Fault>,
    /// When a fault that shows later does.
    pub onset: u64,
    /// When all links are slow.
    pub congestion: noise::Stretch,
}

impl Fleet {
    /// Chooses an upstream: packed by rank on the new version, else the less loaded of two.
    pub fn choose(&self, rng: &mut SmallRng, is_new: bool) -> usize {
        let half = self.upstreams.len() / 2;
        if is_new {
            let free = (half..2 * half).find(|i| self.upstreams[*i].running < SLOTS);
            return free.unwrap_or_else(|| rng.random_range(half..2 * half));
        }
        let pair = [rng.random_range(0..half), rng.random_range(0..half)];
        let running = |i: usize| self.upstreams[i].running;
        if running(pair[0]) <= running(pair[1]) {
            pair[0]
        } else {
            pair[1]
        }
    }

    /// Draws what happens to a request that an upstream begins now.
    pub fn begin(&mut self, rng: &mut SmallRng, now: u64, index: usize, route: usize) -> Fate {
        let upstream = &mut self.upstreams[index];
        upstream.running += 1;
        let running = upstream.running;
        let expected = noise::log_normal(rng, FIRST[route], 0.5);
        let wait = running.saturating_sub(SLOTS) as f64 * 100e3;
        let link = if self.congestion.has(now) { 40e3 } else { 5e3 };
        let mut first =
            noise::log_normal(rng, expected, 0.15) + wait + noise::log_normal(rng, link, 0.6);
        let load = running as f64 / SLOTS as f64;
        let mut gap = noise::log_normal(rng, GAP * (1.0 + 0.1 * load), 0.15);
        let mut failed = rng.random_bool(FAILURES);
        let effect = self.effect(now, index, route);
        match effect {
            None => {}
            Some(fault::Effect::Fail(rate)) => failed |= rng.random_bool(rate),
            Some(fault::Effect::Slow(factor)) => first *= factor,
            Some(fault::Effect::Stall(factor)) => gap *= factor,
        }
        let sample = rollout::Sample {
            failed,
            first_token: first as u64,
            expected: (expected + wait) as u64,
            gap: gap as u64,
            loaded: 4 * running >= 3 * SLOTS,
        };
        let duration = (first + gap * TOKENS) as u64;
        Fate {
            sample,
            duration,
            is_harmed: effect.is_some(),
        }
    }

    fn effect(&self, now: u64, index: usize, route: usize) -> Option<fault::Effect> {
        let fault = self.fault.filter(|_| self.upstreams[index].is_new)?;
        let shows = match fault.trigger {
            fault::Trigger::Once => true,
            fault::Trigger::Later(_) => now >= self.onset,
            fault::Trigger::Load(free) => self.upstreams[index].running + free >= SLOTS,
            fault::Trigger::Route(faulty) => route == faulty,
        };
        shows.then_some(fault.effect)
    }
}

/// Names the routes.
pub fn route_names() -> [name::Name; ROUTES] {
    std::array::from_fn(|i| name::Name::from(format!("route-{i}")))
}
