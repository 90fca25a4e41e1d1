//! The reducer of opaque forwarding.

mod relay_support;

use std::net;
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
const MISDIRECTED: Signal = Signal::NotRun {
    status: 421,
    wait: None,
};
const BROKEN_UNANSWERED: Signal = Signal::Broken { unanswered: true };
const BROKEN_LATER: Signal = Signal::Broken { unanswered: false };
const FAILING: Signal = Signal::Failing { status: 500 };

/// Result of each end of a first attempt, with another engine available and attempts left.
#[rstest]
#[case::at_most_once_not_run(RetryPolicy::AtMostOnce, NOT_RUN, true)]
#[case::at_most_once_misdirected(RetryPolicy::AtMostOnce, MISDIRECTED, true)]
#[case::at_most_once_unsent(RetryPolicy::AtMostOnce, Signal::Unsent, true)]
#[case::at_most_once_broken(RetryPolicy::AtMostOnce, BROKEN_UNANSWERED, false)]
#[case::idempotent_broken(RetryPolicy::Idempotent, BROKEN_UNANSWERED, true)]
#[case::idempotent_stalled(RetryPolicy::Idempotent, Signal::Stalled, true)]
#[case::idempotent_failing(RetryPolicy::Idempotent, FAILING, true)]
#[case::stream_broken(RetryPolicy::Stream, BROKEN_LATER, false)]
#[case::stream_not_run(RetryPolicy::Stream, NOT_RUN, true)]
#[case::resumable_broken(RetryPolicy::ResumableStream, BROKEN_LATER, true)]
#[case::resumable_expired(RetryPolicy::ResumableStream, Signal::Expired, false)]
fn attempt_retried_only_where_allowed(
    #[case] repeat: RetryPolicy,
    #[case] signal: Signal,
    #[case] is_retried: bool,
) {
    let mut instance = Instance::serving(1, 2);
    let first = instance.send(START, new_request(1, START, repeat, 2));
    let effects = instance.signal(at(10), 1, signal);
    let second = sent(&effects);
    assert_eq!(second.is_some(), is_retried, "{effects:?}");
    if let Some(second) = second {
        assert_ne!(first, second);
        return;
    }
    let refusal = refused(&effects).expect("a refusal");
    assert_eq!(refusal.verdict, verdict::Verdict::MayHaveRun);
    assert!(matches!(refusal.code.status(), 502 | 504));
    assert_eq!(refusal.retry_at, None);
}

/// A refusal states "not run" only if no engine may have run the request.
#[test]
fn refusal_after_broken_and_refused_attempts_may_have_run() {
    let mut instance = Instance::serving(1, 2);
    instance.send(START, new_request(1, START, RetryPolicy::Idempotent, 2));
    assert!(sent(&instance.signal(at(10), 1, BROKEN_UNANSWERED)).is_some());
    let effects = instance.signal(at(20), 1, NOT_RUN);
    let refusal = refused(&effects).unwrap();
    assert_eq!(refusal.verdict, verdict::Verdict::MayHaveRun);
}

#[test]
fn attempts_bounded_by_route() {
    let mut instance = Instance::serving(1, 6);
    instance.send(START, new_request(1, START, RetryPolicy::Idempotent, 2));
    assert!(sent(&instance.signal(at(1), 1, NOT_RUN)).is_some());
    let refusal = refused(&instance.signal(at(2), 1, NOT_RUN)).unwrap();
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    assert!(refusal.retry_at.is_some());
}

#[test]
fn unreachable_engines_not_counted_as_attempts_but_bounded() {
    let mut instance = Instance::serving(1, 9);
    instance.send(START, new_request(1, START, RetryPolicy::AtMostOnce, 1));
    let mut sends = 1;
    while sent(&instance.signal(at(sends), 1, Signal::Unsent)).is_some() {
        sends += 1;
    }
    assert!((2..9).contains(&sends), "{sends}");
}

