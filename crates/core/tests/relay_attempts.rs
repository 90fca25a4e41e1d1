//! Several attempts of one request: a silent one goes on until another one has responded.

mod relay_support;

use std::time::Duration;

use guavausher_core::relay::event::{self, Signal};
use guavausher_core::relay::route::RetryPolicy;
use guavausher_core::relay::{effect, request};
use guavausher_core::{time, verdict};
use relay_support::{Instance, START, at, engine, engines, new_request, refused, sent};
use rstest::rstest;

const NOT_RUN: Signal = Signal::NotRun {
    status: 503,
    wait: None,
};
const HOLD: Signal = Signal::NotRun {
    status: 503,
    wait: Some(Duration::from_secs(2)),
};
const BROKEN: Signal = Signal::Broken { unanswered: true };
const FAILING: Signal = Signal::Failing { status: 500 };
const WHOLE: Signal = Signal::Whole { status: 200 };
/// Silence after which the tests report an attempt as silent, in milliseconds.
const SILENCE: u64 = 1_200;

/// An instance whose first request has a silent attempt and one that was sent to replace it.
fn replaced(repeat: RetryPolicy, attempts: u32, count: usize, has_begun: bool) -> Instance {
    let mut instance = Instance::serving(1, count);
    let first = instance.send(START, new_request(1, START, repeat, attempts));
    if has_begun {
        instance.signal_of(at(5), 1, 1, Signal::First);
    }
    let effects = instance.signal_of(at(SILENCE), 1, 1, Signal::Stalled);
    let second = sent(&effects).expect("another engine gets it");
    assert_ne!(first, second);
    assert!(cancelled(&effects).is_empty(), "the silent attempt goes on");
    instance
}

/// Returns the numbers of the attempts that are ended by the effects.
fn cancelled(effects: &[effect::Effect]) -> Vec<usize> {
    let numbers = effects.iter().filter_map(|effect| match effect {
        effect::Effect::Cancel { attempt, .. } => Some(*attempt),
        _ => None,
    });
    numbers.collect()
}

fn running(instance: &Instance) -> Vec<usize> {
    let running = &instance.state.flights[&1].running;
    running.iter().map(|a| a.number).collect()
}

fn is_idle(instance: &Instance) -> bool {
    instance.state.flights.is_empty() && instance.state.fleet.loads().is_empty()
}

fn forwards_failure(effects: &[effect::Effect]) -> bool {
    let mut effects = effects.iter();
    effects.any(|e| matches!(e, effect::Effect::ForwardFailure { .. }))
}

/// A stream that paused was given up when another engine got the request; that one refused it, broke
/// or could not be reached, and the stream was reset (users' incident "LOST").
#[rstest]
#[case::refused(NOT_RUN)]
#[case::refused_for_a_while(HOLD)]
#[case::broken(BROKEN)]
#[case::unreachable(Signal::Unsent)]
#[case::failed(FAILING)]
fn silent_attempt_survives_its_replacement(
    #[case] signal: Signal,
    #[values(false, true)] has_begun: bool,
    #[values(RetryPolicy::Idempotent, RetryPolicy::ResumableStream)] repeat: RetryPolicy,
) {
    if has_begun && repeat == RetryPolicy::Idempotent {
        return;
    }
    let mut instance = replaced(repeat, 2, 2, has_begun);
    let effects = instance.signal_of(at(1_300), 1, 2, signal);
    assert_eq!((sent(&effects), refused(&effects)), (None, None));
    assert!(!forwards_failure(&effects));
    assert_eq!(running(&instance), [1]);
    let effects = instance.signal_of(at(1_500), 1, 1, Signal::First);
    assert!(cancelled(&effects).is_empty());
    assert_eq!(refused(&instance.signal_of(at(1_600), 1, 1, WHOLE)), None);
    assert!(is_idle(&instance));
}

