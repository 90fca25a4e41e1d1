//! All upstreams as one node sees them.

use std::collections;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs;

use super::attempt;
use super::cache_event;
use super::choice;
use super::exhausted;
use super::holders;
use super::load;
use super::outcome;
use super::query;
use super::region;
use super::upstream;
use super::weights;
use super::window;
use crate::declaration;
use crate::name;
use crate::time;

/// Upstreams sampled at random for one decision.
const SAMPLES: usize = 3;
/// A service fails when more than this many of [`FAILING_DIVISOR`] parts of its upstreams do.
const FAILING_FACTOR: usize = 2;
/// See [`FAILING_FACTOR`].
const FAILING_DIVISOR: usize = 5;
/// Shortest time after which a caller is asked to come back.
const MIN_RETRY: Duration = Duration::from_millis(50);
/// Longest time after which a caller is asked to come back.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// The upstreams of all services with their load, caches and health.
#[derive(Clone, Debug)]
pub struct Fleet {
    attempts: collections::HashMap<u64, attempt::Attempt>,
    clock: time::Time,
    defaults: collections::BTreeMap<name::Name, name::Name>,
    holders: holders::Holders,
    index: collections::HashMap<name::Name, usize>,
    pools: collections::BTreeMap<name::Name, Vec<usize>>,
    regions: region::Regions,
    rng: rngs::SmallRng,
    upstreams: Vec<upstream::Upstream>,
    weights: weights::Weights,
    windows: collections::BTreeMap<name::Name, window::Window>,
}

/// A usable upstream with its rank; less is better.
struct Candidate {
    slot: usize,
    expected: Duration,
    rank: Duration,
}

impl Fleet {
    /// Builds an empty fleet seen from a failure domain.
    pub fn new(domain: name::Name, seed: u64) -> Self {
        Self {
            attempts: collections::HashMap::new(),
            clock: time::Time::default(),
            defaults: collections::BTreeMap::new(),
            holders: holders::Holders::new(0),
            index: collections::HashMap::new(),
            pools: collections::BTreeMap::new(),
            regions: region::Regions::new(domain),
            rng: rngs::SmallRng::seed_from_u64(seed),
            upstreams: Vec::new(),
            weights: weights::Weights::default(),
            windows: collections::BTreeMap::new(),
        }
    }

    /// Sets how much time price and risk are worth.
    pub fn weigh(&mut self, weights: weights::Weights) {
        self.weights = weights;
    }

    /// Takes over a declaration; unchanged upstreams keep their state.
    pub fn declare(&mut self, now: time::Time, declaration: &declaration::Declaration) {
        let first = self.upstreams.is_empty();
        let warm_at = if first {
            now
        } else {
            upstream::Upstream::warm_after(now)
        };
        self.regions.declare(&declaration.domains);
        let services = declaration.services.iter();
        self.defaults = services
            .map(|s| (s.name.clone(), s.version.clone()))
            .collect();
        let mut known: collections::HashMap<_, _> = self.index.drain().collect();
        let mut old: Vec<_> = self.upstreams.drain(..).map(Some).collect();
        let mut moves = vec![None; old.len()];
        for declared in &declaration.upstreams {
            let from = known.remove(&declared.name);
            let kept = from
                .and_then(|slot| old[slot].take())
                .filter(|u| u.declared == *declared);
            if let (Some(slot), Some(_)) = (from, &kept) {
                moves[slot] = Some(self.upstreams.len());
            }
            let mut upstream =
                kept.unwrap_or_else(|| upstream::Upstream::new(declared.clone(), warm_at));
            upstream.link = self.regions.link(&declared.domain);
            upstream.price = price(declaration, declared);
            self.index
                .insert(declared.name.clone(), self.upstreams.len());
            self.upstreams.push(upstream);
        }
        self.renumber(&moves);
    }

