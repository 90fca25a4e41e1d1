//! Silent attempts: what is kept, what replaces them, and what ends them.

mod harness;

use guavausher_core::{declaration, effect, event, refusal, verdict};
use harness::{Harness, VERSE};
use rstest::rstest;

const MAY_HAVE_RUN: verdict::Verdict = verdict::Verdict::MayHaveRun;

/// Returns an entry with this many engines.
fn with_engines(count: usize) -> Harness {
    let mut declaration = harness::declaration();
    let is_engine = |u: &declaration::Upstream| u.name.as_str().starts_with("verse");
    let mut left = count;
    declaration.upstreams.retain(|upstream| {
        let is_kept = !is_engine(upstream) || left > 0;
        left -= usize::from(is_kept && is_engine(upstream));
        is_kept
    });
    Harness::with_declaration(&declaration)
}

/// Returns a stream under way that has just fallen silent before token 4.
fn silent_stream(harness: &mut Harness) -> (u64, effect::Dispatch) {
    let id = harness.arrive(VERSE, None);
    let first = harness.dispatches(id)[0].clone();
    harness.signal(&first, event::Signal::FirstToken);
    harness.signal(&first, silent(4));
    (id, first)
}

fn silent(offset: u32) -> event::Signal {
    event::Signal::Silent { offset }
}

fn failed(crashed: bool, offset: u32) -> event::Signal {
    event::Signal::Failed(event::Failure {
        verdict: MAY_HAVE_RUN,
        crashed,
        offset,
    })
}

fn cancelled(harness: &Harness) -> Vec<u64> {
    let cancelled = |effect: &effect::Effect| match effect {
        effect::Effect::Cancel { attempt, .. } => Some(*attempt),
        _ => None,
    };
    harness.effects.iter().filter_map(cancelled).collect()
}

fn resumed(harness: &Harness) -> Vec<u64> {
    let resumed = |effect: &effect::Effect| match effect {
        effect::Effect::Resume { attempt, .. } => Some(*attempt),
        _ => None,
    };
    harness.effects.iter().filter_map(resumed).collect()
}

#[test]
fn silent_is_kept_until_another_has_responded() {
    let mut harness = Harness::example();
    let (id, first) = silent_stream(&mut harness);
    let second = harness.dispatches(id)[1].clone();
    assert_eq!(second.offset, 4);
    assert_ne!(second.upstream, first.upstream);
    assert_eq!(cancelled(&harness), [0; 0], "nothing has responded yet");
    harness.signal(&second, event::Signal::FirstToken);
    assert_eq!(cancelled(&harness), [first.attempt]);
    harness.finish(&second);
    assert!(harness.is_relayed(id));
}

#[test]
fn silent_before_its_first_token_is_kept_as_well() {
    let mut harness = Harness::example();
    let id = harness.arrive(VERSE, None);
    let first = harness.dispatches(id)[0].clone();
    harness.signal(&first, silent(0));
    let second = harness.dispatches(id)[1].clone();
    harness.signal(&second, event::Signal::Refused);
    assert_eq!(resumed(&harness), [first.attempt]);
    harness.signal(&first, event::Signal::FirstToken);
    harness.finish(&first);
    assert!(harness.is_relayed(id));
    assert_eq!(cancelled(&harness), [0; 0]);
}

#[rstest]
#[case::refused(event::Signal::Refused)]
#[case::broken(failed(false, 4))]
#[case::crashed(failed(true, 4))]
fn silent_goes_on_if_the_other_fails(#[case] end: event::Signal) {
    let mut harness = Harness::example();
    let (id, first) = silent_stream(&mut harness);
    let second = harness.dispatches(id)[1].clone();
    harness.signal(&second, end);
    assert_eq!(resumed(&harness), [first.attempt]);
    assert_eq!(harness.dispatches(id).len(), 2);
    harness.signal(&first, event::Signal::FirstToken);
    harness.finish(&first);
    assert!(harness.is_relayed(id));
    assert_eq!(cancelled(&harness), [0; 0]);
    assert!(harness.refusals(id).is_empty());
}

#[test]
fn silent_goes_on_if_no_other_engine_is_left() {
    let mut harness = with_engines(1);
    let (id, first) = silent_stream(&mut harness);
    harness.signal(&first, silent(4));
    assert_eq!(resumed(&harness), [first.attempt; 2]);
    assert_eq!(harness.dispatches(id).len(), 1);
    assert_eq!(cancelled(&harness), [0; 0]);
}

