//! A request that crashes engines is blocked at all instances, and no other request is.

mod relay_support;

use std::time::Duration;

use relay_support::engines::Simulation;
use relay_support::plan::{CrashEffect, Plan};
use rstest::rstest;

/// Time in which all instances learn of the third crash.
const PROPAGATION: Duration = Duration::from_secs(3);
/// Maximum number of runs of the request after that.
const MAX_LATE_RUNS: usize = 3;

/// Guards against a request that is sent to engines again and again although three of them have
/// crashed under it, as seen at a deployment of nine instances.
#[rstest]
#[case::before_the_head(Plan::CALM)]
#[case::after_the_head(Plan { effect: CrashEffect::AfterHead, ..Plan::CALM })]
#[case::silent(Plan { effect: CrashEffect::Silent, ..Plan::CALM })]
#[case::with_resets(Plan { resets: 100, others: 12, ..Plan::CALM })]
#[case::with_restarts(Plan { restart_interval: 20, ..Plan::CALM })]
#[case::with_failures(Plan { fails: true, ..Plan::CALM })]
#[case::rarely(Plan { interval: 40, ..Plan::CALM })]
#[case::all_at_once(Plan {
    effect: CrashEffect::AfterHead,
    resets: 50,
    others: 12,
    restart_interval: 40,
    fails: true,
    ..Plan::CALM
})]
fn crashing_request_blocked_at_all_instances(
    #[case] plan: Plan,
    #[values((9, 3, 9), (40, 4, 30))] sizes: (usize, usize, usize),
) {
    let (instances, domains, engines) = sizes;
    let mut simulation = Simulation::new(instances, domains, engines, plan);
    let outcome = simulation.run_for(Duration::from_secs(70));
    assert!(outcome.crashes.len() >= 3, "{outcome:?}");
    let late = outcome.late_runs(PROPAGATION);
    assert!(late <= MAX_LATE_RUNS, "{late} late of {:?}", outcome.runs);
    assert_eq!(outcome.blocked, 0);
}

/// Connections that engines reset while they keep running do not block a request.
#[rstest]
#[case::popular(Plan { popular: true, ..Plan::CALM })]
#[case::distinct(Plan::CALM)]
fn request_with_connection_resets_not_blocked(#[case] plan: Plan) {
    let plan = Plan {
        interval: 0,
        resets: 400,
        others: 12,
        ..plan
    };
    let outcome = Simulation::new(9, 3, 9, plan).run_for(Duration::from_secs(30));
    assert_eq!(outcome.blocked, 0, "{} answered", outcome.answered);
}

/// A popular request runs at each engine that crashes under another request.
#[test]
fn popular_request_with_crasher_not_blocked() {
    let plan = Plan {
        popular: true,
        effect: CrashEffect::AfterHead,
        ..Plan::CALM
    };
    let outcome = Simulation::new(9, 3, 9, plan).run_for(Duration::from_secs(30));
    assert_eq!(outcome.blocked, 0, "{} answered", outcome.answered);
}
