//! The reducer of opaque forwarding.

mod relay_support;

use std::time::Duration;

use guavausher_core::refusal;
use guavausher_core::relay::event::{self, Signal};
use guavausher_core::relay::route::RetryPolicy;
use guavausher_core::relay::{self, effect};
use guavausher_core::time;
use guavausher_core::verdict;
use relay_support::{
    Instance, START, at, engine, engines, manifest, name, new_request, refused, sent,
};
use rstest::rstest;

const NOT_RUN: Signal = Signal::NotRun {
    status: 503,
    wait: None,
};
const MOVED: Signal = Signal::NotRun {
    status: 421,
    wait: None,
};
const UNANSWERED: Signal = Signal::Broken { unanswered: true };
const CUT: Signal = Signal::Broken { unanswered: false };
const FAILING: Signal = Signal::Failing { status: 500 };

/// What follows an end of a first attempt, with another engine there and attempts left.
#[rstest]
#[case::pay_not_run(RetryPolicy::AtMostOnce, NOT_RUN, true)]
#[case::pay_moved(RetryPolicy::AtMostOnce, MOVED, true)]
#[case::pay_unsent(RetryPolicy::AtMostOnce, Signal::Unsent, true)]
#[case::pay_broken(RetryPolicy::AtMostOnce, UNANSWERED, false)]
#[case::pay_stalled(RetryPolicy::AtMostOnce, Signal::Stalled, false)]
#[case::look_broken(RetryPolicy::Idempotent, UNANSWERED, true)]
#[case::look_stalled(RetryPolicy::Idempotent, Signal::Stalled, true)]
#[case::look_failing(RetryPolicy::Idempotent, FAILING, true)]
#[case::stream_broken(RetryPolicy::Stream, CUT, false)]
#[case::stream_not_run(RetryPolicy::Stream, NOT_RUN, true)]
#[case::resumable_broken(RetryPolicy::ResumableStream, CUT, true)]
#[case::resumable_expired(RetryPolicy::ResumableStream, Signal::Expired, false)]
fn attempt_is_repeated_only_where_it_may(
    #[case] repeat: RetryPolicy,
    #[case] signal: Signal,
    #[case] repeats: bool,
) {
    let mut instance = Instance::serving(1, 2);
    let first = instance.send(START, new_request(1, START, repeat, 2));
    let effects = instance.signal(at(10), 1, signal);
    let second = sent(&effects);
    assert_eq!(second.is_some(), repeats, "{effects:?}");
    if let Some(second) = second {
        assert_ne!(first, second);
        return;
    }
    let refusal = refused(&effects).expect("a final answer");
    assert_eq!(refusal.verdict, verdict::Verdict::MayHaveRun);
    assert!(matches!(refusal.code.status(), 502 | 504));
    assert_eq!(refusal.retry_at, None);
}

/// A refusal says "not run" only as long as no engine may have run the request.
#[test]
fn refusal_after_a_break_and_a_refusal_is_not_not_run() {
    let mut instance = Instance::serving(1, 2);
    instance.send(START, new_request(1, START, RetryPolicy::Idempotent, 2));
    assert!(sent(&instance.signal(at(10), 1, UNANSWERED)).is_some());
    let effects = instance.signal(at(20), 1, NOT_RUN);
    let refusal = refused(&effects).unwrap();
    assert_eq!(refusal.verdict, verdict::Verdict::MayHaveRun);
}

#[test]
fn attempts_are_never_more_than_the_route_allows() {
    let mut instance = Instance::serving(1, 6);
    instance.send(START, new_request(1, START, RetryPolicy::Idempotent, 2));
    assert!(sent(&instance.signal(at(1), 1, NOT_RUN)).is_some());
    let refusal = refused(&instance.signal(at(2), 1, NOT_RUN)).unwrap();
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    assert!(refusal.retry_at.is_some());
}

#[test]
fn engine_without_channel_is_no_attempt_but_not_tried_for_ever() {
    let mut instance = Instance::serving(1, 9);
    instance.send(START, new_request(1, START, RetryPolicy::AtMostOnce, 1));
    let mut sends = 1;
    while sent(&instance.signal(at(sends), 1, Signal::Unsent)).is_some() {
        sends += 1;
    }
    assert!((2..9).contains(&sends), "{sends}");
}