#[test]
fn attempt_not_retried_after_first_event() {
    let mut instance = Instance::serving(1, 2);
    instance.send(START, new_request(1, START, RetryPolicy::Idempotent, 2));
    instance.signal(at(5), 1, Signal::First);
    let effects = instance.signal(at(10), 1, BROKEN_LATER);
    assert!(
        sent(&effects).is_none(),
        "its head was forwarded: {effects:?}"
    );
}

/// A process that has just started knew of no other instance, and used the slack of all of them.
#[test]
fn retry_budget_divided_among_instances_not_heard_yet() {
    const OTHERS: u16 = 8;
    let mut instance = Instance::serving(0, 3);
    let others = (1..=OTHERS).map(|index| net::SocketAddr::from(([127, 0, 0, 1], 8_000 + index)));
    instance.state.peers.add_unverified(START, others);
    let requests = 100;
    let mut retries = 0;
    for id in 0..requests {
        instance.send(START, new_request(id, START, RetryPolicy::Idempotent, 2));
        retries += usize::from(sent(&instance.signal(START, id, NOT_RUN)).is_some());
        instance.signal(START, id, Signal::Whole { status: 200 });
    }
    let settings = instance.state.settings;
    let part = settings.retry_slack / f64::from(OTHERS + 1);
    let allowed = settings.retry_ratio * requests as f64 + part;
    assert!(retries as f64 <= allowed, "{retries} of {allowed}");
    assert!(retries > 0);
}

#[test]
fn retry_budget_bounds_retries() {
    let mut instance = Instance::serving(1, 2);
    let mut retries = 0;
    for id in 0..1_000 {
        let now = at(id * 2);
        instance.send(now, new_request(id, now, RetryPolicy::Idempotent, 2));
        if sent(&instance.signal(now, id, NOT_RUN)).is_some() {
            retries += 1;
            instance.signal(now, id, Signal::Whole { status: 200 });
        }
    }
    // Two of the ten seconds that the budget covers: 0.2 of 1,000 and a slack of 50.
    assert!(retries <= 250, "{retries}");
    assert!(retries >= 100, "{retries}");
}

#[test]
fn manifest_older_version_ignored() {
    let mut instance = Instance::serving(1, 1);
    assert_eq!(instance.apply(START, manifest(5, 0.0, None)).len(), 1);
    assert!(instance.apply(START, manifest(4, 0.0, None)).is_empty());
    assert_eq!(instance.state.manifest.as_ref().unwrap().version(), 5);
}

#[test]
fn engine_leaving_gets_no_requests() {
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
    // An older entry does not make it available again.
    instance.apply(at(3), engines(vec![engine(0), engine(1)]));
    assert_eq!(
        instance.send(at(4), new_request(99, at(4), RetryPolicy::Stream, 1)),
        name("e1")
    );
}

/// The engine of the tests accepts 100 connections from all instances.
#[test]
fn engine_requests_bounded_by_connections_of_all_instances() {
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
    let mut small = new_request(id, START, RetryPolicy::Stream, 1);
    small.prompt = 0;
    small
}

