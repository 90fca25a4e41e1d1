//! A request under which engines end is stopped at all instances, and no other request is.

mod relay_support;

use std::time::Duration;

use relay_support::engines::{CrashEffect, Plan, Simulation};
use rstest::rstest;

/// Time in which all instances know of the third engine that has ended.
const KNOWN: Duration = Duration::from_secs(3);
/// Engines that may run the request later than that.
const RETRIES: usize = 3;

/// The users' incident "BUDGET" at a deployment of nine instances: a request under which three
/// engines had ended was sent to engines again and again.
#[rstest]
#[case::before_the_head(Plan::CALM)]
#[case::after_the_head(Plan { effect: CrashEffect::AfterHead, ..Plan::CALM })]
#[case::silent(Plan { effect: CrashEffect::Silent, ..Plan::CALM })]
#[case::among_broken_ones(Plan { resets: 100, others: 12, ..Plan::CALM })]
#[case::beside_restarts(Plan { restart_interval: 20, ..Plan::CALM })]
#[case::with_failures(Plan { fails: true, ..Plan::CALM })]
#[case::seldom(Plan { interval: 40, ..Plan::CALM })]
#[case::all_at_once(Plan {
    effect: CrashEffect::AfterHead,
    resets: 50,
    others: 12,
    restart_interval: 40,
    fails: true,
    ..Plan::CALM
})]
fn request_under_which_engines_end_is_stopped_everywhere(
    #[case] plan: Plan,
    #[values((9, 3, 9), (40, 4, 30))] sizes: (usize, usize, usize),
) {
    let (instances, domains, engines) = sizes;
    let mut world = Simulation::new(instances, domains, engines, plan);
    let outcome = world.run_for(Duration::from_secs(70));
    assert!(outcome.crashes.len() >= 3, "{outcome:?}");
    let late = outcome.late_runs(KNOWN);
    assert!(late <= RETRIES, "{late} late of {:?}", outcome.runs);
    assert_eq!(outcome.blocked, 0);
}

/// Channels that break at engines that live on are no reason to stop a request.
#[rstest]
#[case::popular(Plan { popular: true, ..Plan::CALM })]
#[case::unlike(Plan::CALM)]
fn request_at_engines_that_reset_channels_is_not_stopped(#[case] plan: Plan) {
    let plan = Plan {
        interval: 0,
        resets: 400,
        others: 12,
        ..plan
    };
    let outcome = Simulation::new(9, 3, 9, plan).run_for(Duration::from_secs(30));
    assert_eq!(outcome.blocked, 0, "{} answered", outcome.answered);
}

/// A popular request runs at each engine that ends under the crasher.
#[test]
fn popular_request_beside_the_crasher_is_not_stopped() {
    let plan = Plan {
        popular: true,
        effect: CrashEffect::AfterHead,
        ..Plan::CALM
    };
    let outcome = Simulation::new(9, 3, 9, plan).run_for(Duration::from_secs(30));
    assert_eq!(outcome.blocked, 0, "{} answered", outcome.answered);
}
