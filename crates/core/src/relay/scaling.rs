//! How many engines of each market a service should have in each failure domain.
//!
//! Reclaimable engines are cheap, but all of a failure domain leave at once and none come back for
//! a while. So they are spread evenly and are so many that the rest carries the load when one
//! domain is gone. On-demand engines fill what is missing then, and until the first reclaimable
//! ones have started.

use std::collections;
use std::time::Duration;

use super::duties::orders;
use super::rollouts;
use super::service;
use super::state;
use crate::name;
use crate::time;

/// Part of the time that engines may spend on reading prompts when all failure domains are there.
const BUSY: f64 = 0.3;
/// The same while reclaimable engines are short.
const BUSY_SHORT: f64 = 0.6;
/// Time over which work is averaged.
const SPAN: Duration = Duration::from_secs(4);
/// Time between two looks at the demand.
const LOOK: Duration = Duration::from_millis(300);
/// How long a higher demand is remembered.
const MEMORY: Duration = Duration::from_secs(15);
/// How long the list of engines has to stand still at first before anything is ordered.
const SETTLED: Duration = Duration::from_millis(1_500);

/// Plans the engines of all services that can be ordered.
#[derive(Debug, Default)]
pub struct Planner {
    services: collections::BTreeMap<name::Name, Demand>,
    next: time::Time,
}

/// Demand for one service.
#[derive(Debug, Default)]
struct Demand {
    samples: collections::VecDeque<Sample>,
    peaks: collections::VecDeque<Peak>,
    first: Option<First>,
}

/// Engines that were there before any request.
#[derive(Clone, Copy, Debug)]
struct First {
    all: u32,
    since: time::Time,
    ordered: bool,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: time::Time,
    work: u64,
}

#[derive(Clone, Copy, Debug)]
struct Peak {
    at: time::Time,
    engines: f64,
}

/// Engines of a service in one failure domain that may get work.
#[derive(Clone, Copy, Debug, Default)]
struct Present {
    spot: u32,
    steady: u32,
}

