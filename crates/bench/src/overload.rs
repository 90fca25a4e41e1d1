//! Measures of fairness and of a full outage.

use crate::entry;
use crate::measure;
use crate::request;
use crate::setup;
use crate::sim;
use crate::summary;
use crate::trace;

/// Workspaces of equal weight.
const WORKSPACES: usize = 5;
/// What each well-behaved workspace sends, as a part of its fair share.
const POLITE: f64 = 0.8;
/// What the greedy workspace sends, in fair shares.
const GREEDY: f64 = 10.0;
/// Seconds of arrivals.
const SECONDS: u64 = 100;
/// Start of the outage in microseconds.
const OUTAGE_MICROS: u64 = 40_000_000;
/// Delay that stands for a refused request, in microseconds.
const REFUSED_MICROS: u64 = 10_000_000;

/// Measures of fairness and retries.
pub fn measures(seed: u64) -> Vec<measure::Measure> {
    vec![
        measure::Measure::of_policies(
            "others' p95 first token beside a tenfold workspace against alone",
            |policy| {
                let beside = others(&crowd(policy, seed, GREEDY));
                summary::ratio(beside as f64, others(&crowd(policy, seed, 0.0)) as f64)
            },
        ),
        measure::Measure::of_policies("attempts for each request in a full outage", |policy| {
            amplification(policy, seed)
        }),
    ]
}

/// Runs polite workspaces beside one that sends `greed` fair shares.
fn crowd(policy: entry::Policy, seed: u64, greed: f64) -> Vec<request::Request> {
    let share = trace::capacity(20) / WORKSPACES as f64;
    let mut rates = vec![share * POLITE; WORKSPACES];
    rates[0] = share * greed;
    let mut setup = setup::Setup::at_load(policy, seed, 0, SECONDS);
    setup.demand.rates = rates;
    sim::run(&setup).requests
}

/// Returns the 95th percentile of the first token of all but the first workspace.
fn others(requests: &[request::Request]) -> u64 {
    let others = requests
        .iter()
        .filter(|r| r.workspace != 0 && r.at >= summary::WARM_MICROS);
    let mut delays: Vec<_> = others.map(|r| r.first.unwrap_or(REFUSED_MICROS)).collect();
    delays.sort_unstable();
    delays.get(delays.len() * 95 / 100).copied().unwrap_or(0)
}

/// Returns attempts after the start of an outage for each request that they were for.
fn amplification(policy: entry::Policy, seed: u64) -> f64 {
    let mut setup = setup::Setup::at_load(policy, seed, 60, SECONDS);
    setup.faults = vec![setup::Fault {
        at: OUTAGE_MICROS,
        kind: setup::Kind::Outage,
    }];
    let outcome = sim::run(&setup);
    let attempts = outcome
        .attempts
        .iter()
        .filter(|&&at| at >= OUTAGE_MICROS)
        .count();
    let requests = outcome
        .requests
        .iter()
        .filter(|r| r.at >= OUTAGE_MICROS)
        .count();
    summary::ratio(attempts as f64, requests as f64)
}