#[test]
fn whole_answer_of_a_stream_is_not_repeated_once_begun() {
    let mut instance = Instance::serving(1, 2);
    instance.send(START, new_request(1, START, RetryPolicy::Idempotent, 2));
    instance.signal(at(5), 1, Signal::First);
    let effects = instance.signal(at(10), 1, CUT);
    assert!(
        sent(&effects).is_none(),
        "its head was passed on: {effects:?}"
    );
}

#[test]
fn retry_budget_bounds_repeats() {
    let mut instance = Instance::serving(1, 2);
    let mut repeats = 0;
    for id in 0..1_000 {
        let now = at(id * 2);
        instance.send(now, new_request(id, now, RetryPolicy::Idempotent, 2));
        if sent(&instance.signal(now, id, NOT_RUN)).is_some() {
            repeats += 1;
            instance.signal(now, id, Signal::Whole { status: 200 });
        }
    }
    // Two seconds of the ten that the budget covers: 0.2 of 1,000 and a slack of 50.
    assert!(repeats <= 250, "{repeats}");
    assert!(repeats >= 100, "{repeats}");
}

#[test]
fn manifest_never_goes_back() {
    let mut instance = Instance::serving(1, 1);
    assert_eq!(instance.apply(START, manifest(5, 0.0, None)).len(), 1);
    assert!(instance.apply(START, manifest(4, 0.0, None)).is_empty());
    assert_eq!(instance.state.manifest.as_ref().unwrap().version(), 5);
}

#[test]
fn engine_that_is_leaving_gets_nothing_new() {
    let mut instance = Instance::serving(1, 2);
    let mut leaving = engine(0);
    leaving.leaving = true;
    instance.apply(at(1), engines(vec![leaving, engine(1)]));
    for id in 0..20 {
        assert_eq!(
            instance.send(at(2), new_request(id, at(2), RetryPolicy::Stream, 1)),
            name("e1")
        );
        instance.signal(at(2), id, Signal::Abandoned);
    }
    // An older word of it does not bring it back.
    instance.apply(at(3), engines(vec![engine(0), engine(1)]));
    assert_eq!(
        instance.send(at(4), new_request(99, at(4), RetryPolicy::Stream, 1)),
        name("e1")
    );
}

/// The engine of the tests takes 100 channels from all instances.
#[test]
fn engine_gets_no_more_requests_than_it_takes_channels() {
    let mut other = Instance::serving(2, 1);
    let mut instance = Instance::serving(1, 1);
    for id in 0..60 {
        other.send(START, small(id));
    }
    instance.receive(START, other.digest(START));
    for id in 0..40 {
        instance.send(START, small(id));
    }
    let late = event::Event::Arrived(small(40));
    let refusal = refused(&instance.apply(START, late)).unwrap();
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
}

fn small(id: u64) -> relay::request::Request {
    let mut small = ask(id, START, Repeat::Stream, 1);
    small.prompt = 0;
    small
}

#[test]
fn idle_channels_of_all_instances_leave_room_for_others() {
    let mut instance = Instance::serving(0, 1);
    for index in 1..10 {
        instance.receive(START, Instance::serving(index, 1).digest(START));
    }
    let arrived = event::Event::Arrived(new_request(1, START, RetryPolicy::Stream, 1));
    let effects = instance.apply(START, arrived);
    let effect::Effect::Send { dispatch, .. } = &effects[0] else {
        panic!("{effects:?}");
    };
    assert_eq!(dispatch.max_idle, 5, "half of 100 over ten instances");
}

/// Found by a test of the log lines: an engine's answer was replaced by one of ours where no other
/// engine could be asked.
#[test]
fn failure_of_the_only_engine_is_passed_on() {
    let mut instance = Instance::serving(1, 1);
    instance.send(START, new_request(1, START, RetryPolicy::Idempotent, 2));
    let effects = instance.signal(at(5), 1, FAILING);
    let is_relay = |e: &effect::Effect| matches!(e, effect::Effect::ForwardFailure { request: 1 });
    assert!(effects.iter().any(is_relay), "{effects:?}");
    instance.signal(at(6), 1, Signal::Whole { status: 500 });
    assert!(instance.state.flights.is_empty());
}

