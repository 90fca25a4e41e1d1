//! Scaling plans: how many engines of each market a service should have in each failure domain.
//!
//! Spot engines are cheap, but the cloud reclaims all those of a failure domain at once, and none
//! can be ordered there for a while. They are therefore spread evenly, with enough of them that
//! the other domains carry the load when one is reclaimed. On-demand engines make up the shortage
//! then, and also until the first spot engines have started.
//!
//! An evacuated failure domain is planned as if it did not exist: nothing is ordered there, and the
//! other domains make up for it.

use std::collections;
use std::time::Duration;

use super::orders;
use super::rollouts;
use super::service;
use super::state;
use crate::name;
use crate::time;

/// Target utilization of the engines by prefill while no failure domain is reclaimed.
const TARGET_UTILIZATION: f64 = 0.3;
/// The same while spot engines are short.
const SHORTAGE_UTILIZATION: f64 = 0.6;
/// Span over which prefill work is averaged.
const DEMAND_SPAN: Duration = Duration::from_secs(4);
/// Time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a peak of the demand is kept.
const PEAK_RETENTION: Duration = Duration::from_secs(15);
/// Time for which the first list of engines must stay unchanged before anything is ordered.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Time after the withdrawal of an evacuation for which no engines are given back, since those that
/// return are idle and may turn out to be cold.
const RETURN_TIME: Duration = Duration::from_secs(15);

/// Plans the engines of all services with scaling bounds.
#[derive(Debug, Default)]
pub struct Planner {
    services: collections::BTreeMap<name::Name, Demand>,
    next_at: time::Time,
}

/// Demand for one service.
#[derive(Debug, Default)]
struct Demand {
    samples: collections::VecDeque<Sample>,
    peaks: collections::VecDeque<Peak>,
    initial: Option<Initial>,
}

/// Engines that were present before the first request.
#[derive(Clone, Copy, Debug)]
struct Initial {
    count: u32,
    since: time::Time,
    is_ordered: bool,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: time::Time,
    prefill_micros: u64,
}

#[derive(Clone, Copy, Debug)]
struct Peak {
    at: time::Time,
    engines: f64,
}

/// Engines of a service in one failure domain that accept requests.
#[derive(Clone, Copy, Debug, Default)]
struct Present {
    spot: u32,
    on_demand: u32,
    /// Engines' worth of capacity that rate limits take from the spot engines.
    spot_lost: f64,
    /// The same for the on-demand engines.
    on_demand_lost: f64,
}

impl Present {
    /// Returns the spot engines, without those whose capacity is lost to rate limits.
    fn usable_spot(&self) -> u32 {
        self.spot.saturating_sub(self.spot_lost.round() as u32)
    }
}

impl Planner {
    /// Returns the wanted size of the pool of each service, domain and market; nothing until the
    /// next plan is due.
    pub fn plan(&mut self, now: time::Time, state: &state::State) -> Vec<orders::Order> {
        if now < self.next_at {
            return Vec::new();
        }
        self.next_at = now.after(PLAN_INTERVAL);
        let Some(manifest) = state.manifest.clone() else {
            return Vec::new();
        };
        let mut wanted = Vec::new();
        for service in manifest.services().values() {
            if let Some(scaling) = &service.scaling {
                wanted.extend(self.plan_service(now, state, service, scaling));
            }
        }
        wanted
    }

    fn plan_service(
        &mut self,
        now: time::Time,
        state: &state::State,
        service: &service::Service,
        scaling: &service::Scaling,
    ) -> Vec<orders::Order> {
        let present = present(now, state, service, scaling);
        let domains = present.len() as u32;
        let displaced = displaced(state, &service.name);
        let count: u32 = present.values().map(|p| p.spot + p.on_demand).sum();
        let count = count + displaced;
        if count == 0 && !self.services.contains_key(&service.name) {
            return Vec::new();
        }
        let demand = self.services.entry(service.name.clone()).or_default();
        let busy = demand.observe(now, state.prefill_work(&service.name));
        let target = match busy {
            Some(busy) => Target::of(busy, domains),
            None if demand.has_samples() => Target::as_present(&present, displaced),
            None => match demand.initial_target(now, count, domains) {
                Some(target) => target,
                None => return Vec::new(),
            },
        };
        let plan = Plan {
            service: &service.name,
            scaling,
            target,
            busy: busy.unwrap_or(0.0),
        };
        let mut orders = plan.orders(&present);
        let is_returning = has_returning_engines(now, state, &service.name);
        if is_returning || has_two_versions(now, state, &service.name) {
            // The platform chooses the engines that it removes, which may be the new version's.
            orders.retain(|order| order.count >= present_count(&present, &order.pool));
        }
        orders
    }
}

