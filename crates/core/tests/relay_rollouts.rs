//! Moves to new versions: exposure, verdicts, and the end of the old engines.

mod relay_support;

use std::time::Duration;

use guavausher_core::relay::event::{self, Signal};
use guavausher_core::relay::{engine, rollouts, route, settings};
use guavausher_core::time;
use relay_support::{
    EPOCH, Instance, START, at, engine, engines, name, new_request, refused, sent,
};
use rstest::rstest;

const SPAN: Duration = Duration::from_secs(12);

fn order(stage: rollouts::Stage) -> event::Event {
    event::Event::Rollouts(vec![rollouts::Order {
        service: name("model"),
        target: name("v2"),
        duration: SPAN,
        stage,
        deadline_micros: Some(EPOCH + SPAN.as_micros() as u64),
    }])
}

fn versions(old: usize, new: usize) -> Vec<engine::Engine> {
    let mut list: Vec<_> = (0..old + new).map(engine).collect();
    for engine in &mut list[old..] {
        engine.version = name("v2");
    }
    list
}

fn trial() -> Instance {
    trial_at(1)
}

fn trial_at(index: u16) -> Instance {
    let mut instance = Instance::serving(index, 0);
    instance.apply(START, engines(versions(4, 4)));
    instance.apply(START, order(rollouts::Stage::Running));
    instance
}

/// Sends a request and ends it; returns whether the new version got it.
fn run(instance: &mut Instance, now: time::Time, id: u64, new: Signal, slow: u32) -> bool {
    let arrived = event::Event::Arrived(new_request(id, now, route::RetryPolicy::Stream, 1));
    let effects = instance.apply(now, arrived);
    let engine = sent(&effects).expect("sent");
    let is_new = !["e0", "e1", "e2", "e3"].contains(&engine.as_str());
    let took = Duration::from_millis(100) * if is_new { slow } else { 1 };
    instance.signal(now.after(took), id, Signal::First);
    let end = if is_new {
        new
    } else {
        Signal::Whole { status: 200 }
    };
    instance.signal(now.after(took), id, end);
    is_new
}

#[rstest]
#[case::failing(Signal::Whole { status: 500 }, 1)]
#[case::broken(Signal::Broken { unanswered: false }, 1)]
#[case::slow(Signal::Whole { status: 200 }, 4)]
fn bad_version_is_taken_back_and_hardly_exposed(#[case] signal: Signal, #[case] slow: u32) {
    let mut instance = trial();
    let exposed = (0..2_000).filter(|id| run(&mut instance, at(id * 4), *id, signal, slow));
    let exposed = exposed.count();
    assert!(exposed <= 50, "{exposed}");
    let verdicts = instance
        .state
        .rollouts
        .status_updates(&settings::Settings::default(), EPOCH + 8_000_000);
    assert_eq!(verdicts[0].stage, rollouts::Stage::RolledBack);
}

#[test]
fn version_that_turns_bad_late_gets_a_small_share() {
    let mut instance = trial();
    let mut exposed = 0;
    for id in 0..2_000 {
        let status = if id < 1_200 { 200 } else { 500 };
        exposed += u32::from(run(
            &mut instance,
            at(id * 4),
            id,
            Signal::Whole { status },
            1,
        ));
    }
    // A tenth of the requests is allowed.
    assert!(exposed <= 200, "{exposed}");
    let verdicts = instance
        .state
        .rollouts
        .status_updates(&settings::Settings::default(), EPOCH + 8_000_000);
    assert_eq!(verdicts[0].stage, rollouts::Stage::RolledBack);
}

#[test]
fn good_version_is_completed_before_it_is_due() {
    let mut instance = trial();
    for id in 0..1_000 {
        run(
            &mut instance,
            at(id * 9),
            id,
            Signal::Whole { status: 200 },
            1,
        );
    }
    assert!(
        instance
            .state
            .rollouts
            .status_updates(&settings::Settings::default(), EPOCH + 5_000_000)
            .is_empty()
    );
    let verdicts = instance
        .state
        .rollouts
        .status_updates(&settings::Settings::default(), EPOCH + 9_500_000);
    assert_eq!(verdicts[0].stage, rollouts::Stage::Completed);
    instance.apply(at(9_500), order(rollouts::Stage::Completed));
    assert!(
        instance
            .state
            .rollouts
            .status_updates(&settings::Settings::default(), EPOCH + 9_600_000)
            .is_empty()
    );
    for id in 2_000..2_050 {
        assert!(run(
            &mut instance,
            at(9_600),
            id,
            Signal::Whole { status: 200 },
            1
        ));
    }
}