#[test]
fn failure_is_passed_on_when_the_next_engine_breaks_off() {
    let mut instance = Instance::serving(1, 2);
    instance.send(START, new_request(1, START, RetryPolicy::Idempotent, 2));
    assert!(sent(&instance.signal(at(5), 1, FAILING)).is_some());
    let effects = instance.signal(at(9), 1, CUT);
    let is_relay = |e: &effect::Effect| matches!(e, effect::Effect::ForwardFailure { request: 1 });
    assert!(effects.iter().any(is_relay), "{effects:?}");
}

#[test]
fn engine_that_starts_anew_is_new() {
    let mut instance = Instance::serving(1, 1);
    let mut leaving = engine(0);
    leaving.leaving = true;
    instance.apply(at(1), engines(vec![leaving]));
    let effects = instance.apply(
        at(2),
        event::Event::Arrived(new_request(1, at(2), RetryPolicy::Stream, 1)),
    );
    assert_eq!(refused(&effects).unwrap().code, refusal::Code::NoUpstream);
    let mut reborn = engine(0);
    reborn.incarnation = 2;
    instance.apply(at(3), engines(vec![reborn]));
    assert_eq!(
        instance.send(at(4), new_request(2, at(4), RetryPolicy::Stream, 1)),
        name("e0")
    );
}

/// An entry that does not tell the engine's start speaks of the one that is known.
#[test]
fn engine_that_leaves_without_telling_its_start_gets_nothing_new() {
    let mut instance = Instance::serving(1, 1);
    let mut leaving = engine(0);
    leaving.leaving = true;
    leaving.incarnation = 0;
    instance.apply(at(1), engines(vec![leaving]));
    let late = event::Event::Arrived(new_request(1, at(2), RetryPolicy::Stream, 1));
    assert!(refused(&instance.apply(at(2), late)).is_some());
}

/// Entries that vanish with the store are back within two seconds of its return, or gone; work
/// must have stopped two seconds after the loss was seen.
#[rstest]
#[case::seen_at_the_return(0, 1_600, 1_800)]
#[case::seen_later(1_500, 1_900, 2_050)]
fn engine_that_lapsed_stays_for_a_while(#[case] seen: u64, #[case] kept: u64, #[case] gone: u64) {
    let mut instance = returned();
    instance.apply(at(seen), engines(Vec::new()));
    instance.send(at(kept), new_request(1, at(kept), RetryPolicy::Stream, 1));
    instance.signal(at(kept), 1, Signal::Whole { status: 200 });
    let late = event::Event::Arrived(new_request(2, at(gone), RetryPolicy::Stream, 1));
    assert!(refused(&instance.apply(at(gone), late)).is_some());
}

#[test]
fn engine_that_vanishes_long_after_the_return_is_gone_at_once() {
    let mut instance = returned();
    instance.apply(at(2_000), engines(Vec::new()));
    let late = event::Event::Arrived(new_request(1, at(2_000), RetryPolicy::Stream, 1));
    assert!(refused(&instance.apply(at(2_000), late)).is_some());
}

/// DRAIN on the own day leaving-while-the-store-is-silent: the instances that follow the store lost it
/// for a moment, which no entry lapses in, and an engine that had left was used for 1.7 s more.
#[test]
fn engine_that_vanishes_around_a_short_outage_is_gone_at_once() {
    let mut instance = Instance::serving(1, 1);
    instance.apply(START, event::Event::Watching(true));
    instance.apply(at(1_000), event::Event::Watching(false));
    instance.apply(at(1_300), event::Event::Watching(true));
    instance.apply(at(1_300), engines(Vec::new()));
    let late = event::Event::Arrived(new_request(1, at(1_301), RetryPolicy::Stream, 1));
    assert!(refused(&instance.apply(at(1_301), late)).is_some());
}

/// An outage in which entries lapse is not forgotten over a short one that follows.
#[test]
fn engine_that_lapsed_stays_also_after_a_second_short_outage() {
    let mut instance = returned();
    instance.apply(at(100), event::Event::Watching(false));
    instance.apply(at(200), engines(Vec::new()));
    instance.apply(at(300), event::Event::Watching(true));
    instance.send(at(1_600), ask(1, at(1_600), Repeat::Stream, 1));
}

