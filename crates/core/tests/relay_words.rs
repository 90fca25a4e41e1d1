//! Notices of engines that they are leaving, or on hold for a while.

mod relay_support;

use std::collections;
use std::time::Duration;

use guavausher_core::relay::event::{Event, Notice, Signal};
use guavausher_core::relay::route::RetryPolicy;
use guavausher_core::relay::{effect, engine};
use guavausher_core::{name, refusal, time, verdict};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use relay_support::fleet::{Fleet, Network};
use relay_support::{Instance, START, at, engine, engines, name, new_request, refused, sent};
use rstest::rstest;

const NOT_RUN: Signal = Signal::NotRun {
    status: 503,
    wait: Some(Duration::from_secs(5)),
};

fn engine_notice(engine: &name::Name, incarnation: u64, notice: Notice) -> Event {
    Event::EngineNotice {
        engine: engine.clone(),
        incarnation,
        notice,
    }
}

fn arrive(instance: &mut Instance, now: time::Time, id: u64) -> Option<name::Name> {
    let arrived = Event::Arrived(new_request(id, now, RetryPolicy::ResumableStream, 3));
    sent(&instance.apply(now, arrived))
}

/// Sends this many requests at once, completes them, and returns the engines they were sent to.
fn reached(
    instance: &mut Instance,
    now: time::Time,
    count: u64,
) -> collections::BTreeSet<name::Name> {
    let first = 1_000 + now.as_micros();
    let ids = first..first + count;
    let all = ids.clone().filter_map(|id| arrive(instance, now, id));
    let all = all.collect();
    for id in ids {
        instance.signal(now, id, Signal::First);
        instance.signal(now, id, Signal::Whole { status: 200 });
    }
    all
}

fn list(count: usize) -> Vec<engine::Engine> {
    (0..count).map(engine).collect()
}

fn sources(effects: &[effect::Effect]) -> Vec<effect::Source> {
    let source = |effect: &effect::Effect| match effect {
        effect::Effect::EngineLeft { source, .. } => Some(*source),
        _ => None,
    };
    effects.iter().filter_map(source).collect()
}

/// Neither an older list, nor a list without the engine and then with it, makes it available again.
#[rstest]
#[case::same_list(vec![list(3)])]
#[case::missing_and_back(vec![list(3).split_off(1), list(3)])]
#[case::missing_for_long(vec![Vec::new(), Vec::new(), list(3)])]
fn leaving_survives_list_changes(#[case] lists: Vec<Vec<engine::Engine>>) {
    let mut instance = Instance::serving(0, 3);
    let effects = instance.apply(at(0), engine_notice(&name("e0"), 1, Notice::Leaving));
    assert_eq!(sources(&effects), [effect::Source::Answer]);
    for (index, list) in lists.into_iter().enumerate() {
        instance.apply(at(100 + index as u64 * 5_000), engines(list));
    }
    assert!(!reached(&mut instance, at(20_000), 40).contains(&name("e0")));
}

#[test]
fn leaving_ends_with_restart() {
    let mut instance = Instance::serving(0, 1);
    instance.apply(at(0), engine_notice(&name("e0"), 1, Notice::Leaving));
    instance.apply(
        at(0),
        engine_notice(&name("e0"), 1, Notice::Hold(at(60_000))),
    );
    assert_eq!(arrive(&mut instance, at(10), 1), None);
    let mut restarted = list(1);
    restarted[0].incarnation = 2;
    instance.apply(at(20), engines(restarted));
    assert_eq!(arrive(&mut instance, at(30), 2), Some(name("e0")));
    // A late notice of an earlier incarnation does not apply to this one.
    instance.apply(at(40), engine_notice(&name("e0"), 1, Notice::Leaving));
    instance.apply(
        at(40),
        engine_notice(&name("e0"), 1, Notice::Hold(at(60_000))),
    );
    assert_eq!(arrive(&mut instance, at(50), 3), Some(name("e0")));
}

/// A retry is not sent to an engine that is leaving or on hold, also if it is the only one left
/// untried.
#[rstest]
#[case::leaving(Notice::Leaving)]
#[case::hold(Notice::Hold(at(60_000)))]
fn retry_not_sent_after_notice(#[case] notice: Notice) {
    let mut instance = Instance::serving(0, 2);
    let first = arrive(&mut instance, at(0), 1).unwrap();
    let other = if first == name("e0") {
        name("e1")
    } else {
        name("e0")
    };
    instance.apply(at(5), engine_notice(&other, 1, notice));
    let effects = instance.signal(at(10), 1, Signal::Broken { unanswered: true });
    assert_eq!(sent(&effects), None);
    assert_eq!(
        refused(&effects).unwrap().verdict,
        verdict::Verdict::MayHaveRun
    );
}

