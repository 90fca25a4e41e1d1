//! All upstreams as known to one node.

use std::collections;

use rand::SeedableRng as _;
use rand::rngs;

use super::attempt;
use super::cache_event;
use super::cache_locations;
use super::choice;
use super::chooser;
use super::exhausted;
use super::load;
use super::outcome;
use super::query;
use super::regions;
use super::roster;
use super::upstream;
use super::weights;
use super::window;
use crate::declaration;
use crate::name;
use crate::time;

/// A service is failing when more than [`FAILING_FACTOR`] / [`FAILING_DIVISOR`] of its upstreams
/// are.
const FAILING_FACTOR: usize = 2;
/// See [`FAILING_FACTOR`].
const FAILING_DIVISOR: usize = 5;

/// The upstreams of all services with their load, caches and health.
#[derive(Clone, Debug)]
pub struct Fleet {
    attempts: collections::HashMap<u64, attempt::Attempt>,
    clock: time::Time,
    locations: cache_locations::CacheLocations,
    regions: regions::Regions,
    rng: rngs::SmallRng,
    roster: roster::Roster,
    weights: weights::Weights,
    windows: collections::BTreeMap<name::Name, window::Window>,
}

impl Fleet {
    /// Builds an empty fleet for a node in a failure domain.
    pub fn new(domain: name::Name, seed: u64) -> Self {
        Self {
            attempts: collections::HashMap::new(),
            clock: time::Time::default(),
            locations: cache_locations::CacheLocations::new(0),
            regions: regions::Regions::new(domain),
            rng: rngs::SmallRng::seed_from_u64(seed),
            roster: roster::Roster::default(),
            weights: weights::Weights::default(),
            windows: collections::BTreeMap::new(),
        }
    }

    /// Sets the weights of price and risk against time to first token.
    pub fn set_weights(&mut self, weights: weights::Weights) {
        self.weights = weights;
    }

    /// Applies a declaration; unchanged upstreams keep their state, and all keep their leaving
    /// marks.
    pub fn declare(&mut self, now: time::Time, declaration: &declaration::Declaration) {
        let is_first = self.roster.upstreams.is_empty();
        let warm_at = if is_first {
            now
        } else {
            upstream::Upstream::warm_after(now)
        };
        self.regions.declare(&declaration.domains);
        let new_indices = self.roster.declare(warm_at, declaration, &self.regions);
        self.attempts
            .retain(|_, attempt| match new_indices[attempt.index] {
                Some(index) => {
                    attempt.index = index;
                    true
                }
                None => false,
            });
        self.locations = cache_locations::CacheLocations::new(self.roster.upstreams.len());
        let old = std::mem::take(&mut self.windows);
        for service in self.roster.services() {
            let window = old.get(service).copied().unwrap_or(window::Window::new());
            self.windows.insert(service.clone(), window);
        }
    }

    /// Picks the upstream with the least expected time to first token.
    ///
    /// # Errors
    /// Returns the time to retry if no upstream has a free slot.
    pub fn choose(
        &mut self,
        now: time::Time,
        query: &query::Query,
    ) -> Result<choice::Choice, exhausted::Exhausted> {
        self.clock = self.clock.max(now);
        let version = self.roster.version(query);
        let chooser = chooser::Chooser {
            now,
            query,
            version,
            pool: self.roster.pool(&query.service, version),
            upstreams: &self.roster.upstreams,
            locations: &self.locations,
            regions: &self.regions,
            weights: &self.weights,
        };
        let sticky = query
            .sticky
            .as_ref()
            .and_then(|name| self.roster.find(name));
        chooser.choose(sticky, &mut self.rng)
    }