/// Returns the number of engines of a service in evacuated failure domains.
fn displaced(state: &state::State, service: &name::Name) -> u32 {
    let evacuations = state.fleet.evacuations();
    let engines = state.fleet.all().filter(|e| e.service == *service);
    let displaced = engines.filter(|e| !e.leaving && evacuations.contains(&e.domain));
    displaced.count() as u32
}

/// Returns `true` if engines of a service are in a failure domain whose evacuation was withdrawn
/// lately, or are still cold since then.
fn has_returning_engines(now: time::Time, state: &state::State, service: &name::Name) -> bool {
    let evacuations = state.fleet.evacuations();
    let mut engines = state.fleet.all().filter(|e| e.service == *service);
    engines.any(|engine| {
        let withdrawn = evacuations.withdrawn_at(&engine.domain);
        withdrawn.is_some_and(|at| now < at.after(RETURN_TIME) || now < engine.warm_at)
    })
}

/// Returns `true` while a service is expected to have engines of two versions.
fn has_two_versions(now: time::Time, state: &state::State, service: &name::Name) -> bool {
    let order = state.rollouts.order(service);
    order.is_some_and(|order| match order.stage {
        rollouts::Stage::Ordered | rollouts::Stage::Running => true,
        rollouts::Stage::RolledBack => state.fleet.has_version(now, service, &order.target),
        rollouts::Stage::Completed => false,
    })
}

/// Returns the number of engines that are present in a pool.
fn present_count(present: &collections::BTreeMap<name::Name, Present>, pool: &orders::Pool) -> u32 {
    let present = present.get(&pool.domain);
    present.map_or(0, |p| if pool.spot { p.spot } else { p.on_demand })
}

/// Number of engines that a service needs.
#[derive(Clone, Copy, Debug)]
struct Target {
    /// Spot engines in each failure domain.
    per_domain: u32,
    /// Engines of both markets that must be present at any time.
    min_total: u32,
}

impl Target {
    /// Keeps the present engines, in each failure domain as many as in the largest one, and divides
    /// those of evacuated domains among the others.
    fn as_present(present: &collections::BTreeMap<name::Name, Present>, displaced: u32) -> Self {
        let largest = present
            .values()
            .map(|p| p.usable_spot().max(p.on_demand))
            .max();
        let domains = present.len() as u32;
        let largest = largest.unwrap_or(0) + displaced.div_ceil(domains.max(1));
        let need = largest * domains.saturating_sub(1).max(1);
        Self {
            per_domain: largest,
            min_total: (f64::from(need) * TARGET_UTILIZATION / SHORTAGE_UTILIZATION).ceil() as u32,
        }
    }

    fn of(busy: f64, domains: u32) -> Self {
        let need = (busy / TARGET_UTILIZATION).ceil() as u32;
        Self {
            per_domain: need.div_ceil(domains.saturating_sub(1).max(1)),
            min_total: (busy / SHORTAGE_UTILIZATION).ceil() as u32,
        }
    }
}

struct Plan<'a> {
    service: &'a name::Name,
    scaling: &'a service::Scaling,
    target: Target,
    busy: f64,
}

impl Plan<'_> {
    fn orders(&self, present: &collections::BTreeMap<name::Name, Present>) -> Vec<orders::Order> {
        let scaling = self.scaling;
        let per_domain = match scaling.spot {
            Some(_) => self.target.per_domain.clamp(scaling.min, scaling.max),
            None => 0,
        };
        let usable = |p: &Present| p.usable_spot().min(per_domain);
        let spots: u32 = present.values().map(usable).sum();
        let largest = present.values().map(usable).max();
        let domains = present.len() as u32;
        let min_total = self.target.min_total;
        // The domain with the most spot engines may be the next one to be reclaimed.
        let remaining = spots - largest.unwrap_or(0);
        let missing = min_total.saturating_sub(remaining);
        let parts = parts(missing, domains);
        let orders = present.iter().zip(parts).flat_map(|((domain, p), part)| {
            let most = scaling.max.saturating_sub(p.spot.min(per_domain));
            let least = scaling.min.saturating_sub(p.spot.min(per_domain));
            let on_demand = part.min(most).max(least);
            let spot = per_domain.min(scaling.max.saturating_sub(on_demand));
            let counts = [
                (true, spot, p.spot_lost),
                (false, on_demand, p.on_demand_lost),
            ];
            let mut spare = scaling.max.saturating_sub(spot + on_demand);
            counts.map(|(is_spot, count, lost)| {
                // A limited engine is worth less than the order assumes, and the platform does not
                // take it in exchange.
                let extra = (lost.round() as u32).min(spare).min(count);
                spare -= extra;
                orders::Order {
                    pool: orders::Pool {
                        service: self.service.clone(),
                        domain: domain.clone(),
                        spot: is_spot,
                    },
                    count: count + extra,
                    busy: self.busy,
                }
            })
        });
        orders.collect()
    }
}