/// All instances learn that an engine is leaving, and an older digest or summary does not undo it.
#[rstest]
#[case::nine(9, 3)]
#[case::large(295, 5)]
fn leaving_known_at_all_instances(#[case] size: usize, #[case] domains: usize) {
    let net = Network {
        lost: 100,
        duplicated: 50,
    };
    let mut fleet = Fleet::new(size, domains, net);
    fleet.run_for(Duration::from_secs(6));
    let now = fleet.now();
    fleet
        .instance(4)
        .apply(now, engine_notice(&name("e0"), 1, Notice::Leaving));
    fleet.run_for(Duration::from_secs(3));
    let now = fleet.now();
    let open = |state: &guavausher_core::relay::state::State| {
        state.fleet.available(now).any(|e| e.name == name("e0"))
    };
    assert_eq!(fleet.states().filter(|state| open(state)).count(), 0);
}

#[test]
fn leaving_survives_older_digest() {
    let mut instance = Instance::serving(0, 2);
    let mut peer = Instance::serving(1, 2);
    let before = peer.digest(at(0));
    peer.apply(at(1), engine_notice(&name("e0"), 1, Notice::Leaving));
    instance.receive(at(2), peer.digest(at(2)));
    instance.receive(at(3), before);
    assert!(!reached(&mut instance, at(4), 20).contains(&name("e0")));
}

/// Sixteen requests are in progress when the first is refused: none is sent after them.
#[test]
fn hold_stops_later_requests() {
    let mut instance = Instance::serving(0, 1);
    for id in 0..16 {
        assert!(arrive(&mut instance, at(0), id).is_some());
    }
    instance.apply(
        at(20),
        engine_notice(&name("e0"), 1, Notice::Hold(at(5_020))),
    );
    for id in 0..16 {
        instance.signal(at(20 + id), id, NOT_RUN);
        // A later notice with an earlier end does not shorten the first.
        instance.apply(
            at(20 + id),
            engine_notice(&name("e0"), 1, Notice::Hold(at(1_000))),
        );
    }
    for now in [40, 500, 1_500, 5_019] {
        assert!(reached(&mut instance, at(now), 8).is_empty(), "{now}");
    }
    assert!(!reached(&mut instance, at(5_021), 1).is_empty());
}

/// A hold is truncated to ten minutes.
#[test]
fn hold_bounded_to_ten_minutes() {
    let mut instance = Instance::serving(0, 1);
    let year = START.after(Duration::from_secs(365 * 24 * 3_600));
    instance.apply(START, engine_notice(&name("e0"), 1, Notice::Hold(year)));
    assert!(reached(&mut instance, at(599_000), 1).is_empty());
    assert!(!reached(&mut instance, at(601_000), 1).is_empty());
}

/// If all engines are on hold, callers are asked to retry when the first hold ends, each with some
/// jitter.
#[test]
fn hold_of_all_engines_refuses_until_first_ends() {
    let mut instance = Instance::serving(0, 3);
    for (index, end) in [3_000, 2_000, 4_000].into_iter().enumerate() {
        let engine = name(&format!("e{index}"));
        instance.apply(at(0), engine_notice(&engine, 1, Notice::Hold(at(end))));
    }
    let mut retry_times = collections::BTreeSet::new();
    for id in 0..50 {
        let arrived = Event::Arrived(new_request(id, at(10), RetryPolicy::Stream, 2));
        let refusal = refused(&instance.apply(at(10), arrived)).unwrap();
        assert_eq!(refusal.code, refusal::Code::Overloaded);
        assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
        let retry_at = refusal.retry_at.unwrap();
        assert!(
            retry_at >= at(2_000) && retry_at <= at(3_000),
            "{retry_at:?}"
        );
        retry_times.insert(retry_at);
    }
    assert!(retry_times.len() > 30, "{}", retry_times.len());
    assert!(!reached(&mut instance, at(2_001), 1).is_empty());
}

/// The retry time is not later than the caller's deadline.
#[test]
fn hold_retry_time_within_deadline() {
    let mut instance = Instance::serving(0, 1);
    instance.apply(
        at(0),
        engine_notice(&name("e0"), 1, Notice::Hold(at(60_000))),
    );
    let request = new_request(1, at(0), RetryPolicy::Stream, 2);
    let deadline = request.deadline;
    let refusal = refused(&instance.apply(at(0), Event::Arrived(request))).unwrap();
    assert!(refusal.retry_at.unwrap() <= deadline);
}

