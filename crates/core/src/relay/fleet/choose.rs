//! Selection of an engine for a request.

use std::net;
use std::time::Duration;

use super::Fleet;
use crate::name;
use crate::relay::engine_state;
use crate::relay::group;
use crate::relay::prefix_cache;
use crate::relay::request;
use crate::time;

/// Cost of sending a request to another failure domain, as a delay in microseconds.
const CROSS_DOMAIN_MICROS: f64 = 8_000.0;
/// Cost of a failure, as a delay in microseconds.
const FAILURE_MICROS: f64 = 2_000_000.0;
/// Cost of processing again a token that is cached elsewhere, beyond its own delay and as a
/// multiple of it: it delays the requests behind it as well.
const REPEATED_PREFILL_FACTOR: f64 = 3.0;
/// Assumed shares of a prefix, of which nothing is known, that are cached at the engines on which all
/// instances agree, in the order of their ranks. With a second and a third engine, what the first has
/// no room for goes where it may be cached instead of anywhere.
const AGREED_SHARES: [f64; 3] = [0.7, 0.45, 0.25];
/// Delay that each running request adds to a step of the engine, in microseconds.
const RUNNING_MICROS: f64 = 300.0;
/// Factor on the expected time at an engine that started recently.
const COLD_FACTOR: f64 = 1.5;

/// The engine selected for one attempt.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The engine.
    pub engine: name::Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its address.
    pub address: net::SocketAddr,
    /// Its version.
    pub version: name::Name,
    /// Expected time to the first event.
    pub expected: Duration,
    /// Expected time by the service's speed alone, against which the engine's own delay is
    /// measured.
    pub unadjusted: Duration,
    /// Tokens that it has to process before the first event, those of other requests included.
    pub pending_prefill: u32,
    /// Tokens of this request that it has to process.
    pub uncached: u32,
    /// Number of requests that it is running.
    pub running: u32,
    /// Whether a slot was free, as far as is known.
    pub has_slot: bool,
    /// Whether the request is sent to see how fast the engine is now.
    pub is_probe: bool,
    /// The engine that would have been selected if its rate limit had left room.
    pub instead_of: Option<name::Name>,
}

/// Why no engine was selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unavailability {
    /// No engine of the service may get new requests.
    NoEngine,
    /// Those that may are excluded by the limits: for example they have failed this request, or
    /// accept no more connections.
    Excluded,
    /// The others are on hold for this instance or at their rate limit; the first of them may be
    /// available at that time.
    NotBefore(time::Time),
}

/// Limits of the selection.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limits<'a> {
    /// Engines to which the request must not be sent again.
    pub excluded: &'a [name::Name],
    /// The only version to which it may be sent, if one is required.
    pub version: Option<&'a name::Name>,
    /// A version to which it must not be sent.
    pub barred: Option<&'a name::Name>,
    /// Slots of each engine that are left to other requests if possible.
    pub reserve: u32,
    /// Maximum number of connections that one engine accepts from all instances, if there is a
    /// limit.
    pub connections: Option<u32>,
}

pub(super) struct Candidate {
    pub cost: f64,
    pub choice: Choice,
}

impl Fleet {
    /// Selects the engine with the lowest expected delay and cost.
    ///
    /// # Errors
    ///
    /// Fails if the request may be sent to no engine.
    pub fn choose(
        &self,
        now: time::Time,
        request: &request::Request,
        limits: Limits<'_>,
    ) -> Result<Choice, Unavailability> {
        let permitted = self.permitted(now, &request.service, limits)?;
        let (usable, blocked): (Vec<_>, Vec<_>) = permitted
            .into_iter()
            .partition(|t| t.admits(now) && self.hold_end(now, &t.engine).is_none());
        let usual_rate = usual_error_rate(&usable);
        let is_healthy =
            |t: &&engine_state::EngineState| t.is_healthy(now) && !t.is_outlier(usual_rate);
        let healthy: Vec<_> = usable.iter().filter(|t| is_healthy(t)).copied().collect();
        let pool = if healthy.is_empty() {
            &usable
        } else {
            &healthy
        };
        let has_room = |t: &&engine_state::EngineState| t.has_room(now, limits.reserve);
        let roomy: Vec<_> = match limits.reserve {
            0 => Vec::new(),
            _ => pool.iter().copied().filter(has_room).collect(),
        };
        let pool = if roomy.is_empty() { pool } else { &roomy };
        let prefixes = prefix_cache::prefixes(request);
        let agreed = agreed(pool, &prefixes);
        let candidate = |t: &&engine_state::EngineState| {
            let rank = agreed.iter().position(|name| *name == &t.engine.name);
            let share = rank.map_or(0.0, |rank| AGREED_SHARES[rank]);
            self.candidate(now, request, t, &prefixes, share)
        };
        let best = pool
            .iter()
            .map(candidate)
            .min_by(|a, b| a.cost.total_cmp(&b.cost));
        let Some(mut best) = best else {
            let next_at = blocked.iter().map(|t| self.next_at(now, t)).min();
            return Err(next_at.map_or(Unavailability::Excluded, Unavailability::NotBefore));
        };
        let limited = blocked.iter().filter(|t| !t.admits(now) && is_healthy(t));
        let cheaper = limited.map(candidate).filter(|c| c.cost < best.cost);
        let cheapest = cheaper.min_by(|a, b| a.cost.total_cmp(&b.cost));
        best.choice.instead_of = cheapest.map(|c| c.choice.engine);
        Ok(best.choice)
    }