/// The first attempt that responds ends the other one, which leaves no load behind.
#[rstest]
#[case::silent_one(1, 2)]
#[case::replacement(2, 1)]
fn first_event_ends_other_attempts(
    #[case] first: usize,
    #[case] other: usize,
    #[values(false, true)] has_begun: bool,
) {
    let mut instance = replaced(RetryPolicy::ResumableStream, 2, 2, has_begun);
    let effects = instance.signal_of(at(1_300), 1, first, Signal::First);
    assert_eq!(cancelled(&effects), [other]);
    assert_eq!(running(&instance), [first]);
    assert_eq!(instance.state.fleet.loads().len(), 1);
    // What the ended attempt still reports changes nothing.
    for signal in [
        Signal::First,
        BROKEN,
        NOT_RUN,
        FAILING,
        Signal::Unsent,
        Signal::Stalled,
    ] {
        let effects = instance.signal_of(at(1_310), 1, other, signal);
        assert!(effects.is_empty(), "{effects:?}");
    }
    instance.signal_of(at(1_400), 1, first, WHOLE);
    assert!(is_idle(&instance));
}

/// An engine's failure was passed on while another attempt could still finish.
#[test]
fn failure_is_kept_until_no_attempt_is_left() {
    let mut instance = replaced(RetryPolicy::Idempotent, 2, 2, false);
    assert!(!forwards_failure(&instance.signal_of(
        at(1_300),
        1,
        2,
        FAILING
    )));
    let effects = instance.signal_of(at(1_400), 1, 1, BROKEN);
    assert!(forwards_failure(&effects), "{effects:?}");
    instance.signal_of(at(1_410), 1, 2, Signal::Whole { status: 500 });
    assert!(is_idle(&instance));
}

#[test]
fn refusal_after_the_last_of_several_attempts_may_have_run() {
    let mut instance = replaced(RetryPolicy::ResumableStream, 2, 2, false);
    assert_eq!(refused(&instance.signal_of(at(1_300), 1, 2, NOT_RUN)), None);
    let refusal = refused(&instance.signal_of(at(1_400), 1, 1, BROKEN)).unwrap();
    assert_eq!(refusal.verdict, verdict::Verdict::MayHaveRun);
    assert!(is_idle(&instance));
}

/// Once the replacement has failed, a third engine is considered if the route allows it.
#[rstest]
#[case::refused(NOT_RUN)]
#[case::broken(BROKEN)]
#[case::failed(FAILING)]
fn silent_attempt_is_replaced_again_after_a_failed_replacement(#[case] signal: Signal) {
    let mut instance = replaced(RetryPolicy::ResumableStream, 3, 3, true);
    let effects = instance.signal_of(at(1_300), 1, 2, signal);
    assert!(sent(&effects).is_some(), "{effects:?}");
    assert_eq!(running(&instance), [1, 3]);
}

/// An unreachable engine counts neither as an attempt nor as a retry.
#[test]
fn silent_attempt_is_replaced_again_after_an_unreachable_engine() {
    let mut instance = replaced(RetryPolicy::ResumableStream, 2, 3, true);
    let effects = instance.signal_of(at(1_300), 1, 2, Signal::Unsent);
    assert!(sent(&effects).is_some(), "{effects:?}");
    assert_eq!(running(&instance), [1, 3]);
}

/// While one attempt is not silent, no other one is sent.
#[test]
fn attempt_beside_one_in_progress_is_not_sent() {
    let mut instance = replaced(RetryPolicy::ResumableStream, 3, 3, true);
    let effects = instance.signal_of(at(2_400), 1, 1, Signal::Stalled);
    assert_eq!(sent(&effects), None);
    let no_retry = instance.state.flights[&1].no_retry;
    assert_eq!(no_retry, Some(effect::NoRetry::Running));
    let effects = instance.signal_of(at(2_500), 1, 2, Signal::Stalled);
    assert!(sent(&effects).is_some(), "both are silent");
}

/// The number of attempts at the same time is bounded, whatever the route allows.
#[test]
fn attempts_at_the_same_time_are_bounded() {
    let mut instance = replaced(RetryPolicy::ResumableStream, 9, 9, true);
    for round in 2..9 {
        for number in running(&instance) {
            instance.signal_of(at(round * 2_000), 1, number, Signal::Stalled);
        }
    }
    assert_eq!(running(&instance), [1, 2, 3]);
    let no_retry = instance.state.flights[&1].no_retry;
    assert_eq!(no_retry, Some(effect::NoRetry::Attempts));
}