/// Divides a number into parts that differ by at most one.
fn parts(number: u32, count: u32) -> impl Iterator<Item = u32> {
    let rest = number.checked_rem(count).unwrap_or(0);
    let each = number.checked_div(count).unwrap_or(0);
    (0..count).map(move |index| each + u32::from(index < rest))
}

/// Returns the present engines by failure domain, including domains without any, but no evacuated
/// ones.
fn present(
    now: time::Time,
    state: &state::State,
    service: &service::Service,
    scaling: &service::Scaling,
) -> collections::BTreeMap<name::Name, Present> {
    let mut domains = collections::BTreeMap::new();
    for engine in state.fleet.all().filter(|e| e.service == service.name) {
        domains
            .entry(engine.domain.clone())
            .or_insert_with(Present::default);
    }
    for price in &scaling.prices {
        domains.entry(price.domain.clone()).or_default();
    }
    domains.retain(|domain, _| !state.fleet.evacuations().contains(domain));
    let present = state.fleet.present(now);
    for engine in present.filter(|e| e.service == service.name) {
        let Some(present) = domains.get_mut(&engine.domain) else {
            continue;
        };
        let lost = 1.0 - state.fleet.usable_part(now, engine);
        match engine.spot {
            true => {
                present.spot += 1;
                present.spot_lost += lost;
            }
            false => {
                present.on_demand += 1;
                present.on_demand_lost += lost;
            }
        }
    }
    domains
}

impl Demand {
    /// Adds a sample of the total prefill work sent so far, in microseconds. Returns the recent
    /// peak of the number of engines that the work keeps busy, or `None` before it is known.
    fn observe(&mut self, now: time::Time, prefill_micros: u64) -> Option<f64> {
        if prefill_micros == 0 {
            return None;
        }
        self.samples.push_back(Sample {
            at: now,
            prefill_micros,
        });
        while self
            .samples
            .get(1)
            .is_some_and(|s| s.at.after(DEMAND_SPAN) <= now)
        {
            self.samples.pop_front();
        }
        let first = self.samples.front()?;
        let span = first.at.until(now);
        if span < DEMAND_SPAN {
            return self.peaks.front().map(|p| p.engines);
        }
        let engines =
            prefill_micros.saturating_sub(first.prefill_micros) as f64 / span.as_micros() as f64;
        while self.peaks.back().is_some_and(|p| p.engines <= engines) {
            self.peaks.pop_back();
        }
        self.peaks.push_back(Peak { at: now, engines });
        while self
            .peaks
            .front()
            .is_some_and(|p| p.at.after(PEAK_RETENTION) <= now)
        {
            self.peaks.pop_front();
        }
        self.peaks.front().map(|p| p.engines)
    }

    /// Returns `true` if any prefill work has been observed.
    fn has_samples(&self) -> bool {
        !self.samples.is_empty()
    }

    /// Returns the target before the demand is known: as many spot engines as there were engines
    /// initially, since the operator chose that number.
    fn initial_target(&mut self, now: time::Time, count: u32, domains: u32) -> Option<Target> {
        if self
            .initial
            .is_none_or(|initial| initial.count < count && !initial.is_ordered)
        {
            self.initial = Some(Initial {
                count,
                since: now,
                is_ordered: false,
            });
        }
        let initial = self.initial.as_mut()?;
        if initial.since.after(SETTLE_TIME) > now {
            return None;
        }
        initial.is_ordered = true;
        Some(Target {
            per_domain: initial.count.div_ceil(domains.max(1)),
            min_total: initial.count,
        })
    }
}