    /// Records an own dispatch, which counts until [`Fleet::end`].
    pub fn start(
        &mut self,
        now: time::Time,
        attempt: u64,
        choice: &choice::Choice,
        query: &query::Query,
    ) {
        let Some(index) = self.roster.find(&choice.upstream) else {
            return;
        };
        let upstream = &mut self.roster.upstreams[index];
        let uncached = query
            .prompt
            .saturating_sub(upstream.cache.cached_tokens(&query.blocks));
        let immediate = upstream.queued_ahead(now) == 0;
        upstream.requests.start(now);
        upstream.pending_prefill = upstream.pending_prefill.saturating_add(uncached);
        upstream.cache.insert(&query.blocks);
        self.locations.insert(&query.blocks, index);
        let attempt_state = attempt::Attempt {
            index,
            incarnation: upstream.incarnation,
            started: now,
            uncached,
            queued_prefill: upstream.pending_prefill,
            immediate,
            streaming: false,
            expected: choice.expected,
            blocks: query.blocks.clone(),
        };
        self.attempts.insert(attempt, attempt_state);
    }

    /// Records the first token of an attempt.
    pub fn first_token(&mut self, now: time::Time, attempt: u64) {
        let Some(state) = self
            .attempts
            .get_mut(&attempt)
            .filter(|state| !state.streaming)
        else {
            return;
        };
        state.streaming = true;
        let upstream = &mut self.roster.upstreams[state.index];
        upstream.pending_prefill = upstream.pending_prefill.saturating_sub(state.uncached);
        if state.incarnation != upstream.incarnation {
            return;
        }
        let delay = state.started.until(now);
        let expected = state.started.until(state.expected);
        upstream.record_first_token(delay, expected, state.queued_prefill, state.immediate);
        upstream.health.record_success();
    }

    /// Records the silence of an attempt that goes on as a failure of its upstream.
    pub fn record_silence(&mut self, now: time::Time, attempt: u64) {
        let Some(state) = self.attempts.get(&attempt) else {
            return;
        };
        let upstream = &mut self.roster.upstreams[state.index];
        if state.incarnation == upstream.incarnation {
            upstream.health.record_failure(now);
        }
    }

    /// Ends an attempt.
    pub fn end(&mut self, now: time::Time, attempt: u64, outcome: outcome::Outcome) {
        let Some(state) = self.attempts.remove(&attempt) else {
            return;
        };
        let upstream = &mut self.roster.upstreams[state.index];
        upstream.requests.end(now);
        if !state.streaming {
            upstream.pending_prefill = upstream.pending_prefill.saturating_sub(state.uncached);
        }
        if state.incarnation != upstream.incarnation {
            return;
        }
        match outcome {
            outcome::Outcome::Finished { .. } => {
                upstream.health.record_success();
                upstream.estimate.record_slot_time(state.started.until(now));
            }
            outcome::Outcome::Refused => {
                upstream.health.record_refusal(now);
                if let Some(window) = self.windows.get_mut(&upstream.declared.service) {
                    window.record_refusal();
                }
                upstream.cache.remove(&state.blocks);
            }
            outcome::Outcome::Failed => upstream.health.record_failure(now),
            outcome::Outcome::Cancelled => {}
        }
    }

    /// Applies a load report, which may be delayed.
    pub fn apply_load(&mut self, now: time::Time, upstream: &name::Name, load: load::Load) {
        if let Some(upstream) = self.roster.get_mut(upstream) {
            upstream.apply_load(now, load);
        }
    }

    /// Applies a cache event; a gap in the sequence ages the index.
    pub fn apply_cache_event(
        &mut self,
        _now: time::Time,
        upstream: &name::Name,
        event: cache_event::CacheEvent,
    ) {
        let Some(index) = self.roster.find(upstream) else {
            return;
        };
        let cache = &mut self.roster.upstreams[index].cache;
        cache.record_sequence(event.seq);
        cache.insert(&event.stored);
        cache.remove(&event.evicted);
        self.locations.insert(&event.stored, index);
    }

    /// Marks an incarnation as leaving; it and lower ones get no new requests.
    ///
    /// The mark of an upstream that is not declared yet is applied when it is declared.
    pub fn mark_leaving(&mut self, upstream: &name::Name, incarnation: u64) {
        let Some(state) = self.roster.get_mut(upstream) else {
            return self.roster.remember_leaving(upstream, incarnation);
        };
        let reclaimable = state.declared.market == declaration::Market::Reclaimable;
        let domain = state.declared.domain.clone();
        if !state.mark_leaving(incarnation) || !reclaimable {
            return;
        }
        let similar = self.roster.upstreams.iter().filter(|u| {
            u.declared.domain == domain && u.declared.market == declaration::Market::Reclaimable
        });
        let part = 1.0 / similar.count().max(1) as f64;
        self.regions.record_reclaim(self.clock, &domain, part);
    }