/// The users' day "hasty" (EXPOSURE): a version of which hardly anything was seen passed for good.
#[rstest]
#[case::nothing_seen(0, 600, rollouts::Stage::RolledBack)]
#[case::little_seen(11, 1_000, rollouts::Stage::RolledBack)]
#[case::as_much_as_it_may_get(70, 1_000, rollouts::Stage::Completed)]
#[case::service_that_is_hardly_used(2, 30, rollouts::Stage::Completed)]
#[case::service_that_is_not_used(0, 0, rollouts::Stage::Completed)]
fn version_is_completed_only_if_enough_was_seen(
    #[case] new: u32,
    #[case] old: u32,
    #[case] stage: rollouts::Stage,
) {
    let mut trials = rollouts::Rollouts::default();
    let event::Event::Rollouts(orders) = order(rollouts::Stage::Running) else {
        unreachable!()
    };
    trials.replace(orders);
    for (version, count) in [("v1", old), ("v2", new)] {
        for _ in 0..count {
            trials.record_response(&name("model"), &name("r"), &name(version), true);
        }
    }
    let last = trials.status_updates(&settings::Settings::default(), EPOCH + 11_900_000);
    assert_eq!(last[0].stage, stage);
}

/// A version that is bad on one route only is hidden in the sum.
#[test]
fn version_that_is_bad_on_one_route_is_taken_back() {
    let mut trials = rollouts::Rollouts::default();
    let event::Event::Rollouts(orders) = order(rollouts::Stage::Running) else {
        unreachable!()
    };
    trials.replace(orders);
    for count in 0..400 {
        trials.record_response(&name("model"), &name("r1"), &name("v1"), true);
        trials.record_response(&name("model"), &name("r1"), &name("v2"), true);
        if count < 12 {
            trials.record_response(&name("model"), &name("r2"), &name("v1"), true);
            trials.record_response(&name("model"), &name("r2"), &name("v2"), count % 2 == 0);
        }
    }
    assert_eq!(
        trials.status_updates(&settings::Settings::default(), EPOCH)[0].stage,
        rollouts::Stage::RolledBack
    );
}

#[test]
fn faults_seen_elsewhere_count() {
    let mut first = trial();
    let mut second = trial_at(2);
    for id in 0..600 {
        run(&mut first, at(id * 4), id, Signal::Whole { status: 500 }, 1);
    }
    second.receive(at(3_000), first.digest(at(3_000)));
    let exposed = (0..200).filter(|id| {
        run(
            &mut second,
            at(3_000 + id * 4),
            *id,
            Signal::Whole { status: 200 },
            1,
        )
    });
    assert_eq!(exposed.count(), 0);
}

/// What an instance saw counts though it has restarted since, and though an older message comes late.
#[rstest]
#[case::restarted(2)]
#[case::older_message(1)]
fn faults_seen_before_count(#[case] incarnation: u64) {
    let good = Signal::Whole { status: 200 };
    let mut other = trial();
    for id in 0..100 {
        run(&mut other, at(id * 4), id, good, 1);
    }
    let mut late = other.digest(at(500));
    late.heartbeat.incarnation = incarnation;
    let mut first = trial();
    for id in 0..600 {
        run(&mut first, at(id * 4), id, Signal::Whole { status: 500 }, 1);
    }
    let mut second = trial_at(2);
    second.receive(at(3_000), first.digest(at(3_000)));
    second.receive(at(3_050), late);
    let exposed = (0..200).filter(|id| run(&mut second, at(3_100 + id * 4), *id, good, 1));
    assert_eq!(exposed.count(), 0);
}