    /// Picks the upstream with the least expected time to first token.
    ///
    /// # Errors
    /// Returns the time to come back when no upstream has room.
    pub fn choose(
        &mut self,
        now: time::Time,
        query: &query::Query,
    ) -> Result<choice::Choice, exhausted::Exhausted> {
        self.clock = self.clock.max(now);
        let version = query.version.clone();
        let version = version.or_else(|| self.defaults.get(&query.service).cloned());
        let pool = self.pool(&query.service, version.as_ref());
        let panic = self.is_panicking(now, &pool);
        let usable = |slot: usize| self.is_usable(now, slot, query, panic);
        if let Some(slot) = self
            .sticky(query)
            .filter(|&slot| pool.contains(&slot) && usable(slot))
        {
            return Ok(self.choice(now, &self.rank(now, slot, query)));
        }
        let mut rng = self.rng.clone();
        let sampled = (0..SAMPLES).filter_map(|_| pick(&mut rng, &pool));
        let cached = self
            .holders
            .deepest(&query.blocks)
            .filter(|slot| pool.contains(slot));
        let candidates = sampled.chain(cached).filter(|&slot| usable(slot));
        let best = candidates
            .map(|slot| self.rank(now, slot, query))
            .min_by_key(|candidate| candidate.rank)
            .or_else(|| {
                let all = pool.iter().copied().filter(|&slot| usable(slot));
                all.map(|slot| self.rank(now, slot, query))
                    .min_by_key(|candidate| candidate.rank)
            });
        self.rng = rng;
        match best {
            Some(best) => Ok(self.choice(now, &best)),
            None => Err(self.exhausted(now, &pool)),
        }
    }

    /// Counts an own dispatch until its end.
    pub fn start(
        &mut self,
        now: time::Time,
        attempt: u64,
        choice: &choice::Choice,
        query: &query::Query,
    ) {
        let Some(&slot) = self.index.get(&choice.upstream) else {
            return;
        };
        let upstream = &mut self.upstreams[slot];
        let uncached = query
            .prompt
            .saturating_sub(upstream.prefix.cached(&query.blocks));
        let direct = upstream.ahead(now) == 0;
        upstream.tally.start(now);
        upstream.pending = upstream.pending.saturating_add(uncached);
        upstream.prefix.insert(&query.blocks);
        self.holders.insert(&query.blocks, slot);
        let attempt_state = attempt::Attempt {
            slot,
            incarnation: upstream.incarnation,
            started: now,
            uncached,
            prefill: upstream.pending,
            direct,
            streaming: false,
            expected: choice.expected,
            blocks: query.blocks.clone(),
        };
        self.attempts.insert(attempt, attempt_state);
    }

    /// Learns from the first token of an attempt.
    pub fn first_token(&mut self, now: time::Time, attempt: u64) {
        let Some(state) = self
            .attempts
            .get_mut(&attempt)
            .filter(|state| !state.streaming)
        else {
            return;
        };
        state.streaming = true;
        let upstream = &mut self.upstreams[state.slot];
        upstream.pending = upstream.pending.saturating_sub(state.uncached);
        if state.incarnation != upstream.incarnation {
            return;
        }
        let delay = state.started.until(now);
        let expected = state.started.until(state.expected);
        upstream.first_token(delay, expected, state.prefill, state.direct);
        upstream.health.succeed();
    }

    /// Ends an attempt.
    pub fn end(&mut self, now: time::Time, attempt: u64, outcome: outcome::Outcome) {
        let Some(state) = self.attempts.remove(&attempt) else {
            return;
        };
        let upstream = &mut self.upstreams[state.slot];
        upstream.tally.end(now);
        if !state.streaming {
            upstream.pending = upstream.pending.saturating_sub(state.uncached);
        }
        if state.incarnation != upstream.incarnation {
            return;
        }
        match outcome {
            outcome::Outcome::Finished { .. } => {
                upstream.health.succeed();
                upstream.estimate.finish(state.started.until(now));
            }
            outcome::Outcome::Refused => {
                upstream.health.refuse(now);
                if let Some(window) = self.windows.get_mut(&upstream.declared.service) {
                    window.refuse();
                }
                upstream.prefix.remove(&state.blocks);
            }
            outcome::Outcome::Failed => upstream.health.fail(now),
            outcome::Outcome::Cancelled => {}
        }
    }