#[test]
fn idle_connections_of_all_instances_leave_half_for_new_ones() {
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

/// Guards against an engine's failure response being replaced by a refusal if there is no other
/// engine to retry at.
#[test]
fn failure_of_only_engine_forwarded() {
    let mut instance = Instance::serving(1, 1);
    instance.send(START, new_request(1, START, RetryPolicy::Idempotent, 2));
    let effects = instance.signal(at(5), 1, FAILING);
    let is_forwarded =
        |e: &effect::Effect| matches!(e, effect::Effect::ForwardFailure { request: 1 });
    assert!(effects.iter().any(is_forwarded), "{effects:?}");
    instance.signal(at(6), 1, Signal::Whole { status: 500 });
    assert!(instance.state.flights.is_empty());
}

#[test]
fn failure_forwarded_when_next_engine_breaks() {
    let mut instance = Instance::serving(1, 2);
    instance.send(START, new_request(1, START, RetryPolicy::Idempotent, 2));
    assert!(sent(&instance.signal(at(5), 1, FAILING)).is_some());
    let effects = instance.signal(at(9), 1, BROKEN_LATER);
    let is_forwarded =
        |e: &effect::Effect| matches!(e, effect::Effect::ForwardFailure { request: 1 });
    assert!(effects.iter().any(is_forwarded), "{effects:?}");
}

#[test]
fn engine_restarted_gets_requests() {
    let mut instance = Instance::serving(1, 1);
    let mut leaving = engine(0);
    leaving.leaving = true;
    instance.apply(at(1), engines(vec![leaving]));
    let effects = instance.apply(
        at(2),
        event::Event::Arrived(new_request(1, at(2), RetryPolicy::Stream, 1)),
    );
    assert_eq!(refused(&effects).unwrap().code, refusal::Code::NoUpstream);
    let mut restarted = engine(0);
    restarted.incarnation = 2;
    instance.apply(at(3), engines(vec![restarted]));
    assert_eq!(
        instance.send(at(4), new_request(2, at(4), RetryPolicy::Stream, 1)),
        name("e0")
    );
}

/// An entry without the engine's incarnation is about the known one.
#[test]
fn engine_leaving_with_unknown_incarnation_gets_no_requests() {
    let mut instance = Instance::serving(1, 1);
    let mut leaving = engine(0);
    leaving.leaving = true;
    leaving.incarnation = 0;
    instance.apply(at(1), engines(vec![leaving]));
    let late = event::Event::Arrived(new_request(1, at(2), RetryPolicy::Stream, 1));
    assert!(refused(&instance.apply(at(2), late)).is_some());
}

/// Entries that expire in a store outage are back within two seconds of its end, or the engines are
/// gone; an engine must get no requests two seconds after its loss was seen.
#[rstest]
#[case::seen_at_return(0, 1_600, 1_800)]
#[case::seen_later(1_500, 1_900, 2_050)]
fn engine_expired_in_store_outage_kept_for_a_while(
    #[case] seen: u64,
    #[case] kept: u64,
    #[case] gone: u64,
) {
    let mut instance = after_store_outage();
    instance.apply(at(seen), engines(Vec::new()));
    instance.send(at(kept), new_request(1, at(kept), RetryPolicy::Stream, 1));
    instance.signal(at(kept), 1, Signal::Whole { status: 200 });
    let late = event::Event::Arrived(new_request(2, at(gone), RetryPolicy::Stream, 1));
    assert!(refused(&instance.apply(at(gone), late)).is_some());
}

#[test]
fn engine_missing_long_after_store_outage_gone_at_once() {
    let mut instance = after_store_outage();
    instance.apply(at(2_000), engines(Vec::new()));
    let late = event::Event::Arrived(new_request(1, at(2_000), RetryPolicy::Stream, 1));
    assert!(refused(&instance.apply(at(2_000), late)).is_some());
}

/// Guards against an engine that has left being used for another 1.7 s: the instances that watch
/// the store lost it for a moment, in which no entry expires, and kept the missing engine as if it
/// had expired.
#[test]
fn engine_missing_after_short_store_outage_gone_at_once() {
    let mut instance = Instance::serving(1, 1);
    instance.apply(START, event::Event::Watching(true));
    instance.apply(at(1_000), event::Event::Watching(false));
    instance.apply(at(1_300), event::Event::Watching(true));
    instance.apply(at(1_300), engines(Vec::new()));
    let late = event::Event::Arrived(new_request(1, at(1_301), RetryPolicy::Stream, 1));
    assert!(refused(&instance.apply(at(1_301), late)).is_some());
}

/// A store outage in which entries expire still counts after a short one that follows it.
#[test]
fn engine_expired_in_store_outage_kept_over_second_short_outage() {
    let mut instance = after_store_outage();
    instance.apply(at(100), event::Event::Watching(false));
    instance.apply(at(200), engines(Vec::new()));
    instance.apply(at(300), event::Event::Watching(true));
    instance.send(at(1_600), new_request(1, at(1_600), RetryPolicy::Stream, 1));
}

/// Returns an instance with one engine at the end of a store outage that is long enough for entries
/// to expire.
fn after_store_outage() -> Instance {
    let mut instance = Instance::serving(1, 1);
    let before = |seconds: u64| time::Time::from_millis(1_000_000 - 1_000 * seconds);
    for (seconds, fed) in [(5_u64, true), (4, false), (0, true)] {
        instance.apply(before(seconds), event::Event::Watching(fed));
    }
    instance
}

/// An instance that could not reach the store knows that no entry expired if another one watched it
/// all the time.
#[test]
fn engine_missing_while_another_instance_watches_store_gone_at_once() {
    let mut watching = Instance::serving(0, 1);
    watching.apply(START, event::Event::Watching(true));
    let mut partitioned = Instance::serving(1, 1);
    partitioned.apply(START, event::Event::Watching(true));
    partitioned.receive(START, watching.digest(START));
    partitioned.apply(at(100), event::Event::Watching(false));
    partitioned.receive(at(1_000), watching.digest(at(1_000)));
    partitioned.apply(at(1_000), event::Event::Watching(true));
    partitioned.apply(at(1_100), engines(Vec::new()));
    let late = event::Event::Arrived(new_request(1, at(1_101), RetryPolicy::Stream, 1));
    assert!(refused(&partitioned.apply(at(1_101), late)).is_some());
}

/// A stream whose engine paused was ended although nothing could replace it, and was reset.
#[rstest]
#[case::at_most_once(RetryPolicy::AtMostOnce, 2, 2, effect::NoRetry::Policy)]
#[case::stream(RetryPolicy::Stream, 2, 2, effect::NoRetry::Policy)]
#[case::no_attempt(RetryPolicy::ResumableStream, 1, 2, effect::NoRetry::Attempts)]
#[case::no_engine(RetryPolicy::ResumableStream, 2, 1, effect::NoRetry::Engines)]
#[case::idempotent_no_engine(RetryPolicy::Idempotent, 2, 1, effect::NoRetry::Engines)]
fn silent_attempt_without_replacement_goes_on(
    #[case] repeat: RetryPolicy,
    #[case] attempts: u32,
    #[case] engines: usize,
    #[case] reason: effect::NoRetry,
    #[values(false, true)] has_begun: bool,
) {
    let mut instance = Instance::serving(1, engines);
    instance.send(START, new_request(1, START, repeat, attempts));
    if has_begun && repeat != RetryPolicy::Idempotent {
        instance.signal(at(5), 1, Signal::First);
    }
    for millis in [10, 1_200, 2_400] {
        let effects = instance.signal(at(millis), 1, Signal::Stalled);
        assert_eq!((sent(&effects), refused(&effects)), (None, None));
        assert_eq!(instance.state.flights[&1].no_retry, Some(reason));
    }
    instance.signal(at(3_000), 1, Signal::Whole { status: 200 });
    assert!(instance.state.flights.is_empty());
    assert!(instance.state.fleet.loads().is_empty());
}

/// An engine that hung in a stream until its deadline got new requests at once.
#[test]
fn silent_attempt_that_expires_is_no_success() {
    let mut instance = Instance::serving(1, 1);
    let hung = instance.send(
        START,
        new_request(1, START, RetryPolicy::ResumableStream, 2),
    );
    instance.signal(at(5), 1, Signal::First);
    instance.signal(at(9_000), 1, Signal::Stalled);
    instance.signal(at(10_000), 1, Signal::Expired);
    instance.apply(at(10_000), engines(vec![engine(0), engine(1)]));
    for id in 2..6 {
        let request = new_request(id, at(10_010), RetryPolicy::Stream, 1);
        assert_ne!(instance.send(at(10_010), request), hung);
    }
}

/// Streams of two engines that both paused were moved from each to the other.
#[test]
fn silent_attempt_is_not_moved_to_silent_engine() {
    let mut instance = Instance::serving(1, 2);
    let first = instance.send(
        START,
        new_request(1, START, RetryPolicy::ResumableStream, 1),
    );
    let second = instance.send(
        START,
        new_request(2, START, RetryPolicy::ResumableStream, 2),
    );
    assert_ne!(first, second);
    instance.signal(at(1_000), 1, Signal::Stalled);
    let effects = instance.signal(at(1_001), 2, Signal::Stalled);
    assert_eq!((sent(&effects), refused(&effects)), (None, None));
}

/// A pause of the engines moved streams until the retry budget was used up; from then on each pause
/// ended one.
#[test]
fn silent_attempt_without_retry_budget_goes_on() {
    let mut instance = Instance::serving(1, 4);
    let mut is_spent = false;
    for id in 0..200 {
        instance.send(
            START,
            new_request(id, START, RetryPolicy::ResumableStream, 2),
        );
        instance.signal(at(5), id, Signal::First);
        let effects = instance.signal(at(1_200), id, Signal::Stalled);
        assert_eq!(refused(&effects), None);
        is_spent |= sent(&effects).is_none();
        instance.signal(at(1_300), id, Signal::Whole { status: 200 });
    }
    assert!(is_spent, "the budget was not used up");
}

/// While no instance watches the store, a snapshot from another instance drops no engine at once.
#[test]
fn engine_expired_in_store_outage_kept_at_instance_without_watch() {
    let mut watching = Instance::serving(0, 1);
    watching.apply(START, event::Event::Watching(true));
    let mut other = Instance::serving(1, 1);
    other.receive(START, watching.digest(START));
    watching.apply(at(100), event::Event::Watching(false));
    other.receive(at(150), watching.digest(at(150)));
    watching.apply(at(4_000), event::Event::Watching(true));
    other.receive(at(4_050), watching.digest(at(4_050)));
    other.apply(at(4_300), engines(Vec::new()));
    other.send(at(5_800), new_request(1, at(5_800), RetryPolicy::Stream, 1));
}

/// Guards against an engine that gets requests for too long after an instance has acknowledged that it
/// is gone: others that learned it later kept it from then on (DRAIN).
#[rstest]
#[case::at_once(None, 6_200, 6_450)]
#[case::ahead_for_a_while(Some(4_500), 6_100, 6_250)]
#[case::ahead_for_long(Some(4_100), 5_700, 5_850)]
fn engine_expired_in_store_outage_kept_from_when_a_peer_was_ahead(
    #[case] since: Option<u64>,
    #[case] kept: u64,
    #[case] gone: u64,
) {
    let mut watching = Instance::serving(0, 1);
    watching.apply(START, event::Event::Watching(true));
    let mut other = Instance::serving(1, 1);
    other.receive(START, watching.digest(START));
    watching.apply(at(100), event::Event::Watching(false));
    other.receive(at(150), watching.digest(at(150)));
    watching.apply(at(4_000), event::Event::Watching(true));
    other.receive(at(4_400), watching.digest(at(4_400)));
    if let Some(since) = since {
        let since = at(since);
        other.apply(at(4_700), event::Event::PeerAhead { since });
    }
    other.apply(at(4_700), engines(Vec::new()));
    other.send(at(kept), new_request(1, at(kept), RetryPolicy::Stream, 1));
    other.signal(at(kept), 1, Signal::Whole { status: 200 });
    let late = event::Event::Arrived(new_request(2, at(gone), RetryPolicy::Stream, 1));
    assert!(refused(&other.apply(at(gone), late)).is_some());
}

#[rstest]
#[case::silent(Signal::Stalled)]
#[case::unreachable(Signal::Unsent)]
fn engine_after_failure_avoided_for_a_while(#[case] signal: Signal) {
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
fn engine_with_high_error_rate_avoided() {
    let mut instance = Instance::serving(1, 3);
    let mut counts = std::collections::BTreeMap::<_, u32>::new();
    for id in 0..300 {
        let now = at(id * 20);
        let engine = instance.send(now, new_request(id, now, RetryPolicy::Stream, 1));
        *counts.entry(engine.clone()).or_default() += 1;
        let status = if engine == name("e0") { 500 } else { 200 };
        instance.signal(now, id, Signal::Whole { status });
    }
    let failures = counts.get(&name("e0")).copied().unwrap_or(0);
    assert!(failures < 40, "{counts:?}");
}

/// A request is not sent any more, at any instance, after three engines have crashed under it.
#[test]
fn request_crashing_three_engines_blocked_at_all_instances() {
    let mut all: Vec<_> = (0..3).map(|i| Instance::serving(i, 6)).collect();
    let mut list: Vec<_> = (0..6).map(engine).collect();
    for index in 0..3 {
        let id = index as u64;
        let mut crashing = new_request(id, at(id), RetryPolicy::Stream, 1);
        crashing.fingerprint = 77;
        let chosen = all[index].send(at(id), crashing);
        all[index].signal(at(id), id, BROKEN_UNANSWERED);
        let crashed = list.iter_mut().find(|e| e.name == chosen).unwrap();
        crashed.incarnation += 1;
        for instance in &mut all {
            instance.apply(at(id), engines(list.clone()));
        }
    }
    let reports: Vec<_> = all.iter().map(|i| i.crash_report(at(4))).collect();
    for instance in &mut all {
        for report in reports.iter().cloned() {
            instance.apply(at(4), event::Event::CrashReport(report));
        }
        let mut crashing = new_request(9, at(5), RetryPolicy::Stream, 1);
        crashing.fingerprint = 77;
        let effects = instance.apply(at(5), event::Event::Arrived(crashing));
        let refusal = refused(&effects).unwrap();
        assert_eq!(refusal.code, refusal::Code::Suspect);
        assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    }
}

#[test]
fn request_with_responses_between_failures_not_blocked() {
    let mut instance = Instance::serving(1, 6);
    for id in 0..20 {
        let now = at(id * 1_000);
        let mut common = new_request(id, now, RetryPolicy::Stream, 1);
        common.fingerprint = 77;
        instance.send(now, common);
        let signal = match id % 2 {
            0 => BROKEN_UNANSWERED,
            _ => Signal::Whole { status: 200 },
        };
        instance.signal(now, id, signal);
    }
}

#[test]
fn request_with_late_expected_first_event_refused_at_once() {
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
fn request_abandoned_frees_engine() {
    let mut instance = Instance::serving(1, 1);
    instance.send(START, new_request(1, START, RetryPolicy::Stream, 1));
    assert_eq!(instance.digest(START).loads.len(), 1);
    instance.signal(at(1), 1, Signal::Abandoned);
    assert!(instance.digest(START).loads.is_empty());
    assert!(instance.state.flights.is_empty());
}

#[test]
fn load_of_other_instances_counted() {
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

/// Guards against the refusal of the first requests after a restart: the slot time was assumed to
/// be two seconds before any was measured.
#[test]
fn request_not_refused_before_slot_time_known() {
    let mut instance = Instance::serving(1, 1);
    for id in 0..20 {
        let mut plain = new_request(id, START, RetryPolicy::AtMostOnce, 1);
        plain.prompt = 0;
        instance.send(START, plain);
    }
}

/// The prompt of a session is processed again at another engine only if its own engine is much
/// busier.
#[test]
fn request_sent_where_prompt_is_cached() {
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
    assert_eq!(second, first, "the prompt is cached there");
    // Another request at that engine does not outweigh a prompt of this length.
    let third = instance.send(at(510), session(3, at(510)));
    assert_eq!(third, first);
}
