//! Which ends of engines count against a request, and for how long.

mod relay_support;

use std::time::Duration;

use guavausher_core::relay::event::Signal;
use guavausher_core::relay::route::Repeat;
use guavausher_core::relay::{digest, effect, engine, event, request, suspects};
use guavausher_core::{name, refusal, time, verdict};
use relay_support::{Instance, START, at, engine, engines, name, new_request, refused, sent};
use rstest::rstest;

const KILLER: u64 = 77;
const BROKEN: Signal = Signal::Broken { unanswered: false };

fn killer(id: u64, now: time::Time, repeat: Repeat) -> request::Request {
    request::Request {
        fingerprint: KILLER,
        ..new_request(id, now, repeat, 3)
    }
}

/// Lets three engines end under a request, as far as one table knows.
fn blocked(now: time::Time) -> suspects::Suspects {
    let mut table = suspects::Suspects::default();
    for index in 0..3 {
        table.record_crash(now, KILLER, &name(&format!("e{index}")), 1);
    }
    table
}

/// Returns a list of which these engines have started anew.
fn list(anew: &[usize]) -> Vec<engine::Engine> {
    let mut list: Vec<_> = (0..6).map(engine).collect();
    for index in anew {
        list[*index].incarnation += 1;
    }
    list
}

fn ends(effects: &[effect::Effect]) -> usize {
    let ended = |effect: &&effect::Effect| matches!(effect, effect::Effect::EngineCrashed { .. });
    effects.iter().filter(ended).count()
}

/// Sends a request, lets its attempt end so, and returns the index of its engine.
fn send(instance: &mut Instance, now: time::Time, id: u64, signal: Signal) -> usize {
    let engine = instance.send(now, killer(id, now, RetryPolicy::Stream));
    instance.signal(now, id, signal);
    engine[1..].parse().unwrap()
}

/// Sends requests until one goes to this engine, which answers it.
fn answer(instance: &mut Instance, now: time::Time, engine: &name::Name) {
    for id in 100..200 {
        let chosen = instance.send(now, new_request(id, now, RetryPolicy::Stream, 1));
        if chosen == *engine {
            instance.signal(now, id, Signal::First);
            instance.signal(now, id, Signal::Whole { status: 200 });
            return;
        }
    }
    panic!("nothing was sent to {engine}");
}

#[rstest]
#[case::broken(BROKEN)]
#[case::broken_unanswered(Signal::Broken { unanswered: true })]
#[case::stalled(Signal::Stalled)]
#[case::expired(Signal::Expired)]
#[case::abandoned(Signal::Abandoned)]
fn engine_that_started_anew_counts(#[case] signal: Signal) {
    let mut instance = Instance::serving(0, 6);
    let index = send(&mut instance, at(0), 1, signal);
    let effects = instance.apply(at(500), engines(list(&[index])));
    assert_eq!(ends(&effects), 1);
}

#[rstest]
#[case::whole(Signal::Whole { status: 200 })]
#[case::not_run(Signal::NotRun { status: 503, wait: None })]
#[case::unsent(Signal::Unsent)]
fn end_after_that_counts_against_nobody(#[case] signal: Signal) {
    let mut instance = Instance::serving(0, 6);
    let index = send(&mut instance, at(0), 1, signal);
    let effects = instance.apply(at(500), engines(list(&[index])));
    assert_eq!(ends(&effects), 0);
}

/// An engine that said that it leaves takes with it what still runs there.
#[test]
fn end_of_a_leaving_engine_counts_against_nobody() {
    let mut instance = Instance::serving(0, 6);
    let engine = instance.send(at(0), killer(1, at(0), RetryPolicy::Stream));
    let index: usize = engine[1..].parse().unwrap();
    let mut leaving = list(&[]);
    leaving[index].leaving = true;
    instance.apply(at(100), engines(leaving));
    let broken = instance.signal(at(2_000), 1, BROKEN);
    let gone = instance.apply(at(2_100), engines(list(&[index])));
    let later = instance.apply(at(5_000), event::Event::Tick);
    assert_eq!(ends(&broken) + ends(&gone) + ends(&later), 0);
}

/// A broken channel is an end only if nothing is heard from the engine since, while others answer.
#[rstest]
#[case::silent_while_others_answer(true, false, 1)]
#[case::answered_since(true, true, 0)]
#[case::all_silent(false, false, 0)]
fn engine_behind_a_broken_channel_is_judged(
    #[case] others: bool,
    #[case] same: bool,
    #[case] ended: usize,
) {
    let mut instance = Instance::serving(0, 2);
    let engine = instance.send(at(0), killer(1, at(0), RetryPolicy::Stream));
    instance.signal(at(10), 1, BROKEN);
    let all = [name("e0"), name("e1")];
    for answering in all
        .iter()
        .filter(|e| if **e == engine { same } else { others })
    {
        answer(&mut instance, at(50), answering);
    }
    let early = instance.apply(at(900), event::Event::Tick);
    let late = instance.apply(at(1_100), event::Event::Tick);
    assert_eq!((ends(&early), ends(&late)), (0, ended));
}

