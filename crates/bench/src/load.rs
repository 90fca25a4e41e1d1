//! Measures at several loads.

use std::collections;

use crate::entry;
use crate::measure;
use crate::setup;
use crate::sim;
use crate::summary;

/// Loads in percent of the fleet's capacity.
const LOADS: [u32; 5] = [60, 90, 100, 130, 200];
/// All policies.
pub const POLICIES: [entry::Policy; 3] = [
    entry::Policy::RoundRobin,
    entry::Policy::LeastInFlight,
    entry::Policy::Core,
];
/// Seconds of arrivals.
const SECONDS: u64 = 160;

/// Measures at all loads.
pub fn measures(seed: u64) -> Vec<measure::Measure> {
    let mut runs = collections::BTreeMap::new();
    for load in LOADS {
        for policy in POLICIES {
            let setup = setup::Setup::at_load(policy, seed, load, SECONDS);
            let summary = summary::Summary::new(&sim::run(&setup), setup.demand.length);
            runs.insert((load, policy), summary);
        }
    }
    let run = |load, policy| &runs[&(load, policy)];
    let mut rows = Vec::new();
    for load in [60, 90, 130] {
        let name = format!("first token in 1.6 s at {load}% load, share of served");
        let value = |policy| run(load, policy).prompt_share();
        rows.push(measure::Measure::of_policies(name, value));
    }
    for load in [60, 90, 130] {
        let name = format!("gaps in 48 ms at {load}% load, share");
        rows.push(measure::Measure::of_policies(name, |policy| {
            run(load, policy).gap_share()
        }));
    }
    let name = "refused at 130% load, share of offered";
    rows.push(measure::Measure::of_policies(name, |policy| {
        run(130, policy).refused_share()
    }));
    let name = "goodput at 200% load against 100%";
    let value = |policy| summary::ratio(run(200, policy).goodput(), run(100, policy).goodput());
    rows.push(measure::Measure::of_policies(name, value));
    for load in [60, 90] {
        let name = format!("recomputed tokens at {load}% load against round robin");
        let robin = run(load, entry::Policy::RoundRobin).recomputed as f64;
        let value = |policy| summary::ratio(run(load, policy).recomputed as f64, robin);
        rows.push(measure::Measure::of_policies(name, value));
    }
    for load in LOADS {
        let name = format!("goodput at {load}% load, requests a second");
        rows.push(measure::Measure::of_policies(name, |policy| {
            run(load, policy).goodput()
        }));
    }
    rows
}
