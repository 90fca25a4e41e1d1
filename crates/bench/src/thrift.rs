//! Measures of cost.

use guavausher_core::declaration;
use guavausher_core::name;
use guavausher_core::placement;
use guavausher_core::time;

use crate::engine;
use crate::entry;
use crate::measure;
use crate::reclaim;
use crate::setup;
use crate::sim;
use crate::summary;
use crate::trace;

/// Price of an on-demand instance an hour.
const ON_DEMAND: f64 = 1.0;
/// Price of a reclaimable instance an hour.
const RECLAIMABLE: f64 = 0.35;
/// Price units in one unit of currency.
const MILLIONTHS: f64 = 1e6;
/// Seconds of arrivals.
const SECONDS: u64 = 120;
/// Engines whose capacity the demand fills.
const DEMAND_ENGINES: usize = 12;
/// Share of good requests that the target asks for.
const TARGET: f64 = 0.95;
/// Most engines tried.
const MAX_ENGINES: usize = 40;

/// Measures of cost.
pub fn measures(seed: u64) -> Vec<measure::Measure> {
    let name = "cost of 1,000 good requests against least in flight on demand";
    let Some(least) = cheapest(seed) else {
        return vec![measure::Measure::new(
            name,
            "lif never met the target",
            f64::INFINITY,
        )];
    };
    let engines = planned();
    let count = engines.len();
    let core = cost(entry::Policy::Core, seed, engines, true);
    let baseline = format!("lif {} on demand, core {count} planned", least.engines);
    vec![measure::Measure::new(name, baseline, core / least.cost)]
}

struct Cheapest {
    engines: usize,
    cost: f64,
}

/// Returns the smallest on-demand fleet that meets the target under least in flight.
fn cheapest(seed: u64) -> Option<Cheapest> {
    (DEMAND_ENGINES..MAX_ENGINES).find_map(|count| {
        let engines = fleet(count, declaration::Market::OnDemand);
        let summary = run(entry::Policy::LeastInFlight, seed, &engines, false);
        let share = summary.good as f64 / summary.offered as f64;
        (share >= TARGET).then(|| Cheapest {
            engines: count,
            cost: price(&engines, &summary),
        })
    })
}

/// Returns the engines that the planner wants.
fn planned() -> Vec<setup::Site> {
    let service = name::Name::from(setup::SERVICE);
    let demand = placement::Demand {
        slots: (DEMAND_ENGINES * engine::SLOTS) as u32,
        starts: u32::MAX,
    };
    let mut declaration = setup::Setup::at_load(entry::Policy::Core, 0, 0, 1).declaration();
    declaration.classes = classes();
    let mut planner = placement::Planner::new(service);
    let wants = planner.plan(time::Time::default(), &declaration, &demand);
    wants.iter().flat_map(sites).collect()
}

fn sites(want: &placement::Allocation) -> Vec<setup::Site> {
    let domain = setup::DOMAINS
        .iter()
        .position(|domain| *domain == &*want.offer.domain);
    let site = setup::Site {
        domain: domain.unwrap_or(0),
        market: want.offer.market,
    };
    vec![site; want.count as usize]
}

fn classes() -> Vec<declaration::Class> {
    let markets = [
        (declaration::Market::OnDemand, ON_DEMAND),
        (declaration::Market::Reclaimable, RECLAIMABLE),
    ];
    let domains = setup::DOMAINS.iter();
    let all = domains.flat_map(|domain| {
        markets.map(|(market, price)| declaration::Class {
            name: name::Name::from("gpu-small"),
            domain: name::Name::from(*domain),
            market,
            price: (price * MILLIONTHS) as u64,
        })
    });
    all.collect()
}

fn fleet(count: usize, market: declaration::Market) -> Vec<setup::Site> {
    let sites = setup::spread(count).into_iter();
    sites.map(|site| setup::Site { market, ..site }).collect()
}

fn cost(policy: entry::Policy, seed: u64, engines: Vec<setup::Site>, reclaims: bool) -> f64 {
    let summary = run(policy, seed, &engines, reclaims);
    let share = summary.good as f64 / summary.offered as f64;
    if share < TARGET {
        return f64::INFINITY;
    }
    price(&engines, &summary)
}

fn run(
    policy: entry::Policy,
    seed: u64,
    engines: &[setup::Site],
    reclaims: bool,
) -> summary::Summary {
    let mut setup = setup::Setup::at_load(policy, seed, 100, SECONDS);
    let scale = trace::capacity(DEMAND_ENGINES) / trace::capacity(20);
    setup
        .demand
        .rates
        .iter_mut()
        .for_each(|rate| *rate *= scale);
    setup.engines = engines.to_vec();
    if reclaims {
        setup.faults = reclaim::faults();
    }
    summary::Summary::new(&sim::run(&setup), setup.demand.length)
}

/// Returns the price of 1,000 good requests; lost instances are paid to the end.
fn price(engines: &[setup::Site], summary: &summary::Summary) -> f64 {
    let hourly = engines.iter().map(|site| match site.market {
        declaration::Market::OnDemand => ON_DEMAND,
        declaration::Market::Reclaimable => RECLAIMABLE,
    });
    let hours = summary.seconds / 3_600.0;
    hourly.sum::<f64>() * hours * 1_000.0 / summary.good.max(1) as f64
}
