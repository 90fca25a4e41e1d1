//! The choice of an engine for a request.

use std::net;
use std::time::Duration;

use super::Fleet;
use crate::name;
use crate::relay::engine_state;
use crate::relay::prefix_cache;
use crate::relay::request;
use crate::time;

/// What a request in another failure domain costs, as time, in microseconds.
const CROSSING_MICROS: f64 = 8_000.0;
/// What a bad answer costs, as time, in microseconds.
const FAILURE_MICROS: f64 = 2_000_000.0;
/// What a token that was read before and is read again costs beyond its own delay: it delays
/// the requests behind it as well.
const REREAD: f64 = 3.0;
/// Trust in the engine that all instances agree on for a beginning of which nothing is known.
const AGREED: f64 = 0.6;
/// Delay that each running request adds to a step, in microseconds.
const CROWD_MICROS: f64 = 300.0;
/// How much longer a cold engine takes.
const COLD_FACTOR: f64 = 1.5;

/// The engine for one attempt.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The engine.
    pub engine: name::Name,
    /// Its start.
    pub incarnation: u64,
    /// Its address.
    pub address: net::SocketAddr,
    /// Its version.
    pub version: name::Name,
    /// Expected time to the first event.
    pub expected: Duration,
    /// Expected time by the service's speed alone, from which the engine's own is learned.
    pub unadjusted: Duration,
    /// Tokens that it has to read before the first event, those of others included.
    pub pending_prefill: u32,
    /// Tokens of this request that it has to read.
    pub uncached: u32,
    /// Requests that it is working on.
    pub running: u32,
}

/// Why no engine was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unavailability {
    /// No engine of the service is known.
    NoEngine,
    /// Those that are known have failed this request, or take no more channels.
    Excluded,
    /// The others want nothing from this instance; the first does again at that time.
    OnHold(time::Time),
}

/// What limits the choice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limits<'a> {
    /// Engines that the request is not to be sent to again.
    pub excluded: &'a [name::Name],
    /// The only version that may take it, if one is wanted.
    pub version: Option<&'a name::Name>,
    /// A version that must not take it.
    pub barred: Option<&'a name::Name>,
    /// Channels that one engine takes from all instances, if there is a limit.
    pub connections: Option<u32>,
}

struct Candidate {
    cost: f64,
    choice: Choice,
}

impl Fleet {
    /// Picks the engine with the least expected delay and cost.
    ///
    /// # Errors
    ///
    /// Fails if no engine may take the request.
    pub fn choose(
        &self,
        now: time::Time,
        request: &request::Request,
        limits: Limits<'_>,
    ) -> Result<Choice, Unavailability> {
        let open: Vec<_> = self
            .of_service(&request.service)
            .filter(|t| t.is_available(now))
            .collect();
        if open.is_empty() {
            return Err(Unavailability::NoEngine);
        }
        let usable: Vec<_> = open
            .into_iter()
            .filter(|t| !limits.excluded.contains(&t.engine.name))
            .filter(|t| limits.version.is_none_or(|v| t.engine.version == *v))
            .filter(|t| limits.barred.is_none_or(|v| t.engine.version != *v))
            .filter(|t| {
                limits
                    .connections
                    .is_none_or(|most| t.load().running < most)
            })
            .collect();
        let held = |t: &&engine_state::EngineState| self.hold_end(now, &t.engine);
        let first = usable.iter().filter_map(held).min();
        let usable: Vec<_> = usable.into_iter().filter(|t| held(t).is_none()).collect();
        let usual = usual_error_rate(&usable);
        let healthy = |t: &&&engine_state::EngineState| t.is_healthy(now) && !t.is_outlier(usual);
        let healthy: Vec<_> = usable.iter().filter(healthy).copied().collect();
        let pool = if healthy.is_empty() {
            &usable
        } else {
            &healthy
        };
        let prefixes = prefix_cache::prefixes(request);
        let agreed = agreed(pool, &prefixes);
        let candidates = pool.iter().map(|t| {
            let is_agreed = agreed == Some(&t.engine.name);
            self.candidate(now, request, t, &prefixes, is_agreed)
        });
        let best = candidates.min_by(|a, b| a.cost.total_cmp(&b.cost));
        let choice = best.map(|candidate| candidate.choice);
        choice.ok_or(first.map_or(Unavailability::Excluded, Unavailability::OnHold))
    }

    fn candidate(
        &self,
        now: time::Time,
        request: &request::Request,
        tracked: &engine_state::EngineState,
        prefixes: &[prefix_cache::Prefix],
        is_agreed: bool,
    ) -> Candidate {
        let engine = &tracked.engine;
        let load = tracked.load();
        let cached =
            self.prefix_cache
                .cached_tokens(now, &engine.name, engine.incarnation, prefixes);
        let shared = prefixes.last().map_or(0, |b| b.tokens);
        let uncached = request.prompt.saturating_sub(cached);
        let speed = self
            .speeds
            .get(&request.service)
            .copied()
            .unwrap_or_default();
        let pending_prefill = load.pending_prefill.saturating_add(uncached);
        let waiting = (load.running + 1).saturating_sub(engine.slots.max(1));
        let unadjusted = speed.prefill(pending_prefill)
            + self.slot_wait(&request.service, waiting, engine.slots);
        let cold = if now < engine.warm_at {
            COLD_FACTOR
        } else {
            1.0
        };
        let expected = unadjusted.mul_f64(tracked.delay_ratio * cold);
        let reread = if is_agreed {
            f64::from(shared - cached) * (1.0 - AGREED)
        } else {
            f64::from(shared - cached)
        };
        let reread = speed.prefill_time(reread as u32).as_micros() as f64;
        let crossing = if engine.domain == self.domain {
            0.0
        } else {
            CROSSING_MICROS
        };
        let cost = expected.as_micros() as f64
            + REREAD * reread
            + tracked.health.error_rate() * FAILURE_MICROS
            + f64::from(load.running) * CROWD_MICROS
            + crossing;
        Candidate {
            cost,
            choice: Choice {
                engine: engine.name.clone(),
                incarnation: engine.incarnation,
                address: engine.address,
                version: engine.version.clone(),
                expected,
                unadjusted,
                pending_prefill,
                uncached,
                running: load.running,
            },
        }
    }
}

fn usual_error_rate(pool: &[&engine_state::EngineState]) -> f64 {
    let mut all: Vec<_> = pool.iter().map(|t| t.health.error_rate()).collect();
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(0.0)
}

/// Returns the engine on which all instances agree for the longest shared beginning.
fn agreed<'a>(
    pool: &[&'a engine_state::EngineState],
    prefixes: &[prefix_cache::Prefix],
) -> Option<&'a name::Name> {
    let key = prefixes.last()?.key;
    let names = pool.iter().map(|t| &t.engine.name);
    names.max_by_key(|name| prefix_cache::rank(key, name))
}