/// An instance with one engine to which the store has just come back, after long enough for entries
/// to lapse.
fn returned() -> Instance {
    let mut instance = Instance::serving(1, 1);
    let before = |seconds: u64| time::Time::from_millis(1_000_000 - 1_000 * seconds);
    for (seconds, fed) in [(5_u64, true), (4, false), (0, true)] {
        instance.apply(before(seconds), event::Event::Watching(fed));
    }
    instance
}

/// An instance that could not reach the store for itself knows that nothing lapsed if another
/// one was told of changes all the while.
#[test]
fn engine_that_vanishes_while_another_instance_hears_the_store_is_gone_at_once() {
    let mut hearing = Instance::serving(0, 1);
    hearing.apply(START, event::Event::Watching(true));
    let mut cut = Instance::serving(1, 1);
    cut.apply(START, event::Event::Watching(true));
    cut.hear(START, hearing.digest(START));
    cut.apply(at(100), event::Event::Watching(false));
    cut.hear(at(1_000), hearing.digest(at(1_000)));
    cut.apply(at(1_000), event::Event::Watching(true));
    cut.apply(at(1_100), engines(Vec::new()));
    let late = event::Event::Arrived(new_request(1, at(1_101), RetryPolicy::Stream, 1));
    assert!(refused(&cut.apply(at(1_101), late)).is_some());
}

/// While no instance hears the store, a snapshot from another one drops no engine at once.
#[test]
fn engine_that_lapsed_stays_at_an_instance_that_is_told_by_another() {
    let mut hearing = Instance::serving(0, 1);
    hearing.apply(START, event::Event::Watching(true));
    let mut told = Instance::serving(1, 1);
    told.hear(START, hearing.digest(START));
    hearing.apply(at(100), event::Event::Watching(false));
    told.hear(at(150), hearing.digest(at(150)));
    hearing.apply(at(4_000), event::Event::Watching(true));
    told.hear(at(4_050), hearing.digest(at(4_050)));
    told.apply(at(4_300), engines(Vec::new()));
    told.send(at(5_800), new_request(1, at(5_800), RetryPolicy::Stream, 1));
}

#[rstest]
#[case::silent(Signal::Stalled)]
#[case::unreachable(Signal::Unsent)]
fn engine_that_fails_is_avoided_for_a_while(#[case] signal: Signal) {
    let mut instance = Instance::serving(1, 3);
    let failed = instance.send(START, new_request(1, START, RetryPolicy::Idempotent, 2));
    instance.signal(at(1), 1, signal);
    instance.signal(at(2), 1, Signal::Whole { status: 200 });
    for id in 2..12 {
        let engine = instance.send(at(10), new_request(id, at(10), RetryPolicy::Stream, 1));
        assert_ne!(engine, failed);
        instance.signal(at(10), id, Signal::Whole { status: 200 });
    }
}

#[test]
fn engine_with_many_bad_answers_is_left_out() {
    let mut instance = Instance::serving(1, 3);
    let mut counts = std::collections::BTreeMap::<_, u32>::new();
    for id in 0..300 {
        let now = at(id * 20);
        let engine = instance.send(now, new_request(id, now, RetryPolicy::Stream, 1));
        *counts.entry(engine.clone()).or_default() += 1;
        let status = if engine == name("e0") { 500 } else { 200 };
        instance.signal(now, id, Signal::Whole { status });
    }
    let bad = counts.get(&name("e0")).copied().unwrap_or(0);
    assert!(bad < 40, "{counts:?}");
}

/// A request is not sent any more after three engines have ended under it, at any instances.
#[test]
fn request_that_crashes_engines_is_blocked_everywhere() {
    let mut all: Vec<_> = (0..3).map(|i| Instance::serving(i, 6)).collect();
    let mut list: Vec<_> = (0..6).map(engine).collect();
    for index in 0..3 {
        let id = index as u64;
        let mut killer = new_request(id, at(id), RetryPolicy::Stream, 1);
        killer.fingerprint = 77;
        let chosen = all[index].send(at(id), killer);
        all[index].signal(at(id), id, UNANSWERED);
        let ended = list.iter_mut().find(|e| e.name == chosen).unwrap();
        ended.incarnation += 1;
        for instance in &mut all {
            instance.apply(at(id), engines(list.clone()));
        }
    }
    let digests: Vec<_> = all.iter().map(|i| i.digest(at(4))).collect();
    for instance in &mut all {
        for digest in digests.iter().cloned() {
            instance.receive(at(4), digest);
        }
        let mut killer = new_request(9, at(5), RetryPolicy::Stream, 1);
        killer.fingerprint = 77;
        let effects = instance.apply(at(5), event::Event::Arrived(killer));
        let refusal = refused(&effects).unwrap();
        assert_eq!(refusal.code, refusal::Code::Suspect);
        assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    }
}