    /// Returns the engines of a service to which a request may be sent, now or later.
    pub(super) fn permitted<'a>(
        &'a self,
        now: time::Time,
        service: &'a name::Name,
        limits: Limits<'_>,
    ) -> Result<Vec<&'a engine_state::EngineState>, Unavailability> {
        let available: Vec<_> = self
            .of_service(service)
            .filter(|t| t.is_available(now))
            .collect();
        if available.is_empty() {
            return Err(Unavailability::NoEngine);
        }
        let permitted = available
            .into_iter()
            .filter(|t| !limits.excluded.contains(&t.engine.name))
            .filter(|t| limits.version.is_none_or(|v| t.engine.version == *v))
            .filter(|t| limits.barred.is_none_or(|v| t.engine.version != *v))
            .filter(|t| limits.connections.is_none_or(|max| t.load().running < max));
        Ok(permitted.collect())
    }

    /// Returns when an engine that is on hold or at its rate limit may be available again.
    fn next_at(&self, now: time::Time, state: &engine_state::EngineState) -> time::Time {
        let hold_end = self.hold_end(now, &state.engine).unwrap_or(now);
        let pace = state.pace.filter(|pace| !pace.admits(now));
        pace.map_or(hold_end, |pace| hold_end.max(pace.retry_at(now)))
    }

    pub(super) fn candidate(
        &self,
        now: time::Time,
        request: &request::Request,
        state: &engine_state::EngineState,
        prefixes: &[prefix_cache::Prefix],
        agreed_share: f64,
    ) -> Candidate {
        let engine = &state.engine;
        let load = state.load();
        let running = state.requests(now);
        let cached =
            self.prefix_cache
                .cached_tokens(now, &engine.name, engine.incarnation, prefixes);
        let shared = prefixes.last().map_or(0, |p| p.tokens);
        let uncached = request.prompt.saturating_sub(cached);
        let speed = self
            .speeds
            .get(&request.service)
            .copied()
            .unwrap_or_default();
        let pending_prefill = load.pending_prefill.saturating_add(uncached);
        let waiting = (running + 1).saturating_sub(engine.slots.max(1));
        let unadjusted = speed.first_event_delay(pending_prefill)
            + self.slot_wait(&request.service, waiting, engine.slots);
        let cold_factor = if now < engine.warm_at {
            COLD_FACTOR
        } else {
            1.0
        };
        let needs_probe = state.pace.is_some_and(|pace| pace.needs_probe(now));
        // What is known of the delay of an engine that needs a probe is out of date.
        let delay_ratio = if needs_probe {
            1.0
        } else {
            state.delay_ratio(now, self.contention(now, &request.service))
        };
        let pace = state.pace_factor(now);
        let expected = unadjusted.mul_f64(delay_ratio * cold_factor * pace);
        let is_probe = needs_probe && now.after(expected) <= request.goal;
        let repeated = f64::from(shared - cached) * (1.0 - agreed_share);
        let repeated = speed.prefill_time(repeated as u32).as_micros() as f64;
        let cross_domain = if engine.domain == self.domain {
            0.0
        } else {
            CROSS_DOMAIN_MICROS
        };
        let cost = expected.as_micros() as f64
            + REPEATED_PREFILL_FACTOR * repeated
            + state.health.error_rate() * FAILURE_MICROS
            + f64::from(running) * RUNNING_MICROS
            + cross_domain;
        Candidate {
            cost: if is_probe { 0.0 } else { cost },
            choice: Choice {
                engine: engine.name.clone(),
                incarnation: engine.incarnation,
                address: engine.address,
                version: engine.version.clone(),
                expected,
                unadjusted,
                pending_prefill,
                uncached,
                running,
                has_slot: waiting == 0,
                is_probe: false,
                instead_of: None,
            },
        }
    }
}

fn usual_error_rate(pool: &[&engine_state::EngineState]) -> f64 {
    let mut all: Vec<_> = pool.iter().map(|t| t.health.error_rate()).collect();
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(0.0)
}

/// Returns the engines on which all instances agree for the longest shared prefix, by rank.
fn agreed<'a>(
    pool: &[&'a engine_state::EngineState],
    prefixes: &[prefix_cache::Prefix],
) -> Vec<&'a name::Name> {
    let Some(prefix) = prefixes.last() else {
        return Vec::new();
    };
    let names = pool.iter().map(|t| &t.engine.name);
    let mut ranked: Vec<_> = names
        .map(|name| (group::rendezvous_rank(prefix.key, name), name))
        .collect();
    let count = AGREED_SHARES.len().min(ranked.len());
    if count < ranked.len() {
        ranked.select_nth_unstable_by(count, |a, b| b.cmp(a));
    }
    ranked.truncate(count);
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, name)| name).collect()
}