/// Without retries left, the attempt in hand goes on.
#[test]
fn silent_goes_on_if_the_budget_is_spent() {
    let mut harness = Harness::example();
    let service = "verse-scribe".into();
    let id = harness.arrive(VERSE, None);
    while harness.state.budget.spend(harness.now, &service) {}
    let first = harness.dispatches(id)[0].clone();
    harness.signal(&first, silent(0));
    assert_eq!(resumed(&harness), [first.attempt]);
    assert_eq!(harness.dispatches(id).len(), 1);
}

#[test]
fn two_silent_attempts_take_turns() {
    let mut harness = with_engines(2);
    let (id, first) = silent_stream(&mut harness);
    let second = harness.dispatches(id)[1].clone();
    harness.signal(&second, silent(4));
    harness.signal(&first, silent(4));
    assert_eq!(resumed(&harness), [first.attempt, second.attempt]);
    assert_eq!(cancelled(&harness), [0; 0]);
    harness.signal(&second, event::Signal::FirstToken);
    assert_eq!(cancelled(&harness), [first.attempt]);
}

#[test]
fn third_attempt_ends_the_first() {
    let mut harness = with_engines(3);
    let (id, first) = silent_stream(&mut harness);
    let second = harness.dispatches(id)[1].clone();
    harness.signal(&second, silent(4));
    let third = harness.dispatches(id)[2].clone();
    assert_eq!(cancelled(&harness), [first.attempt]);
    harness.signal(&third, event::Signal::Refused);
    assert_eq!(resumed(&harness), [second.attempt]);
}

/// An engine that never responds again is let go in the end.
#[test]
fn silent_for_too_long_ends() {
    let mut harness = with_engines(1);
    let (id, first) = silent_stream(&mut harness);
    for _ in 0..11 {
        harness.advance(10_000);
        harness.signal(&first, silent(4));
    }
    assert_eq!(cancelled(&harness), [0; 0]);
    harness.advance(10_000);
    harness.signal(&first, silent(4));
    assert_eq!(cancelled(&harness), [first.attempt]);
    (0..200).for_each(|_| harness.advance(100));
    let again = harness.dispatches(id)[1].clone();
    assert_eq!(again.offset, 4);
}

/// A silence counts from the last token.
#[test]
fn silent_with_progress_in_between_goes_on() {
    let mut harness = with_engines(1);
    let (_, first) = silent_stream(&mut harness);
    for token in 5..40 {
        harness.advance(10_000);
        harness.signal(&first, silent(token));
    }
    assert_eq!(cancelled(&harness), [0; 0]);
}

#[test]
fn deadline_ends_both_attempts() {
    let mut harness = Harness::example();
    let id = harness.arrive(VERSE, None);
    let first = harness.dispatches(id)[0].clone();
    harness.signal(&first, silent(0));
    let second = harness.dispatches(id)[1].clone();
    (0..120).for_each(|_| harness.advance(1_000));
    let refusals = harness.refusals(id);
    assert_eq!(refusals.len(), 1);
    assert_eq!(
        (refusals[0].code, refusals[0].verdict),
        (refusal::Code::Deadline, MAY_HAVE_RUN)
    );
    let mut ended = cancelled(&harness);
    ended.sort_unstable();
    assert_eq!(ended, [first.attempt, second.attempt]);
    assert!(harness.state.attempts.is_empty());
}

/// A request that may crash engines runs at one at a time.
#[test]
fn silent_suspect_is_not_sent_to_another() {
    let mut harness = Harness::example();
    let id = harness.arrive(VERSE, None);
    let other = harness.arrive(VERSE, None);
    let first = harness.dispatches(id)[0].clone();
    let crashed = harness.dispatches(other)[0].clone();
    harness.signal(&crashed, failed(true, 0));
    harness.signal(&first, silent(0));
    assert_eq!(resumed(&harness), [first.attempt]);
    assert_eq!(harness.dispatches(id).len(), 1);
}

/// An engine that pauses gets fewer new requests, whether or not another one can go on.
#[test]
fn silence_counts_against_its_engine() {
    let mut harness = with_engines(1);
    let service = "verse-scribe".into();
    let id = harness.arrive(VERSE, None);
    let first = harness.dispatches(id)[0].clone();
    harness.signal(&first, event::Signal::FirstToken);
    assert!(!harness.state.fleet.is_failing(&service));
    harness.signal(&first, silent(4));
    assert!(harness.state.fleet.is_failing(&service));
    (0..5).for_each(|_| harness.signal(&first, silent(4)));
    let upstream = &first.upstream;
    assert!(
        !harness.state.fleet.is_ejected(harness.now, upstream),
        "one silence counts once"
    );
}
