//! A request that crashes engines, and kills of instances between its submissions.

mod relay_support;

use std::time::Duration;

use relay_support::engines::Simulation;
use relay_support::outcome::Outcome;
use relay_support::plan::{CrashEffect, CrashStore, Kills, Plan};
use rstest::rstest;

/// Time from which an instance is in touch, and in which the third crash is known.
const CONTACT: Duration = Duration::from_secs(3);
/// Maximum number of late runs of the request.
const MAX_LATE_RUNS: usize = 3;
/// Steps between two submissions of the request.
const INTERVAL: u64 = 160;
/// Steps in a second.
const SECOND: u64 = 20;

const STORE: CrashStore = CrashStore {
    latency: 4,
    outage: (u64::MAX, u64::MAX),
};

const PLAN: Plan = Plan {
    interval: INTERVAL,
    others: 2,
    store: Some(STORE),
    ..Plan::CALM
};

fn kills(submissions: u64, delay: u64, count: u64, divisor: usize) -> Plan {
    let kills = Kills {
        submissions,
        delay,
        count,
        divisor,
    };
    Plan {
        kills: Some(kills),
        ..PLAN
    }
}

fn play(instances: usize, plan: Plan) -> Outcome {
    let mut simulation = Simulation::new(instances, 3, instances.min(30), plan);
    simulation.run_for(Duration::from_secs(140))
}

/// Review case 13: a request that crashed engines was forgotten by each kill of all instances between its
/// second and its third crash, since only blocks were kept in the store.
#[rstest]
#[case::after_each_submission(kills(1, 2 * SECOND, 8, 1))]
#[case::after_each_second(kills(2, 2 * SECOND, 4, 1))]
#[case::after_each_third(kills(3, 2 * SECOND, 3, 1))]
#[case::after_each_second_soon(kills(2, SECOND + 10, 8, 1))]
#[case::after_each_submission_late(kills(1, 5 * SECOND, 8, 1))]
#[case::some(kills(1, 2 * SECOND, 8, 2))]
#[case::one_after_the_other(kills(1, 2 * SECOND, 8, 3))]
#[case::after_the_head(Plan { effect: CrashEffect::AfterHead, ..kills(1, 2 * SECOND, 8, 1) })]
#[case::silent(Plan { effect: CrashEffect::Silent, ..kills(1, 4 * SECOND, 8, 1) })]
#[case::with_resets(Plan { resets: 100, others: 8, ..kills(1, 2 * SECOND, 8, 1) })]
#[case::with_slow_store(Plan {
    store: Some(CrashStore { latency: 20, ..STORE }),
    ..kills(1, 3 * SECOND, 8, 1)
})]
#[case::with_store_away_at_first(Plan {
    store: Some(CrashStore { outage: (0, 12 * SECOND), ..STORE }),
    ..kills(2, 5 * SECOND, 4, 1)
})]
fn crashing_request_known_after_kills(
    #[case] plan: Plan,
    #[values(3, 9)] instances: usize,
    #[values(1, 2)] seed: u64,
) {
    check(instances, Plan { seed, ..plan });
}

#[rstest]
#[case::after_each_submission(kills(1, 2 * SECOND, 8, 1))]
#[case::after_each_second(kills(2, 2 * SECOND, 4, 1))]
#[case::some(kills(1, 2 * SECOND, 8, 2))]
fn crashing_request_known_after_kills_of_many_instances(#[case] plan: Plan) {
    check(75, plan);
}

/// A crash counts a second after the connections broke, or once the engine is missing from the list; a kill of
/// all before that forgets it.
#[rstest]
#[case::after_each_second(kills(2, 6, 8, 1))]
#[case::after_each_third(kills(3, 6, 8, 1))]
#[case::after_each_submission(kills(1, 6, 8, 1))]
fn crashing_request_known_after_kills_right_after_a_crash(
    #[case] plan: Plan,
    #[values(3, 9)] instances: usize,
) {
    check(instances, plan);
}

fn check(instances: usize, plan: Plan) {
    let outcome = play(instances, plan);
    assert!(outcome.crashes.len() >= 3, "{outcome:?}");
    let late = outcome.late_runs_in_touch(CONTACT);
    assert!(late <= MAX_LATE_RUNS, "{late} late of {:?}", outcome.runs);
    assert_eq!(outcome.blocked, 0, "sound requests");
}

/// Sound requests that ran at engines which crash are served after kills, and the store is called a few
/// times for each crash only.
#[rstest]
#[case::distinct(false)]
#[case::popular(true)]
fn sound_requests_beside_crashes_served_after_kills(
    #[case] popular: bool,
    #[values(3, 9, 75)] instances: usize,
) {
    let plan = Plan {
        interval: 0,
        others: 8,
        popular,
        failures: Some(relay_support::plan::Failures {
            interval: 4 * SECOND,
            divisor: 0,
        }),
        restart_interval: 3 * SECOND,
        ..PLAN
    };
    let outcome = play(instances, plan);
    assert!(outcome.crashes.len() >= 30, "{}", outcome.crashes.len());
    assert_eq!(outcome.blocked, 0, "{} answered", outcome.answered);
    let starts = instances as u64 + 140 / 3 + 1;
    let calls = outcome.store_calls.saturating_sub(starts);
    let crashes = outcome.crashes.len() as u64;
    assert!(calls <= 8 * crashes, "{calls} calls, {crashes} crashes");
}