impl Planner {
    /// Returns what there is to be of each service, domain and market; nothing between two looks.
    pub fn plan(&mut self, now: time::Time, state: &state::State) -> Vec<orders::Order> {
        if now < self.next {
            return Vec::new();
        }
        self.next = now.after(LOOK);
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
        let all: u32 = present.values().map(|p| p.spot + p.steady).sum();
        if all == 0 && !self.services.contains_key(&service.name) {
            return Vec::new();
        }
        let demand = self.services.entry(service.name.clone()).or_default();
        let busy = demand.observe(now, state.prefill_work(&service.name));
        let target = match busy {
            Some(busy) => Target::of(busy, domains),
            None if demand.has_begun() => Target::as_present(&present),
            None => match demand.first(now, all, domains) {
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
        if is_moving(now, state, &service.name) {
            // Which engines are taken away is not ours to choose: they may be the new version's.
            orders.retain(|order| order.count >= there(&present, &order.pool));
        }
        orders
    }
}

/// Tells whether engines of two versions of a service are to be there.
fn is_moving(now: time::Time, state: &state::State, service: &name::Name) -> bool {
    let order = state.rollouts.order(service);
    order.is_some_and(|order| match order.stage {
        rollouts::Stage::Ordered | rollouts::Stage::Running => true,
        rollouts::Stage::RolledBack => state.fleet.has_version(now, service, &order.target),
        rollouts::Stage::Completed => false,
    })
}

/// Returns the engines that an order is about.
fn there(present: &collections::BTreeMap<name::Name, Present>, subject: &orders::Pool) -> u32 {
    let present = present.get(&subject.domain);
    present.map_or(0, |p| if subject.spot { p.spot } else { p.steady })
}

/// What a service needs.
#[derive(Clone, Copy, Debug)]
struct Target {
    /// Reclaimable engines in each failure domain.
    spread: u32,
    /// Engines of both markets that there have to be at any time.
    least: u32,
}

impl Target {
    /// Keeps what there is, in each failure domain as in the one that has most.
    fn as_present(present: &collections::BTreeMap<name::Name, Present>) -> Self {
        let most = present.values().map(|p| p.spot.max(p.steady)).max();
        let most = most.unwrap_or(0);
        let domains = present.len() as u32;
        let need = most * domains.saturating_sub(1).max(1);
        Self {
            spread: most,
            least: (f64::from(need) * BUSY / BUSY_SHORT).ceil() as u32,
        }
    }

    fn of(busy: f64, domains: u32) -> Self {
        let need = (busy / BUSY).ceil() as u32;
        Self {
            spread: need.div_ceil(domains.saturating_sub(1).max(1)),
            least: (busy / BUSY_SHORT).ceil() as u32,
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
        let spread = match scaling.spot {
            Some(_) => self.target.spread.clamp(scaling.min, scaling.max),
            None => 0,
        };
        let spots: u32 = present.values().map(|p| p.spot.min(spread)).sum();
        let largest = present.values().map(|p| p.spot.min(spread)).max();
        let domains = present.len() as u32;
        let least = self.target.least;
        // The largest group of reclaimable engines may be the next to go.
        let left = spots - largest.unwrap_or(0);
        let missing = least.saturating_sub(left);
        let parts = parts(missing, domains);
        let orders = present.iter().zip(parts).flat_map(|((domain, p), part)| {
            let room = scaling.max.saturating_sub(p.spot.min(spread));
            let floor = scaling.min.saturating_sub(p.spot.min(spread));
            let steady = part.min(room).max(floor);
            let spot = spread.min(scaling.max.saturating_sub(steady));
            let counts = [(true, spot), (false, steady)];
            counts.map(|(is_spot, count)| orders::Order {
                pool: orders::Pool {
                    service: self.service.clone(),
                    domain: domain.clone(),
                    spot: is_spot,
                },
                count,
                busy: self.busy,
            })
        });
        orders.collect()
    }
}

/// Parts a number as evenly as whole numbers allow.
fn parts(number: u32, count: u32) -> impl Iterator<Item = u32> {
    let rest = number.checked_rem(count).unwrap_or(0);
    let each = number.checked_div(count).unwrap_or(0);
    (0..count).map(move |index| each + u32::from(index < rest))
}

/// Returns the engines of each failure domain, those without any included.
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
    let open = state.fleet.open(now);
    for engine in open.filter(|e| e.service == service.name) {
        let Some(present) = domains.get_mut(&engine.domain) else {
            continue;
        };
        match engine.spot {
            true => present.spot += 1,
            false => present.steady += 1,
        }
    }
    domains
}

impl Demand {
    /// Takes the microseconds of work sent so far; returns the engines that the work of the last
    /// seconds keeps busy, the highest of a while, or `None` before enough is known.
    fn observe(&mut self, now: time::Time, work: u64) -> Option<f64> {
        if work == 0 {
            return None;
        }
        self.samples.push_back(Sample { at: now, work });
        while self.samples.get(1).is_some_and(|s| s.at.after(SPAN) <= now) {
            self.samples.pop_front();
        }
        let first = self.samples.front()?;
        let span = first.at.until(now);
        if span < SPAN {
            return self.peaks.front().map(|p| p.engines);
        }
        let engines = work.saturating_sub(first.work) as f64 / span.as_micros() as f64;
        while self.peaks.back().is_some_and(|p| p.engines <= engines) {
            self.peaks.pop_back();
        }
        self.peaks.push_back(Peak { at: now, engines });
        while self
            .peaks
            .front()
            .is_some_and(|p| p.at.after(MEMORY) <= now)
        {
            self.peaks.pop_front();
        }
        self.peaks.front().map(|p| p.engines)
    }

    /// Tells whether requests have been seen.
    fn has_begun(&self) -> bool {
        !self.samples.is_empty()
    }

    /// Returns what to order before the demand is known: as many reclaimable engines as there
    /// were at first, which is what the operator took to be right.
    fn first(&mut self, now: time::Time, all: u32, domains: u32) -> Option<Target> {
        if self
            .first
            .is_none_or(|first| first.all < all && !first.ordered)
        {
            self.first = Some(First {
                all,
                since: now,
                ordered: false,
            });
        }
        let first = self.first.as_mut()?;
        if first.since.after(SETTLED) > now {
            return None;
        }
        first.ordered = true;
        Some(Target {
            spread: first.all.div_ceil(domains.max(1)),
            least: first.all,
        })
    }
}