/// A hold neither spends nor refills a spent retry budget.
#[test]
fn hold_with_spent_retry_budget_refuses_as_not_run() {
    let mut instance = Instance::serving(0, 2);
    instance.state.settings.retry_ratio = 0.0;
    instance.state.settings.retry_slack = 0.0;
    let first = arrive(&mut instance, at(0), 1).unwrap();
    instance.apply(at(5), engine_notice(&first, 1, Notice::Hold(at(5_000))));
    let effects = instance.signal(at(5), 1, NOT_RUN);
    assert_eq!(sent(&effects), None);
    assert_eq!(refused(&effects).unwrap().verdict, verdict::Verdict::NotRun);
    // Later requests are sent to the other engine.
    let reached = reached(&mut instance, at(100), 8);
    assert!(!reached.is_empty() && !reached.contains(&first));
}

/// An engine that responds again after a hold is selected like the others.
#[test]
fn hold_not_counted_as_failure() {
    let mut instance = Instance::serving(0, 2);
    for round in 0..20 {
        let now = at(round * 100);
        instance.apply(
            now,
            engine_notice(
                &name("e0"),
                1,
                Notice::Hold(now.after(Duration::from_millis(50))),
            ),
        );
        let all = reached(&mut instance, now.after(Duration::from_millis(60)), 6);
        assert_eq!(all.len(), 2, "round {round}");
    }
}

#[derive(Clone, Debug)]
enum Step {
    Request,
    Leave(usize),
    Hold(usize, u64),
    Restart(usize),
    Disappear(usize),
    Return(usize),
    OlderList,
    Break(u64),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let engine = 0_usize..3;
    prop_oneof![
        6 => Just(Step::Request),
        1 => engine.clone().prop_map(Step::Leave),
        2 => (engine.clone(), 1_u64..4_000).prop_map(|(e, ms)| Step::Hold(e, ms)),
        1 => engine.clone().prop_map(Step::Restart),
        1 => engine.clone().prop_map(Step::Disappear),
        1 => engine.prop_map(Step::Return),
        1 => Just(Step::OlderList),
        2 => (0_u64..60).prop_map(Step::Break),
        4 => (1_u64..800).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 120, failure_persistence: None, rng_seed: RngSeed::Fixed(24), ..ProptestConfig::default() })]

    /// Whatever the order of notices, lists and new incarnations: no request is sent to an
    /// incarnation that is leaving, nor to one that is on hold.
    #[test]
    fn notices_kept_in_any_order(steps in prop::collection::vec(step(), 1..120)) {
        let mut instance = Instance::serving(0, 3);
        let mut listed = list(3);
        let mut before = list(3);
        let mut is_listed = [true; 3];
        let mut left = collections::BTreeSet::new();
        let mut holds = collections::BTreeMap::new();
        let (mut now, mut id) = (0, 0);
        for step in steps {
            let mut effects = Vec::new();
            match step {
                Step::Request => {
                    id += 1;
                    let arrived = Event::Arrived(new_request(id, at(now), RetryPolicy::ResumableStream, 3));
                    effects = instance.apply(at(now), arrived);
                }
                Step::Leave(index) => {
                    let incarnation = listed[index].incarnation;
                    left.insert((index, incarnation));
                    let engine = &listed[index].name;
                    let notice = engine_notice(engine, incarnation, Notice::Leaving);
                    instance.apply(at(now), notice);
                }
                Step::Hold(index, span) => {
                    let incarnation = listed[index].incarnation;
                    let end = holds.entry((index, incarnation)).or_insert(0);
                    *end = (now + span).max(*end);
                    let notice = Notice::Hold(at(now + span));
                    instance.apply(at(now), engine_notice(&listed[index].name, incarnation, notice));
                }
                Step::Break(request) => {
                    effects = instance.signal(at(now), request, Signal::Broken { unanswered: true });
                }
                Step::Wait(span) => now += span,
                Step::OlderList => {
                    instance.apply(at(now), engines(before.clone()));
                }
                Step::Restart(index) => {
                    before = listed.clone();
                    listed[index].incarnation += 1;
                }
                Step::Disappear(index) => is_listed[index] = false,
                Step::Return(index) => is_listed[index] = true,
            }
            if matches!(step, Step::Restart(_) | Step::Disappear(_) | Step::Return(_)) {
                let shown = listed.iter().zip(is_listed);
                let shown = shown.filter(|(_, is_listed)| *is_listed);
                let shown = shown.map(|(engine, _)| engine.clone()).collect();
                instance.apply(at(now), engines(shown));
            }
            for effect in &effects {
                let effect::Effect::Send { dispatch, .. } = effect else { continue };
                let index: usize = dispatch.choice.engine[1..].parse().unwrap();
                let key = (index, dispatch.choice.incarnation);
                prop_assert!(!left.contains(&key), "{key:?} has left");
                let is_over = holds.get(&key).is_none_or(|end| *end <= now);
                prop_assert!(is_over, "{key:?} is on hold");
            }
        }
    }
}
