//! Verdicts on new versions from the few responses of a quiet route.

mod relay_support;

use std::time::Duration;

use guavausher_core::relay::rollouts::Stage;
use guavausher_core::relay::settings;
use relay_support::trial::{self, Fault};
use relay_support::{EPOCH, name};
use rstest::rstest;

/// Requests a second on the route that both versions serve.
const BUSY: f64 = 20.0;
/// Plays of each case.
const PLAYS: u64 = 200;
/// Plays of each case with many instances.
const LARGE_PLAYS: u64 = 20;

fn plan(instances: usize, seconds: u64, rate: f64, fault: Fault) -> trial::Plan {
    let sound = trial::Route {
        rate: BUSY,
        fault: Fault::Every(0),
    };
    trial::Plan {
        instances,
        duration: Duration::from_secs(seconds),
        routes: vec![sound, trial::Route { rate, fault }],
        usual: 0.0,
        seed: 0,
    }
}

/// Plays a rollout with each seed; returns how many of them ended in this stage, and of how many.
fn count(plan: &trial::Plan, stage: Stage) -> (u64, u64) {
    let plays = match plan.instances {
        0..50 => PLAYS,
        _ => LARGE_PLAYS,
    };
    let mut found = 0;
    for seed in 0..plays {
        let mut plan = plan.clone();
        plan.seed = seed;
        let outcome = trial::play(&plan);
        assert!(outcome.is_within_exposure(), "{outcome:?}, seed {seed}");
        found += u64::from(outcome.stage == stage);
    }
    (found, plays)
}

/// Review case 14: a version that failed each third request of a quiet route was completed, since eight
/// responses passed for enough while four errors were needed.
#[rstest]
#[case::three_instances(3, 12, 2.0, 3)]
#[case::nine_instances(9, 12, 2.0, 3)]
#[case::many_instances(75, 12, 2.0, 3)]
#[case::half_of_a_quieter_route(3, 12, 1.2, 2)]
#[case::quarter_of_a_busier_route(3, 12, 6.0, 4)]
#[case::short(3, 8, 3.0, 3)]
#[case::long(3, 60, 0.5, 3)]
fn version_that_fails_a_part_of_a_quiet_route_rolled_back(
    #[case] instances: usize,
    #[case] seconds: u64,
    #[case] rate: f64,
    #[case] every: u64,
) {
    let plan = plan(instances, seconds, rate, Fault::Every(every));
    let (found, plays) = count(&plan, Stage::RolledBack);
    assert_eq!(found, plays);
}

/// The same with failures that are drawn: at most one such version of ten is completed if its quiet
/// route has 24 requests in the rollout's time, and one of fifty if it has 60.
#[rstest]
#[case::third_of_24(12, 2.0, 1.0 / 3.0, 10)]
#[case::half_of_24(12, 2.0, 0.5, 10)]
#[case::third_of_60(60, 1.0, 1.0 / 3.0, 50)]
#[case::third_of_72(12, 6.0, 1.0 / 3.0, 50)]
fn version_that_fails_a_drawn_part_rarely_completed(
    #[case] seconds: u64,
    #[case] rate: f64,
    #[case] share: f64,
    #[case] one_of: u64,
) {
    let plan = plan(3, seconds, rate, Fault::Share(share));
    let (found, plays) = count(&plan, Stage::Completed);
    assert!(found * one_of <= plays, "{found} of {plays}");
}

/// A version that becomes bad late was completed, since its errors were few among all responses.
#[rstest]
#[case::at_a_third(6.0, 0.35)]
#[case::at_half(6.0, 0.5)]
#[case::at_six_tenths(6.0, 0.6)]
#[case::at_half_of_a_quieter_route(3.0, 0.5)]
fn version_that_fails_a_route_late_rolled_back(#[case] rate: f64, #[case] from: f64) {
    let plan = plan(3, 12, rate, Fault::From(from));
    let (found, plays) = count(&plan, Stage::RolledBack);
    assert_eq!(found, plays);
}

/// The evidence that stops a bad version does not stop a good one with a rare error.
#[rstest]
#[case::three_instances(3, 12, 2.0, 40)]
#[case::one_of_sixty(3, 12, 2.0, 60)]
#[case::nine_instances(9, 12, 2.0, 40)]
#[case::many_instances(75, 12, 2.0, 60)]
#[case::quieter_route(3, 12, 1.5, 60)]
#[case::busier_route(3, 12, 6.0, 40)]
#[case::short(3, 8, 3.0, 40)]
#[case::long(3, 60, 0.5, 40)]
fn version_with_a_rare_error_completed(
    #[case] instances: usize,
    #[case] seconds: u64,
    #[case] rate: f64,
    #[case] every: u64,
) {
    let plan = plan(instances, seconds, rate, Fault::Every(every));
    let (found, plays) = count(&plan, Stage::Completed);
    assert_eq!(found, plays);
}

/// Errors that both versions have do not hold a version back: at most one of twenty is rolled back.
#[rstest]
#[case::half_a_percent(0.005, 2.0)]
#[case::one_percent(0.01, 2.0)]
#[case::two_percent(0.02, 2.0)]
#[case::two_percent_of_a_busy_route(0.02, 100.0)]
#[case::seventh(1.0 / 7.0, 20.0)]
fn version_with_usual_errors_rarely_rolled_back(#[case] usual: f64, #[case] rate: f64) {
    let mut plan = plan(3, 12, rate, Fault::Every(0));
    plan.usual = usual;
    let (found, plays) = count(&plan, Stage::RolledBack);
    assert!(found * 20 <= plays, "{found} of {plays}");
}

/// With many quiet routes a single usual error on one of them says little.
#[test]
fn version_with_usual_errors_on_many_routes_rarely_rolled_back() {
    let mut plan = plan(3, 12, 2.0, Fault::Every(0));
    plan.routes = vec![plan.routes[1]; 24];
    plan.usual = 0.01;
    let (found, plays) = count(&plan, Stage::RolledBack);
    assert!(found * 20 <= plays, "{found} of {plays}");
}

/// A version that was slow on a route with few requests was completed, since too few first events were timed.
#[rstest]
#[case::four_times_as_slow(4.0, Stage::RolledBack)]
#[case::a_quarter_slower(1.25, Stage::Completed)]
#[case::equally_fast(1.0, Stage::Completed)]
fn version_that_is_slow_on_a_quiet_route_not_completed(#[case] factor: f64, #[case] stage: Stage) {
    let mut rollouts = trial::ordered(Duration::from_secs(12));
    let (service, expected) = (name("model"), Duration::from_millis(100));
    for (route, version, count, factor) in [
        ("busy", "v1", 200, 1.0),
        ("busy", "v2", 20, 1.0),
        ("quiet", "v1", 6, 1.0),
        ("quiet", "v2", 5, factor),
    ] {
        for _ in 0..count {
            let (route, version) = (name(route), name(version));
            let took = expected.mul_f64(factor);
            rollouts.record_first_event(&service, &route, &version, took, expected);
            rollouts.record_response(&service, &route, &version, true);
        }
    }
    let micros = EPOCH + 11_900_000;
    let updates = rollouts.status_updates(&settings::Settings::default(), micros);
    assert_eq!(updates[0].stage, stage);
}