    /// Takes a lagged load report.
    pub fn report(&mut self, now: time::Time, upstream: &name::Name, load: load::Load) {
        if let Some(&slot) = self.index.get(upstream) {
            self.upstreams[slot].report(now, load);
        }
    }

    /// Takes a cache event; a gap in the sequence ages the index.
    pub fn cache(
        &mut self,
        _now: time::Time,
        upstream: &name::Name,
        event: cache_event::CacheEvent,
    ) {
        let Some(&slot) = self.index.get(upstream) else {
            return;
        };
        let prefix = &mut self.upstreams[slot].prefix;
        prefix.advance(event.seq);
        prefix.insert(&event.stored);
        prefix.remove(&event.evicted);
        self.holders.insert(&event.stored, slot);
    }

    /// Latches an incarnation as leaving; it and lower ones get no new work.
    pub fn leave(&mut self, upstream: &name::Name, incarnation: u64) {
        let Some(&slot) = self.index.get(upstream) else {
            return;
        };
        if self.upstreams[slot].leave(incarnation) {
            let domain = &self.upstreams[slot].declared.domain;
            self.regions.reclaim(self.clock, domain);
        }
    }

    /// Returns the incarnation of an upstream that is in use.
    pub fn incarnation(&self, upstream: &name::Name) -> Option<u64> {
        let slot = self.index.get(upstream)?;
        Some(self.upstreams[*slot].incarnation)
    }

    /// Tells whether at least three quarters of an upstream's slots are in use.
    pub fn is_loaded(&self, now: time::Time, upstream: &name::Name) -> bool {
        let Some(&slot) = self.index.get(upstream) else {
            return false;
        };
        let upstream = &self.upstreams[slot];
        let used = upstream.tally.total(now).saturating_mul(4);
        used >= upstream.slots(now).saturating_mul(3)
    }

    /// Takes a higher incarnation into use with a slow start.
    pub fn returned(&mut self, now: time::Time, upstream: &name::Name, incarnation: u64) {
        if let Some(&slot) = self.index.get(upstream) {
            self.upstreams[slot].returned(now, incarnation);
        }
    }

    /// Returns when an ejection or pause ends by itself.
    ///
    /// Choices look at the time themselves, so this only matters to callers that wait.
    pub fn wake(&self) -> Option<time::Time> {
        let past = time::Time::default();
        self.upstreams
            .iter()
            .filter_map(|upstream| upstream.health.wake(past))
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

    /// Returns this node's attempts in progress at an upstream, in order.
    pub fn attempts_at(&self, upstream: &name::Name) -> Vec<u64> {
        let Some(&slot) = self.index.get(upstream) else {
            return Vec::new();
        };
        let there = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.slot == slot);
        let mut attempts: Vec<_> = there.map(|(&id, _)| id).collect();
        attempts.sort_unstable();
        attempts
    }

    /// Returns whether the last attempts failed at so many upstreams of a service that more
    /// attempts only add load.
    ///
    /// While this holds, a stream that lost its upstream needs the retry budget to resume.
    pub fn is_failing(&self, service: &name::Name) -> bool {
        let pool = self
            .pools
            .get(service)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let failing = pool
            .iter()
            .filter(|&&slot| self.upstreams[slot].health.is_failing());
        failing.count() * FAILING_DIVISOR > pool.len() * FAILING_FACTOR
    }

    fn usage(&self, now: time::Time, service: &name::Name) -> window::Usage {
        let pool = self
            .pools
            .get(service)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let open = pool
            .iter()
            .map(|&slot| &self.upstreams[slot])
            .filter(|u| u.is_open());
        open.fold(window::Usage::default(), |sum, upstream| window::Usage {
            own: sum.own + upstream.tally.own(),
            total: sum.total + upstream.tally.total(now),
            slots: sum.slots + upstream.slots(now),
        })
    }

    /// Returns the bytes of state on the heap.
    pub fn heap_bytes(&self) -> usize {
        let each = self
            .upstreams
            .iter()
            .map(|u| size_of_val(u) + u.prefix.heap_bytes());
        each.sum::<usize>() + self.holders.heap_bytes()
    }

