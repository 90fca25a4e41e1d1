//! Measures of the reclaim of a failure domain.

use crate::entry;
use crate::measure;
use crate::request;
use crate::setup;
use crate::sim;

/// Load in percent of the whole fleet's capacity.
const LOAD: u32 = 60;
/// Seconds of arrivals.
const SECONDS: u64 = 120;
/// When the notice comes, in microseconds.
const NOTICE_MICROS: u64 = 60_000_000;
/// When the instances go, in microseconds.
const RECLAIM_MICROS: u64 = 65_000_000;
/// Length of a window in microseconds.
const WINDOW_MICROS: u64 = 10_000_000;
/// Distance between two windows in microseconds.
const STRIDE_MICROS: u64 = 1_000_000;

/// Measures around a reclaim.
pub fn measures(seed: u64) -> Vec<measure::Measure> {
    vec![measure::Measure::of_policies(
        "good share in the worst 10 s around a domain's reclaim",
        |policy| worst(policy, seed),
    )]
}

fn worst(policy: entry::Policy, seed: u64) -> f64 {
    let mut setup = setup::Setup::at_load(policy, seed, LOAD, SECONDS);
    setup.faults = faults();
    let requests = sim::run(&setup).requests;
    let starts = (0..).map(|step| NOTICE_MICROS - 2 * WINDOW_MICROS + step * STRIDE_MICROS);
    let starts = starts.take_while(|start| start + WINDOW_MICROS <= SECONDS * 1_000_000);
    starts
        .map(|start| good_share(&requests, start))
        .fold(1.0, f64::min)
}

/// Returns a notice and the reclaim of the second failure domain.
pub fn faults() -> Vec<setup::Fault> {
    let notice = setup::Kind::Notice {
        domain: 1,
        dies_at: RECLAIM_MICROS,
    };
    vec![
        setup::Fault {
            at: NOTICE_MICROS,
            kind: notice,
        },
        setup::Fault {
            at: RECLAIM_MICROS,
            kind: setup::Kind::Reclaim { domain: 1 },
        },
    ]
}

fn good_share(requests: &[request::Request], start: u64) -> f64 {
    let range = start..start + WINDOW_MICROS;
    let within: Vec<_> = requests
        .iter()
        .filter(|request| range.contains(&request.at))
        .collect();
    let good = within.iter().filter(|request| request.is_good()).count();
    if within.is_empty() {
        1.0
    } else {
        good as f64 / within.len() as f64
    }
}