#[rstest]
#[case::expired(Signal::Expired)]
#[case::abandoned(Signal::Abandoned)]
#[case::whole(WHOLE)]
fn end_of_the_request_ends_all_attempts(#[case] signal: Signal) {
    let mut instance = replaced(RetryPolicy::ResumableStream, 2, 2, true);
    instance.signal_of(at(9_000), 1, 1, signal);
    assert!(is_idle(&instance));
}

/// When all engines were slow, each request ran at two of them, which made them slower.
#[test]
fn silent_attempt_is_not_replaced_by_a_slower_engine() {
    let mut instance = Instance::serving(1, 2);
    let mut long = new_request(1, START, RetryPolicy::ResumableStream, 2);
    long.prompt = 12_000;
    instance.send(START, long);
    let expected = instance.state.flights[&1].running[0].choice.expected;
    let early = at(expected.as_millis() as u64 / 2);
    assert_eq!(
        sent(&instance.signal_of(early, 1, 1, Signal::Stalled)),
        None
    );
    let no_retry = instance.state.flights[&1].no_retry;
    assert_eq!(no_retry, Some(effect::NoRetry::Time));
    let late = at(expected.as_millis() as u64 * 2);
    assert!(sent(&instance.signal_of(late, 1, 1, Signal::Stalled)).is_some());
}

/// A request that crashes engines was not recognised if its silent attempt went on.
#[test]
fn crash_under_a_silent_attempt_is_counted() {
    let mut instance = replaced(RetryPolicy::ResumableStream, 2, 2, true);
    let silent = engine_of(&instance, 1);
    instance.signal_of(at(1_300), 1, 2, Signal::First);
    let mut list = vec![engine(0), engine(1)];
    list[silent].incarnation += 1;
    let effects = instance.apply(at(1_500), engines(list));
    assert_eq!(crashes(&effects), 1);
}

/// Requests were blamed for crashes of engines that had left the list and still served a replacement,
/// or whose link was cut under a silent attempt.
#[test]
fn crash_is_not_blamed_on_an_attempt_that_was_superseded() {
    let mut instance = replaced(RetryPolicy::ResumableStream, 2, 2, true);
    let other = engine_of(&instance, 2);
    instance.apply(at(1_250), engines(vec![engine(1 - other)]));
    let effects = instance.signal_of(at(1_300), 1, 1, Signal::First);
    assert_eq!((crashes(&effects), cancelled(&effects)), (0, vec![2]));
}

#[test]
fn crash_is_not_blamed_on_a_silent_attempt_whose_connection_breaks_late() {
    let mut instance = replaced(RetryPolicy::ResumableStream, 2, 3, true);
    instance.signal_of(at(4_000), 1, 1, BROKEN);
    for id in 2..8 {
        instance.send(at(4_010), request(id, at(4_010)));
        instance.signal_of(at(4_020), id, 1, Signal::First);
        instance.signal_of(at(4_030), id, 1, WHOLE);
    }
    let effects = instance.apply(at(5_100), event::Event::Tick);
    assert_eq!(crashes(&effects), 0);
}

fn engine_of(instance: &Instance, attempt: usize) -> usize {
    let attempt = instance.state.flights[&1].attempt(attempt).unwrap();
    attempt.choice.engine[1..].parse().unwrap()
}

fn crashes(effects: &[effect::Effect]) -> usize {
    let is_crash = |e: &&effect::Effect| matches!(e, effect::Effect::EngineCrashed { .. });
    effects.iter().filter(is_crash).count()
}