/// A repeat is not sent any more once the third end is known, and the request is told to have run.
#[test]
fn repeat_is_not_sent_after_the_third_end() {
    let mut instance = Instance::serving(0, 6);
    instance.send(at(0), killer(1, at(0), RetryPolicy::ResumableStream));
    instance.state.suspects = blocked(at(0));
    let effects = instance.signal(at(10), 1, BROKEN);
    assert_eq!(sent(&effects), None);
    let refusal = refused(&effects).unwrap();
    assert_eq!(refusal.verdict, verdict::Verdict::MayHaveRun);
    let effects = instance.apply(
        at(20),
        event::Event::Arrived(killer(2, at(20), RetryPolicy::Stream)),
    );
    let refusal = refused(&effects).unwrap();
    assert_eq!(refusal.code, refusal::Code::Suspect);
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
}

#[test]
fn told_again_or_by_several_counts_once() {
    let mut table = suspects::Suspects::default();
    let mut other = suspects::Suspects::default();
    for _ in 0..5 {
        table.record_crash(START, KILLER, &name("e0"), 1);
        table.record_crash(START, KILLER, &name("e1"), 1);
        other.merge(START, &table.report(START));
        table.merge(START, &other.report(START));
    }
    assert!(!table.is_blocked(START, KILLER) && !other.is_blocked(START, KILLER));
    other.record_crash(START, KILLER, &name("e1"), 2);
    table.merge(START, &other.report(START));
    assert!(table.is_blocked(START, KILLER));
}

#[test]
fn answer_excuses_everywhere_and_for_good() {
    let mut table = blocked(START);
    let before = table.report(START);
    let mut other = suspects::Suspects::default();
    other.merge(START, &before);
    assert!(other.is_blocked(START, KILLER));
    table.record_success(KILLER);
    other.merge(START, &table.report(START));
    other.merge(START, &before);
    table.merge(START, &before);
    assert!(!table.is_blocked(START, KILLER) && !other.is_blocked(START, KILLER));
}

#[test]
fn answer_before_the_news_excuses() {
    let mut table = suspects::Suspects::default();
    table.record_success(KILLER);
    table.merge(START, &blocked(START).report(START));
    assert!(!table.is_blocked(START, KILLER));
}

/// Instances that tell each other in turns forget all the same.
#[test]
fn ends_are_forgotten_though_they_are_told_in_turns() {
    let mut now = START;
    let mut all = [blocked(now), suspects::Suspects::default()];
    while now < START.after(Duration::from_secs(700)) {
        let told: Vec<_> = all.iter().map(|table| table.report(now)).collect();
        now = now.after(Duration::from_millis(300));
        all[0].merge(now, &told[1]);
        all[1].merge(now, &told[0]);
        let age = START.until(now);
        let blocked = all.iter().filter(|table| table.is_blocked(now, KILLER));
        let blocked = blocked.count();
        assert!(age >= Duration::from_secs(598) || blocked == 2, "{age:?}");
    }
    assert!(all.iter().all(|table| !table.is_blocked(now, KILLER)));
}

/// Ends under many other requests neither push a request out nor keep it from being told.
#[test]
fn request_with_most_ends_is_kept_and_told_beside_many() {
    let mut table = blocked(START);
    for other in 0..1_000 {
        table.record_crash(at(other), 1_000 + other, &name("e9"), 1);
    }
    let now = at(1_000);
    let told = table.report(now);
    assert!(told.iter().any(|suspect| suspect.fingerprint == KILLER));
    assert!(table.is_blocked(now, KILLER));
}

/// The first end of each of many requests is told in time, so that it is known beside the second.
#[test]
fn single_ends_are_told_by_turns() {
    let mut table = suspects::Suspects::default();
    for other in 0..200 {
        table.record_crash(START, other, &name("e9"), 1);
    }
    let rounds = (0..100).map(|round| at(round * 150));
    let told = rounds.flat_map(|now| table.report(now));
    let known: std::collections::BTreeSet<_> = told.map(|suspect| suspect.fingerprint).collect();
    assert_eq!(known.len(), 200);
}

/// What another instance tells is bounded.
#[test]
fn news_without_bounds_is_cut() {
    let mut table = suspects::Suspects::default();
    let huge = digest::Suspect {
        fingerprint: KILLER,
        crashes: (0..10_000).collect(),
        cleared: (0..10_000).collect(),
        remaining_ms: u64::MAX,
    };
    table.merge(START, &vec![huge; 10_000]);
    let told = table.report(START);
    assert_eq!(told.len(), 1);
    assert!(told[0].cleared.len() <= 8 && told[0].crashes.len() <= 8);
    assert!(told[0].remaining_ms <= 600_000);
}