#[test]
fn request_that_is_answered_is_cleared() {
    let mut instance = Instance::serving(1, 6);
    for id in 0..20 {
        let now = at(id * 1_000);
        let mut common = new_request(id, now, RetryPolicy::Stream, 1);
        common.fingerprint = 77;
        instance.send(now, common);
        let signal = match id % 2 {
            0 => UNANSWERED,
            _ => Signal::Whole { status: 200 },
        };
        instance.signal(now, id, signal);
    }
}

#[test]
fn request_beyond_hope_is_refused_at_once() {
    let mut instance = Instance::serving(1, 1);
    let mut id = 0;
    let refusal = loop {
        id += 1;
        let mut long = new_request(id, START, RetryPolicy::Stream, 1);
        long.prompt = 20_000;
        let effects = instance.apply(START, event::Event::Arrived(long));
        if let Some(refusal) = refused(&effects) {
            break refusal;
        }
        assert!(id < 100);
    };
    assert_eq!(refusal.code, refusal::Code::Overloaded);
    let wait = START.until(refusal.retry_at.unwrap());
    assert!(wait >= Duration::from_millis(100) && wait <= Duration::from_secs(10) / 3);
}

#[test]
fn abandoned_request_frees_its_engine() {
    let mut instance = Instance::serving(1, 1);
    instance.send(START, new_request(1, START, RetryPolicy::Stream, 1));
    assert_eq!(instance.digest(START).loads.len(), 1);
    instance.signal(at(1), 1, Signal::Abandoned);
    assert!(instance.digest(START).loads.is_empty());
    assert!(instance.state.flights.is_empty());
}

#[test]
fn load_of_other_instances_counts() {
    let mut first = Instance::serving(1, 2);
    let mut second = Instance::serving(2, 2);
    let mut busy = Vec::new();
    for id in 0..6 {
        let engine = first.send(START, new_request(id, START, RetryPolicy::Stream, 1));
        if engine == name("e0") {
            busy.push(id);
        } else {
            first.signal(START, id, Signal::Abandoned);
        }
    }
    assert!(!busy.is_empty());
    second.receive(at(1), first.digest(at(1)));
    assert_eq!(
        second.send(at(2), new_request(50, at(2), RetryPolicy::Stream, 1)),
        name("e1")
    );
}

/// Found on trouble-3 of Tirta Sulam: after a restart the first requests were refused because a
/// slot was guessed to be held for two seconds.
#[test]
fn request_is_not_refused_on_a_guess() {
    let mut instance = Instance::serving(1, 1);
    for id in 0..20 {
        let mut plain = new_request(id, START, RetryPolicy::AtMostOnce, 1);
        plain.prompt = 0;
        instance.send(START, plain);
    }
}

/// A session's prompt is read again only where its engine is much busier than another.
#[test]
fn request_goes_where_its_prompt_was_read() {
    let mut instance = Instance::serving(1, 6);
    let session = |id: u64, now| {
        let mut ask = new_request(id, now, RetryPolicy::Stream, 1);
        ask.prompt = 6_000;
        ask.parts = vec![
            guavausher_core::relay::request::Part { id: 7, tokens: 500 },
            guavausher_core::relay::request::Part {
                id: 8,
                tokens: 4_500,
            },
            guavausher_core::relay::request::Part { id, tokens: 1_000 },
        ];
        ask
    };
    let first = instance.send(START, session(1, START));
    instance.signal(at(300), 1, Signal::First);
    instance.signal(at(400), 1, Signal::Whole { status: 200 });
    let second = instance.send(at(500), session(2, at(500)));
    assert_eq!(second, first, "the prompt lies there");
    // Other work on that engine does not outweigh a prompt of this length.
    let third = instance.send(at(510), session(3, at(510)));
    assert_eq!(third, first);
}