    fn renumber(&mut self, moves: &[Option<usize>]) {
        self.attempts
            .retain(|_, attempt| match moves[attempt.slot] {
                Some(slot) => {
                    attempt.slot = slot;
                    true
                }
                None => false,
            });
        self.holders = holders::Holders::new(self.upstreams.len());
        self.pools.clear();
        self.windows
            .retain(|service, _| self.defaults.contains_key(service));
        for service in self.defaults.keys() {
            self.windows
                .entry(service.clone())
                .or_insert(window::Window::new());
        }
        for (slot, upstream) in self.upstreams.iter().enumerate() {
            let service = upstream.declared.service.clone();
            self.pools.entry(service).or_default().push(slot);
        }
    }

    fn pool(&self, service: &name::Name, version: Option<&name::Name>) -> Vec<usize> {
        let all = self
            .pools
            .get(service)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let of_version = |&slot: &usize| {
            version.is_none_or(|version| self.upstreams[slot].declared.version == *version)
        };
        all.iter().copied().filter(of_version).collect()
    }

    fn is_panicking(&self, now: time::Time, pool: &[usize]) -> bool {
        let ejected = pool
            .iter()
            .filter(|&&slot| self.upstreams[slot].health.is_ejected(now));
        ejected.count() * 2 > pool.len()
    }

    fn is_usable(&self, now: time::Time, slot: usize, query: &query::Query, panic: bool) -> bool {
        let upstream = &self.upstreams[slot];
        upstream.is_open()
            && !query.excluded.contains(&upstream.declared.name)
            && (panic || !upstream.health.is_ejected(now))
            && !upstream.health.is_paused(now)
            && upstream.has_room(now, query.prompt, upstream.prefix.cached(&query.blocks))
    }

    fn sticky(&self, query: &query::Query) -> Option<usize> {
        query
            .sticky
            .as_ref()
            .and_then(|name| self.index.get(name).copied())
    }

    fn rank(&self, now: time::Time, slot: usize, query: &query::Query) -> Candidate {
        let upstream = &self.upstreams[slot];
        let uncached = query
            .prompt
            .saturating_sub(upstream.prefix.cached(&query.blocks));
        let expected = upstream.expected(now, uncached);
        let mut rank = expected + upstream.estimate.prefill(uncached) * self.weights.recompute;
        if self.regions.is_hot(now, &upstream.declared.domain) {
            rank += self.weights.reclaim;
        }
        Candidate {
            slot,
            expected,
            rank,
        }
    }

    fn choice(&self, now: time::Time, candidate: &Candidate) -> choice::Choice {
        let upstream = &self.upstreams[candidate.slot];
        choice::Choice {
            upstream: upstream.declared.name.clone(),
            version: upstream.declared.version.clone(),
            address: upstream.declared.address,
            incarnation: upstream.incarnation,
            expected: now.after(candidate.expected),
        }
    }

    fn exhausted(&self, now: time::Time, pool: &[usize]) -> exhausted::Exhausted {
        let open = pool
            .iter()
            .map(|&slot| &self.upstreams[slot])
            .filter(|u| u.is_open());
        let waits = open.map(|u| {
            u.estimate
                .wait(f64::from(u.ahead(now).max(1)), u.slots(now))
        });
        let wait = waits.min().unwrap_or(MAX_RETRY).clamp(MIN_RETRY, MAX_RETRY);
        exhausted::Exhausted {
            retry_at: now.after(wait),
        }
    }
}

fn pick(rng: &mut rngs::SmallRng, pool: &[usize]) -> Option<usize> {
    if pool.is_empty() {
        return None;
    }
    Some(pool[rng.random_range(0..pool.len())])
}

fn price(declaration: &declaration::Declaration, upstream: &declaration::Upstream) -> u64 {
    let mut classes = declaration.classes.iter();
    let class = classes.find(|class| {
        class.name == upstream.class
            && class.domain == upstream.domain
            && class.market == upstream.market
    });
    class.map_or(0, |class| class.price)
}
