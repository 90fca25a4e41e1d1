//! Engines that say that they leave, or that they want nothing for a while.

mod relay_support;

use std::collections;
use std::time::Duration;

use guavausher_core::relay::event::{Event, Notice, Signal};
use guavausher_core::relay::route::Repeat;
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

fn said(engine: &name::Name, incarnation: u64, notice: Notice) -> Event {
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

/// Returns the engines that so many requests at once are sent to, which are answered then.
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

/// Neither an older list, nor a list without the engine and then with it, brings it back.
#[rstest]
#[case::same_list(vec![list(3)])]
#[case::vanished_and_back(vec![list(3).split_off(1), list(3)])]
#[case::vanished_for_long(vec![Vec::new(), Vec::new(), list(3)])]
fn engine_that_left_stays_away(#[case] lists: Vec<Vec<engine::Engine>>) {
    let mut instance = Instance::serving(0, 3);
    let effects = instance.apply(at(0), said(&name("e0"), 1, Notice::Leaving));
    assert_eq!(sources(&effects), [effect::Source::Answer]);
    for (turn, list) in lists.into_iter().enumerate() {
        instance.apply(at(100 + turn as u64 * 5_000), engines(list));
    }
    assert!(!reached(&mut instance, at(20_000), 40).contains(&name("e0")));
}

#[test]
fn engine_that_started_anew_is_back() {
    let mut instance = Instance::serving(0, 1);
    instance.apply(at(0), said(&name("e0"), 1, Notice::Leaving));
    instance.apply(at(0), said(&name("e0"), 1, Notice::Hold(at(60_000))));
    assert_eq!(arrive(&mut instance, at(10), 1), None);
    let mut anew = list(1);
    anew[0].incarnation = 2;
    instance.apply(at(20), engines(anew));
    assert_eq!(arrive(&mut instance, at(30), 2), Some(name("e0")));
    // A late word of the incarnation before says nothing of this one.
    instance.apply(at(40), said(&name("e0"), 1, Notice::Leaving));
    instance.apply(at(40), said(&name("e0"), 1, Notice::Hold(at(60_000))));
    assert_eq!(arrive(&mut instance, at(50), 3), Some(name("e0")));
}

/// A repeat goes elsewhere though the engine that leaves is the only one left untried.
#[rstest]
#[case::leaving(Notice::Leaving)]
#[case::holding_off(Notice::Hold(at(60_000)))]
fn repeat_goes_to_no_engine_that_said_so(#[case] notice: Notice) {
    let mut instance = Instance::serving(0, 2);
    let first = arrive(&mut instance, at(0), 1).unwrap();
    let other = if first == name("e0") {
        name("e1")
    } else {
        name("e0")
    };
    instance.apply(at(5), said(&other, 1, notice));
    let effects = instance.signal(at(10), 1, Signal::Broken { unanswered: true });
    assert_eq!(sent(&effects), None);
    assert_eq!(
        refused(&effects).unwrap().verdict,
        verdict::Verdict::MayHaveRun
    );
}

/// What one instance heard, all know, and a digest or a summary of before does not undo it.
#[rstest]
#[case::nine(9, 3)]
#[case::large(295, 5)]
fn leaving_is_known_everywhere(#[case] size: usize, #[case] domains: usize) {
    let net = Network {
        lost: 100,
        duplicated: 50,
    };
    let mut fleet = Fleet::new(size, domains, net);
    fleet.run_for(Duration::from_secs(6));
    let now = fleet.now();
    fleet
        .instance(4)
        .apply(now, said(&name("e0"), 1, Notice::Leaving));
    fleet.play_for(Duration::from_secs(3));
    let now = fleet.now();
    let open = |state: &guavausher_core::relay::state::State| {
        state.fleet.available(now).any(|e| e.name == name("e0"))
    };
    assert_eq!(fleet.states().filter(|state| open(state)).count(), 0);
}

#[test]
fn digest_of_before_brings_nothing_back() {
    let mut instance = Instance::serving(0, 2);
    let mut mate = Instance::serving(1, 2);
    let before = mate.digest(at(0));
    mate.apply(at(1), said(&name("e0"), 1, Notice::Leaving));
    instance.hear(at(2), mate.digest(at(2)));
    instance.hear(at(3), before);
    assert!(!reached(&mut instance, at(4), 20).contains(&name("e0")));
}

/// Sixteen requests are on their way when the first is turned away: none follows them.
#[test]
fn hold_stops_all_that_come_after() {
    let mut instance = Instance::serving(0, 1);
    for id in 0..16 {
        assert!(arrive(&mut instance, at(0), id).is_some());
    }
    instance.apply(at(20), said(&name("e0"), 1, Notice::Hold(at(5_020))));
    for id in 0..16 {
        instance.signal(at(20 + id), id, NOT_RUN);
        // A later, shorter word does not shorten the first.
        instance.apply(at(20 + id), said(&name("e0"), 1, Notice::Hold(at(1_000))));
    }
    for now in [40, 500, 1_500, 5_019] {
        assert!(reached(&mut instance, at(now), 8).is_empty(), "{now}");
    }
    assert!(!reached(&mut instance, at(5_021), 1).is_empty());
}

/// A time beyond all reason is cut to ten minutes.
#[test]
fn hold_of_a_year_ends() {
    let mut instance = Instance::serving(0, 1);
    let year = START.after(Duration::from_secs(365 * 24 * 3_600));
    instance.apply(START, said(&name("e0"), 1, Notice::Hold(year)));
    assert!(reached(&mut instance, at(599_000), 1).is_empty());
    assert!(!reached(&mut instance, at(601_000), 1).is_empty());
}

/// Where all hold off, callers are told when the first wants work again, each a little later.
#[test]
fn request_is_refused_until_the_first_hold_ends() {
    let mut instance = Instance::serving(0, 3);
    for (index, end) in [3_000, 2_000, 4_000].into_iter().enumerate() {
        let engine = name(&format!("e{index}"));
        instance.apply(at(0), said(&engine, 1, Notice::Hold(at(end))));
    }
    let mut returns = collections::BTreeSet::new();
    for id in 0..50 {
        let arrived = Event::Arrived(new_request(id, at(10), RetryPolicy::Stream, 2));
        let refusal = refused(&instance.apply(at(10), arrived)).unwrap();
        assert_eq!(refusal.code, refusal::Code::Overloaded);
        assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
        let back = refusal.retry_at.unwrap();
        assert!(back >= at(2_000) && back <= at(3_000), "{back:?}");
        returns.insert(back);
    }
    assert!(returns.len() > 30, "{}", returns.len());
    assert!(!reached(&mut instance, at(2_001), 1).is_empty());
}

/// The caller's time bounds when it is to come back.
#[test]
fn request_is_not_told_to_come_back_after_its_time() {
    let mut instance = Instance::serving(0, 1);
    instance.apply(at(0), said(&name("e0"), 1, Notice::Hold(at(60_000))));
    let asked = ask(1, at(0), Repeat::Stream, 2);
    let deadline = asked.deadline;
    let refusal = refused(&instance.apply(at(0), Event::Arrived(asked))).unwrap();
    assert!(refusal.retry_at.unwrap() <= deadline);
}

/// A hold beside a repeat budget that is spent neither spends nor fills it.
#[test]
fn hold_beside_a_spent_budget_refuses_as_not_run() {
    let mut instance = Instance::serving(0, 2);
    instance.state.settings.retry_ratio = 0.0;
    instance.state.settings.retry_slack = 0.0;
    let first = arrive(&mut instance, at(0), 1).unwrap();
    instance.apply(at(5), said(&first, 1, Notice::Hold(at(5_000))));
    let effects = instance.signal(at(5), 1, NOT_RUN);
    assert_eq!(sent(&effects), None);
    assert_eq!(refused(&effects).unwrap().verdict, verdict::Verdict::NotRun);
    // The other engine takes what comes after.
    let reached = reached(&mut instance, at(100), 8);
    assert!(!reached.is_empty() && !reached.contains(&first));
}

/// An engine that holds off and answers again is as good as the others.
#[test]
fn hold_is_no_failure() {
    let mut instance = Instance::serving(0, 2);
    for round in 0..20 {
        let now = at(round * 100);
        instance.apply(
            now,
            said(
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
    Ask,
    Leave(usize),
    Hold(usize, u64),
    Anew(usize),
    Vanish(usize),
    Return(usize),
    OlderList,
    Break(u64),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let engine = 0_usize..3;
    prop_oneof![
        6 => Just(Step::Ask),
        1 => engine.clone().prop_map(Step::Leave),
        2 => (engine.clone(), 1_u64..4_000).prop_map(|(e, ms)| Step::Hold(e, ms)),
        1 => engine.clone().prop_map(Step::Anew),
        1 => engine.clone().prop_map(Step::Vanish),
        1 => engine.prop_map(Step::Return),
        1 => Just(Step::OlderList),
        2 => (0_u64..60).prop_map(Step::Break),
        4 => (1_u64..800).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 120, failure_persistence: None, rng_seed: RngSeed::Fixed(24), ..ProptestConfig::default() })]

    /// In whatever order words, lists and new incarnations come: no request goes to an incarnation
    /// that has said that it leaves, nor to one whose hold is not over.
    #[test]
    fn words_are_kept_in_any_order(steps in prop::collection::vec(step(), 1..120)) {
        let mut instance = Instance::serving(0, 3);
        let mut listed = list(3);
        let mut before = list(3);
        let mut there = [true; 3];
        let mut left = collections::BTreeSet::new();
        let mut holds = collections::BTreeMap::new();
        let (mut now, mut id) = (0, 0);
        for step in steps {
            let mut effects = Vec::new();
            match step {
                Step::Ask => {
                    id += 1;
                    let arrived = Event::Arrived(new_request(id, at(now), RetryPolicy::ResumableStream, 3));
                    effects = instance.apply(at(now), arrived);
                }
                Step::Leave(index) => {
                    let incarnation = listed[index].incarnation;
                    left.insert((index, incarnation));
                    instance.apply(at(now), said(&listed[index].name, incarnation, Notice::Leaving));
                }
                Step::Hold(index, span) => {
                    let incarnation = listed[index].incarnation;
                    let end = holds.entry((index, incarnation)).or_insert(0);
                    *end = (now + span).max(*end);
                    let notice = Notice::Hold(at(now + span));
                    instance.apply(at(now), said(&listed[index].name, incarnation, notice));
                }
                Step::Break(request) => {
                    effects = instance.signal(at(now), request, Signal::Broken { unanswered: true });
                }
                Step::Wait(span) => now += span,
                Step::OlderList => {
                    instance.apply(at(now), engines(before.clone()));
                }
                Step::Anew(index) => {
                    before = listed.clone();
                    listed[index].incarnation += 1;
                }
                Step::Vanish(index) => there[index] = false,
                Step::Return(index) => there[index] = true,
            }
            if matches!(step, Step::Anew(_) | Step::Vanish(_) | Step::Return(_)) {
                let shown = listed.iter().zip(there).filter(|(_, there)| *there);
                let shown = shown.map(|(engine, _)| engine.clone()).collect();
                instance.apply(at(now), engines(shown));
            }
            for effect in &effects {
                let effect::Effect::Send { dispatch, .. } = effect else { continue };
                let index: usize = dispatch.choice.engine[1..].parse().unwrap();
                let key = (index, dispatch.choice.incarnation);
                prop_assert!(!left.contains(&key), "{key:?} has left");
                prop_assert!(holds.get(&key).is_none_or(|end| *end <= now), "{key:?} holds off");
            }
        }
    }
}