/// Found on "hasty" at Manguitos, seed 7010: first events of the new version took three times as long on one
/// route and half as long again on the others, and it passed. Delays are drawn as they were there.
#[rstest]
#[case::slow_on_one_route(&[(9, 3.0), (26, 1.4), (26, 1.4)], true)]
#[case::a_little_slow_everywhere(&[(20, 1.9), (26, 1.9), (26, 1.9)], true)]
#[case::as_before(&[(9, 1.0), (26, 1.0), (26, 1.0)], false)]
#[case::just_started(&[(9, 1.25), (26, 1.25), (26, 1.25)], false)]
fn slow_version_is_told_from_a_good_one(#[case] routes: &[(u32, f64)], #[case] is_bad: bool) {
    const TRIALS: u64 = 500;
    let mut noise = 1_u64;
    let mut draw = || {
        noise = noise.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
        (noise >> 11) as f64 / (1_u64 << 53) as f64
    };
    // The logarithm of a delay has a standard deviation of about a half.
    let mut delay = |factor: f64| {
        let sum: f64 = (0..4).map(|_| draw()).sum();
        Duration::from_secs_f64(0.1 * factor * ((sum - 2.0) * 0.87).exp())
    };
    let expected = Duration::from_millis(100);
    let mut called = 0;
    for _ in 0..TRIALS {
        let mut trials = rollouts::Rollouts::default();
        let event::Event::Rollouts(orders) = order(rollouts::Stage::Running) else {
            unreachable!()
        };
        trials.replace(orders);
        let mut taken_back = false;
        for (index, (count, factor)) in routes.iter().enumerate() {
            let route = name(&format!("r{index}"));
            let service = name("model");
            for _ in 0..count * 10 {
                trials.record_first_event(&service, &route, &name("v1"), delay(1.0), expected);
            }
            for _ in 0..*count {
                trials.record_first_event(&service, &route, &name("v2"), delay(*factor), expected);
                let verdicts = trials.status_updates(&settings::Settings::default(), EPOCH);
                taken_back |= verdicts
                    .iter()
                    .any(|v| v.stage == rollouts::Stage::RolledBack);
            }
        }
        called += u64::from(taken_back);
    }
    // Passed under 1 in 500, taken back by mistake under 1 in 50.
    let is_right = if is_bad {
        called >= TRIALS - 1
    } else {
        called < TRIALS / 50
    };
    assert!(is_right, "{called} of {TRIALS}");
}

#[test]
fn service_with_many_usual_failures_is_no_reason_to_roll_back() {
    let mut instance = trial();
    for id in 0..3_000 {
        let now = at(id * 3);
        let arrived = event::Event::Arrived(new_request(id, now, route::RetryPolicy::Stream, 1));
        instance.apply(now, arrived);
        instance.signal(now.after(Duration::from_millis(100)), id, Signal::First);
        let status = if id % 7 == 0 { 500 } else { 200 };
        instance.signal(
            now.after(Duration::from_millis(100)),
            id,
            Signal::Whole { status },
        );
    }
    let verdicts = instance
        .state
        .rollouts
        .status_updates(&settings::Settings::default(), EPOCH + 9_500_000);
    assert_eq!(verdicts[0].stage, rollouts::Stage::Completed);
}

/// At the end of a move the old engines stop at once; whoever has not heard of it goes on.
#[test]
fn new_version_serves_where_no_other_is_left() {
    let mut instance = trial();
    instance.apply(at(10), engines(versions(4, 4).split_off(4)));
    for id in 0..20 {
        assert!(run(
            &mut instance,
            at(20),
            id,
            Signal::Whole { status: 200 },
            1
        ));
    }
}

#[test]
fn version_that_was_taken_back_gets_nothing() {
    let mut instance = trial();
    instance.apply(at(1), order(rollouts::Stage::RolledBack));
    for id in 0..100 {
        assert!(!run(
            &mut instance,
            at(2),
            id,
            Signal::Whole { status: 200 },
            1
        ));
    }
    instance.apply(at(3), engines(versions(4, 4).split_off(4)));
    let arrived = event::Event::Arrived(new_request(999, at(3), route::RetryPolicy::Stream, 1));
    assert!(refused(&instance.apply(at(3), arrived)).is_some());
}
