//! Choice among the upstreams of a pool.

use std::time::Duration;

use rand::Rng as _;
use rand::rngs;

use super::cache_locations;
use super::choice;
use super::exhausted;
use super::query;
use super::regions;
use super::upstream;
use super::weights;
use crate::declaration;
use crate::name;
use crate::rollout;
use crate::time;

/// Usable upstreams sampled at random for one decision.
const SAMPLES: usize = 3;
/// Random draws to find these at most.
const MAX_DRAWS: usize = 12;
/// Shortest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest time after which a refused caller is told to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Inputs of one choice.
pub(super) struct Chooser<'a> {
    pub now: time::Time,
    pub query: &'a query::Query,
    pub version: Option<&'a name::Name>,
    pub pool: &'a [usize],
    pub upstreams: &'a [upstream::Upstream],
    pub locations: &'a cache_locations::CacheLocations,
    pub regions: &'a regions::Regions,
    pub weights: &'a weights::Weights,
}

/// A usable upstream with its cost; the lowest cost is chosen.
struct Candidate<'a> {
    upstream: &'a upstream::Upstream,
    expected: Duration,
    cost: Duration,
}

impl<'a> Chooser<'a> {
    /// Picks the sticky upstream, or the best of a random sample and of those that cache the
    /// prompt.
    ///
    /// If none of these is usable, all upstreams are considered; if none at all is usable and most
    /// are ejected, the ejected ones are considered as well.
    ///
    /// # Errors
    /// Returns the time to retry if no upstream has a free slot.
    pub fn choose(
        &self,
        sticky: Option<usize>,
        rng: &mut rngs::SmallRng,
    ) -> Result<choice::Choice, exhausted::Exhausted> {
        let best = self
            .best(sticky.into_iter(), false)
            .or_else(|| self.first_ranked())
            .or_else(|| self.best(self.candidates(rng), false))
            .or_else(|| self.best(self.pool.iter().copied(), false))
            .or_else(|| {
                self.best(
                    self.pool.iter().copied().filter(|_| self.is_panicking()),
                    true,
                )
            });
        match best {
            Some(best) => Ok(self.choice(&best)),
            None => Err(self.exhausted()),
        }
    }

    /// Returns the first usable upstream in the order shared by all entries, for a packed query.
    fn first_ranked(&self) -> Option<Candidate<'a>> {
        let version = self.version.filter(|_| self.query.packed)?;
        let all = self.pool.iter().map(|&index| &self.upstreams[index]);
        let usable = all.filter(|upstream| self.is_usable(upstream, false));
        let first = usable.min_by_key(|upstream| rollout::rank(version, &upstream.declared.name));
        first.map(|upstream| self.candidate(upstream))
    }

    fn candidates<'r>(&'r self, rng: &'r mut rngs::SmallRng) -> impl Iterator<Item = usize> + 'r {
        let draws = if self.pool.is_empty() { 0 } else { MAX_DRAWS };
        let drawn = (0..draws).map(|_| self.pool[rng.random_range(0..self.pool.len())]);
        let usable = drawn.filter(|&index| self.is_usable(&self.upstreams[index], false));
        usable
            .take(SAMPLES)
            .chain(self.locations.deepest(&self.query.blocks))
    }

    fn best(&self, indices: impl Iterator<Item = usize>, panic: bool) -> Option<Candidate<'a>> {
        let upstreams = indices.filter_map(|index| self.upstreams.get(index));
        let usable = upstreams.filter(|upstream| self.is_usable(upstream, panic));
        usable
            .map(|upstream| self.candidate(upstream))
            .min_by_key(|candidate| candidate.cost)
    }

    fn is_usable(&self, upstream: &upstream::Upstream, panic: bool) -> bool {
        let query = self.query;
        upstream.is_accepting()
            && self.is_in_pool(upstream)
            && !query.excluded.contains(&upstream.declared.name)
            && (panic || !upstream.health.is_ejected(self.now))
            && !upstream.health.is_paused(self.now)
            && upstream.has_capacity(
                self.now,
                query.prompt,
                upstream.cache.cached_tokens(&query.blocks),
            )
    }

    fn is_in_pool(&self, upstream: &upstream::Upstream) -> bool {
        let declared = &upstream.declared;
        let matches = self
            .version
            .is_none_or(|version| *version == declared.version);
        matches && declared.service == self.query.service
    }

    fn is_panicking(&self) -> bool {
        let all = self.pool.iter().map(|&index| &self.upstreams[index]);
        let ejected = all.filter(|upstream| upstream.health.is_ejected(self.now));
        ejected.count() * 2 > self.pool.len()
    }

    fn candidate(&self, upstream: &'a upstream::Upstream) -> Candidate<'a> {
        let cached = upstream.cache.cached_tokens(&self.query.blocks);
        let uncached = self.query.prompt.saturating_sub(cached);
        let expected = upstream.expected_delay(self.now, uncached);
        let recompute = upstream.estimate.first_token_delay(uncached) * self.weights.recompute;
        let price = self.weights.price.mul_f64(upstream.price_doublings);
        Candidate {
            upstream,
            expected,
            cost: expected + recompute + price + self.reclaim_cost(upstream),
        }
    }

    /// Returns the cost of the risk that the upstream is reclaimed.
    fn reclaim_cost(&self, upstream: &upstream::Upstream) -> Duration {
        if upstream.declared.market == declaration::Market::OnDemand {
            return Duration::ZERO;
        }
        let share = self
            .regions
            .reclaimed_share(self.now, &upstream.declared.domain);
        self.weights.reclaim.mul_f64(share)
    }

    fn choice(&self, candidate: &Candidate<'_>) -> choice::Choice {
        let upstream = candidate.upstream;
        choice::Choice {
            upstream: upstream.declared.name.clone(),
            version: upstream.declared.version.clone(),
            address: upstream.declared.address,
            incarnation: upstream.incarnation,
            expected: self.now.after(candidate.expected),
        }
    }

    fn exhausted(&self) -> exhausted::Exhausted {
        let all = self.pool.iter().map(|&index| &self.upstreams[index]);
        let waits = all
            .filter(|upstream| upstream.is_accepting())
            .map(|upstream| {
                let ahead = f64::from(upstream.queued_ahead(self.now).max(1));
                upstream
                    .estimate
                    .queue_wait(ahead, upstream.slots(self.now))
            });
        let wait = waits
            .min()
            .unwrap_or(MAX_RETRY_AFTER)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        exhausted::Exhausted {
            retry_at: self.now.after(wait),
        }
    }
}