/// A silence counted twice against its engine: when it was reported and when another attempt had
/// responded.
#[rstest]
#[case::superseded(2, Signal::First)]
#[case::expired(1, Signal::Expired)]
fn silence_counts_once_against_its_engine(#[case] attempt: usize, #[case] signal: Signal) {
    let mut instance = Instance::serving(1, 2);
    instance.send(START, request(1, START));
    instance.signal_of(at(5), 1, 1, Signal::First);
    let mut effects = instance.signal_of(at(SILENCE), 1, 1, Signal::Stalled);
    effects.extend(instance.signal_of(at(1_300), 1, attempt, signal));
    let is_avoided = |e: &&effect::Effect| {
        let effect::Effect::EngineAvoided { engine, .. } = e else {
            return false;
        };
        **engine == *"e0"
    };
    assert_eq!(effects.iter().filter(is_avoided).count(), 1, "{effects:?}");
}

/// The reason why nothing replaced an attempt was missing after a refusal with a wait, and an older one
/// stayed after a replacement was sent.
#[test]
fn reason_without_a_retry_is_that_of_the_last_attempt() {
    let mut instance = replaced(RetryPolicy::ResumableStream, 2, 2, true);
    assert_eq!(instance.state.flights[&1].no_retry, None);
    instance.signal_of(at(1_250), 1, 1, Signal::Stalled);
    let attempts = Some(effect::NoRetry::Attempts);
    assert_eq!(instance.state.flights[&1].no_retry, attempts);
    instance.signal_of(at(1_300), 1, 1, BROKEN);
    let effects = instance.signal_of(at(1_310), 1, 2, HOLD);
    let reason = effects.iter().find_map(|e| match e {
        effect::Effect::Refuse { context, .. } => Some(context.no_retry),
        _ => None,
    });
    assert_eq!(reason, Some(attempts));
}

/// An attempt that goes on after a silence is not taken for silent any more.
#[test]
fn attempt_that_goes_on_after_a_silence_is_a_success_at_the_deadline() {
    let mut instance = replaced(RetryPolicy::ResumableStream, 2, 2, true);
    instance.signal_of(at(1_300), 1, 1, Signal::First);
    let flight = &instance.state.flights[&1];
    assert_eq!(flight.silent_since(), None);
    assert!(flight.attempt(1).unwrap().was_silent);
}

/// Requests that run at two engines for a while draw on the retry budget as others do.
#[test]
fn replacements_draw_on_the_retry_budget() {
    let mut instance = Instance::serving(1, 4);
    let mut replacements = 0;
    for id in 0..400 {
        let request = request(id, START);
        instance.send(START, request);
        let effects = instance.signal_of(at(SILENCE), id, 1, Signal::Stalled);
        replacements += usize::from(sent(&effects).is_some());
        instance.signal_of(at(SILENCE), id, 1, WHOLE);
    }
    let settings = instance.state.settings;
    let allowed = settings.retry_ratio * 400.0 + settings.retry_slack;
    assert!(
        replacements > 0 && replacements as f64 <= allowed,
        "{replacements}"
    );
}

fn request(id: u64, now: time::Time) -> request::Request {
    new_request(id, now, RetryPolicy::ResumableStream, 2)
}

/// The events of attempts are applied by their number, not by their order.
#[test]
fn event_of_an_unknown_attempt_changes_nothing() {
    let mut instance = Instance::serving(1, 2);
    instance.send(START, request(1, START));
    let event = event::Event::Attempt {
        request: 1,
        attempt: 7,
        signal: BROKEN,
    };
    assert!(instance.apply(at(10), event).is_empty());
    assert_eq!(running(&instance), [1]);
}

/// A request that was not sent since its time was over is refused as not run, and its engine is not to
/// blame.
#[test]
fn withheld_request_not_run() {
    let mut instance = Instance::serving(0, 1);
    let engine = instance.send(at(0), new_request(1, at(0), RetryPolicy::AtMostOnce, 2));
    assert!(refused(&instance.signal(at(10_000), 1, Signal::Withheld)).is_none());
    let refusal = refused(&instance.signal(at(10_001), 1, Signal::Expired)).unwrap();
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    let next = new_request(2, at(10_002), RetryPolicy::AtMostOnce, 2);
    assert_eq!(instance.send(at(10_002), next), engine);
}