    /// Returns the current incarnation of an upstream.
    pub fn incarnation(&self, upstream: &name::Name) -> Option<u64> {
        self.roster
            .get(upstream)
            .map(|upstream| upstream.incarnation)
    }

    /// Returns `true` if an upstream is ejected after failures.
    pub fn is_ejected(&self, now: time::Time, upstream: &name::Name) -> bool {
        let upstream = self.roster.get(upstream);
        upstream.is_some_and(|upstream| upstream.health.is_ejected(now))
    }

    /// Returns `true` if at least three quarters of the slots of an upstream are in use.
    pub fn is_loaded(&self, now: time::Time, upstream: &name::Name) -> bool {
        self.roster.get(upstream).is_some_and(|upstream| {
            let used = upstream.requests.total(now).saturating_mul(4);
            used >= upstream.slots(now).saturating_mul(3)
        })
    }

    /// Adopts a higher incarnation, with a slow start.
    pub fn adopt_incarnation(&mut self, now: time::Time, upstream: &name::Name, incarnation: u64) {
        if let Some(upstream) = self.roster.get_mut(upstream) {
            upstream.adopt_incarnation(now, incarnation);
        }
    }

    /// Returns when an ejection or pause ends by itself.
    ///
    /// [`Fleet::choose`] checks the time itself, so this only matters to callers that wait.
    pub fn wake(&self) -> Option<time::Time> {
        let upstreams = self.roster.upstreams.iter();
        upstreams
            .filter_map(|upstream| upstream.health.wake(self.clock))
            .min()
    }

    /// Returns how many requests of a service this node may have in progress now.
    pub fn capacity(&mut self, now: time::Time, service: &name::Name) -> u32 {
        if self
            .windows
            .get(service)
            .is_some_and(|window| window.is_due(now))
        {
            let usage = self.usage(now, service);
            if let Some(window) = self.windows.get_mut(service) {
                window.update(now, usage);
            }
        }
        self.windows.get(service).map_or(0, window::Window::slots)
    }

    /// Returns the ids of this node's attempts in progress at an upstream, in order.
    pub fn attempts_at(&self, upstream: &name::Name) -> Vec<u64> {
        let Some(index) = self.roster.find(upstream) else {
            return Vec::new();
        };
        let attempts = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.index == index);
        let mut attempts: Vec<_> = attempts.map(|(&id, _)| id).collect();
        attempts.sort_unstable();
        attempts
    }

    /// Returns `true` if the last attempts failed at so many upstreams of a service that more
    /// attempts only add load.
    ///
    /// While this is so, resuming a stream that lost its upstream spends the retry budget.
    pub fn is_failing(&self, service: &name::Name) -> bool {
        let failing = self.roster.all(service).filter(|u| u.health.is_failing());
        failing.count() * FAILING_DIVISOR > self.roster.all(service).count() * FAILING_FACTOR
    }

    /// Returns the size of the state on the heap in bytes.
    pub fn heap_bytes(&self) -> usize {
        let upstreams = self.roster.upstreams.iter();
        let sizes = upstreams.map(|upstream| size_of_val(upstream) + upstream.cache.heap_bytes());
        sizes.sum::<usize>() + self.locations.heap_bytes()
    }

    fn usage(&self, now: time::Time, service: &name::Name) -> window::Usage {
        let accepting = self
            .roster
            .all(service)
            .filter(|upstream| upstream.is_accepting());
        let initial = window::Usage {
            failing: self.is_failing(service),
            ..window::Usage::default()
        };
        accepting.fold(initial, |sum, upstream| window::Usage {
            own: sum.own + upstream.requests.own(),
            total: sum.total + upstream.requests.total(now),
            slots: sum.slots + upstream.slots(now),
            failing: sum.failing,
        })
    }
}
