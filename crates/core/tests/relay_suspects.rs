//! Crashes of engines that count against a request, and for how long.

mod relay_support;

use std::time::Duration;

use guavausher_core::relay::event::Signal;
use guavausher_core::relay::route::RetryPolicy;
use guavausher_core::relay::{crash_report, effect, engine, event, request, subject, suspects};
use guavausher_core::{name, refusal, time, verdict};
use relay_support::{Instance, START, at, engine, engines, name, new_request, refused, sent};
use rstest::rstest;

const CRASHER: subject::Subject = subject::Subject::Request(FINGERPRINT);
const FINGERPRINT: u64 = 77;
const PART: subject::Subject = subject::Subject::Part { service: 1, id: 77 };
const BROKEN: Signal = Signal::Broken { unanswered: false };

fn crasher(id: u64, now: time::Time, repeat: RetryPolicy) -> request::Request {
    request::Request {
        fingerprint: FINGERPRINT,
        ..new_request(id, now, repeat, 3)
    }
}

/// Returns a table in which three engines have crashed under a request.
fn blocked(now: time::Time) -> suspects::Suspects {
    let mut table = suspects::Suspects::default();
    for index in 0..3 {
        crash(&mut table, now, CRASHER, index);
    }
    table
}

/// Records that an engine crashed.
fn crash(table: &mut suspects::Suspects, now: time::Time, subject: subject::Subject, index: usize) {
    table.record_crash(now, subject, &name(&format!("e{index}")), 1, now);
    table.update_blocked(now);
}

/// Decides after many crashes, for which the table takes a moment, and returns the time.
fn decide(table: &mut suspects::Suspects, now: time::Time) -> time::Time {
    let decided_at = now.after(Duration::from_millis(100));
    table.update_blocked(decided_at);
    decided_at
}

fn report_of(suspects: Vec<crash_report::Suspect>) -> crash_report::CrashReport {
    crash_report::CrashReport {
        sender: name("front-9"),
        suspects,
    }
}

fn merge(table: &mut suspects::Suspects, now: time::Time, report: &[crash_report::Suspect]) {
    table.merge(now, &report_of(report.to_vec()));
    table.update_blocked(now);
}

/// Returns a list in which these engines have restarted.
fn list(restarted: &[usize]) -> Vec<engine::Engine> {
    let mut list: Vec<_> = (0..6).map(engine).collect();
    for index in restarted {
        list[*index].incarnation += 1;
    }
    list
}

fn crashes(effects: &[effect::Effect]) -> usize {
    let is_crash =
        |effect: &&effect::Effect| matches!(effect, effect::Effect::EngineCrashed { .. });
    effects.iter().filter(is_crash).count()
}

/// Sends a request, ends its attempt with the signal, and returns the index of its engine.
fn send(instance: &mut Instance, now: time::Time, id: u64, signal: Signal) -> usize {
    let engine = instance.send(now, crasher(id, now, RetryPolicy::Stream));
    instance.signal(now, id, signal);
    engine[1..].parse().unwrap()
}

/// Sends requests until one goes to this engine, which responds to it.
fn respond(instance: &mut Instance, now: time::Time, engine: &name::Name) {
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
fn crash_counted_after_restart(#[case] signal: Signal) {
    let mut instance = Instance::serving(0, 6);
    let index = send(&mut instance, at(0), 1, signal);
    let effects = instance.apply(at(500), engines(list(&[index])));
    assert_eq!(crashes(&effects), 1);
}

#[rstest]
#[case::whole(Signal::Whole { status: 200 })]
#[case::not_run(Signal::NotRun { status: 503, wait: None })]
#[case::unsent(Signal::Unsent)]
fn crash_not_counted_after_other_signals(#[case] signal: Signal) {
    let mut instance = Instance::serving(0, 6);
    let index = send(&mut instance, at(0), 1, signal);
    let effects = instance.apply(at(500), engines(list(&[index])));
    assert_eq!(crashes(&effects), 0);
}

/// An engine that has announced that it is leaving ends its requests without a crash.
#[test]
fn crash_not_counted_for_leaving_engine() {
    let mut instance = Instance::serving(0, 6);
    let engine = instance.send(at(0), crasher(1, at(0), RetryPolicy::Stream));
    let index: usize = engine[1..].parse().unwrap();
    let mut leaving = list(&[]);
    leaving[index].leaving = true;
    instance.apply(at(100), engines(leaving));
    let broken = instance.signal(at(2_000), 1, BROKEN);
    let gone = instance.apply(at(2_100), engines(list(&[index])));
    let later = instance.apply(at(5_000), event::Event::Tick);
    assert_eq!(crashes(&broken) + crashes(&gone) + crashes(&later), 0);
}

/// A broken connection is a crash only if the engine has not responded since, while others have.
#[rstest]
#[case::silent_while_others_respond(true, false, 1)]
#[case::responded_since(true, true, 0)]
#[case::all_silent(false, false, 0)]
fn crash_after_broken_connection(#[case] others: bool, #[case] same: bool, #[case] crashed: usize) {
    let mut instance = Instance::serving(0, 2);
    let engine = instance.send(at(0), crasher(1, at(0), RetryPolicy::Stream));
    instance.signal(at(10), 1, BROKEN);
    let all = [name("e0"), name("e1")];
    for responding in all
        .iter()
        .filter(|e| if **e == engine { same } else { others })
    {
        respond(&mut instance, at(50), responding);
    }
    let early = instance.apply(at(900), event::Event::Tick);
    let late = instance.apply(at(1_100), event::Event::Tick);
    assert_eq!((crashes(&early), crashes(&late)), (0, crashed));
}

/// A retry is not sent once the third crash is known, and the refusal states that the request may
/// have run.
#[test]
fn retry_not_sent_after_third_crash() {
    let mut instance = Instance::serving(0, 6);
    instance.send(at(0), crasher(1, at(0), RetryPolicy::ResumableStream));
    instance.state.suspects = blocked(at(0));
    let effects = instance.signal(at(10), 1, BROKEN);
    assert_eq!(sent(&effects), None);
    let refusal = refused(&effects).unwrap();
    assert_eq!(refusal.verdict, verdict::Verdict::MayHaveRun);
    let effects = instance.apply(
        at(20),
        event::Event::Arrived(crasher(2, at(20), RetryPolicy::Stream)),
    );
    let refusal = refused(&effects).unwrap();
    assert_eq!(refusal.code, refusal::Code::Suspect);
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
}

#[test]
fn merge_duplicate_reports_count_once() {
    let mut table = suspects::Suspects::default();
    let mut other = suspects::Suspects::default();
    for _ in 0..5 {
        crash(&mut table, START, CRASHER, 0);
        crash(&mut table, START, CRASHER, 1);
        merge(&mut other, START, &table.report(START));
        merge(&mut table, START, &other.report(START));
    }
    assert!(!table.is_blocked(START, CRASHER) && !other.is_blocked(START, CRASHER));
    other.record_crash(START, CRASHER, &name("e1"), 2, START);
    merge(&mut table, START, &other.report(START));
    assert!(table.is_blocked(START, CRASHER));
}

#[test]
fn success_clears_crashes_at_all_instances() {
    let mut table = blocked(START);
    let before = table.report(START);
    let mut other = suspects::Suspects::default();
    merge(&mut other, START, &before);
    assert!(other.is_blocked(START, CRASHER));
    table.record_success(START, CRASHER);
    table.update_blocked(START);
    merge(&mut other, START, &table.report(START));
    merge(&mut other, START, &before);
    merge(&mut table, START, &before);
    assert!(!table.is_blocked(START, CRASHER) && !other.is_blocked(START, CRASHER));
}

#[test]
fn success_before_report_clears_crashes() {
    let mut table = suspects::Suspects::default();
    table.record_success(START, CRASHER);
    merge(&mut table, START, &blocked(START).report(START));
    assert!(!table.is_blocked(START, CRASHER));
}

/// Crashes expire although two instances keep reporting them to each other.
#[test]
fn crashes_expire_despite_mutual_reports() {
    let mut now = START;
    let mut all = [blocked(now), suspects::Suspects::default()];
    while now < START.after(Duration::from_secs(700)) {
        let reports: Vec<_> = all.iter().map(|table| table.report(now)).collect();
        now = now.after(Duration::from_millis(300));
        merge(&mut all[0], now, &reports[1]);
        merge(&mut all[1], now, &reports[0]);
        let age = START.until(now);
        let blocked = all.iter().filter(|table| table.is_blocked(now, CRASHER));
        let blocked = blocked.count();
        assert!(age >= Duration::from_secs(598) || blocked == 2, "{age:?}");
    }
    assert!(all.iter().all(|table| !table.is_blocked(now, CRASHER)));
}

/// Crashes under many other requests neither evict a request nor keep it from being reported.
#[test]
fn report_keeps_request_with_most_crashes() {
    let mut table = blocked(START);
    for other in 0..1_000 {
        crash(
            &mut table,
            at(other),
            subject::Subject::Request(1_000 + other),
            9,
        );
    }
    let now = at(1_000);
    let reported = table.report(now);
    assert!(reported.iter().any(|suspect| suspect.subject == CRASHER));
    assert!(table.is_blocked(now, CRASHER));
}

/// The first crash of each of many requests is reported in time to be counted together with the
/// second.
#[test]
fn report_rotates_single_crashes() {
    let mut table = suspects::Suspects::default();
    for other in 0..200 {
        crash(&mut table, START, subject::Subject::Request(other), 9);
    }
    let rounds = (0..100).map(|round| at(round * 150));
    let reported = rounds.flat_map(|now| table.report(now));
    let known: std::collections::BTreeSet<_> = reported.map(|suspect| suspect.subject).collect();
    assert_eq!(known.len(), 200);
}

/// The size of a report that is merged is bounded.
#[test]
fn merge_truncates_oversized_report() {
    let mut table = suspects::Suspects::default();
    let crash = |id| crash_report::Crash {
        id,
        age_ms: if id == 0 { u64::MAX } else { id % 100 },
        is_cleared: id % 2 == 0,
    };
    let huge = crash_report::Suspect {
        subject: CRASHER,
        crashes: (0..10_000).map(crash).collect(),
        remaining_ms: u64::MAX,
    };
    table.merge(START, &report_of(vec![huge; 10_000]));
    let reported = table.report(START);
    assert_eq!(reported.len(), 1);
    assert!(reported[0].crashes.len() <= 8);
    assert!(reported[0].remaining_ms <= 600_000);
}

/// A part is blocked at the fourth crash.
#[test]
fn part_blocked_after_four_crashes() {
    let mut table = suspects::Suspects::default();
    for index in 0..4 {
        assert!(!table.is_blocked(START, PART));
        crash(&mut table, START, PART, index);
    }
    assert!(table.is_blocked(START, PART));
}

/// A sound part that ran beside a crashing one at each engine that crashed is not blocked, although
/// nothing could respond to a request with it.
#[test]
fn part_beside_crashing_one_not_blocked() {
    let other = subject::Subject::Part { service: 1, id: 78 };
    let mut table = suspects::Suspects::default();
    for index in 0..20 {
        crash(&mut table, START, PART, index);
        if index % 4 != 0 {
            crash(&mut table, START, other, index);
        }
    }
    let now = decide(&mut table, START);
    assert!(table.is_blocked(now, PART));
    assert!(!table.is_blocked(now, other));
    for index in 20..24 {
        crash(&mut table, now, other, index);
    }
    let now = decide(&mut table, now);
    assert!(table.is_blocked(now, other), "a second crashing part");
}

/// Engines of a failure domain crash at the same moment; a part that ran at a quarter of them is not
/// the cause, and one that ran at all of them is.
#[test]
fn part_at_few_engines_of_crashed_domain_not_blocked() {
    let mut table = suspects::Suspects::default();
    for index in 0..20 {
        let own = subject::Subject::Request(1_000 + index as u64);
        crash(&mut table, at(index as u64), own, index);
        if index % 4 == 0 {
            crash(&mut table, at(index as u64), PART, index);
        }
    }
    let now = decide(&mut table, at(20));
    assert!(!table.is_blocked(now, PART));
    let other = subject::Subject::Part { service: 1, id: 78 };
    (0..20).for_each(|index| crash(&mut table, at(index as u64), other, index));
    let now = decide(&mut table, now);
    assert!(table.is_blocked(now, other));
}

/// The same part at another service is another part.
#[test]
fn part_of_other_service_not_blocked() {
    let mut table = suspects::Suspects::default();
    (0..4).for_each(|index| crash(&mut table, START, PART, index));
    let other = subject::Subject::Part { service: 2, id: 77 };
    assert!(!table.is_blocked(START, other));
}

/// A part that was sound and begins to crash engines is blocked all the same.
#[test]
fn part_that_was_sound_blocked_after_crashes() {
    let mut table = suspects::Suspects::default();
    table.record_success(START, PART);
    (0..4).for_each(|index| crash(&mut table, at(2_500), PART, index));
    assert!(table.is_blocked(at(2_500), PART));
}

/// A response that ends with its connection excuses a request only once the engine responds again.
#[rstest]
#[case::engine_gone(false)]
#[case::engine_responds(true)]
fn response_ending_with_connection_excuses_if_engine_lives(#[case] responds: bool) {
    let mut instance = Instance::serving(0, 2);
    instance.state.suspects = blocked(at(0));
    instance.state.suspects.record_success(at(0), CRASHER);
    instance.state.suspects.update_blocked(at(0));
    let engine = instance.send(at(10), crasher(1, at(10), RetryPolicy::Stream));
    let closed = instance.signal(at(20), 1, Signal::WholeAtClose { status: 200 });
    assert_eq!(crashes(&closed), 0);
    if responds {
        respond(&mut instance, at(30), &engine);
    }
    let index: usize = engine[1..].parse().unwrap();
    let later = instance.apply(at(500), engines(list(&[index])));
    assert_eq!(crashes(&later), usize::from(!responds));
}

/// The crash that another instance has seen counts against what this one ran at the engine.
#[test]
fn crash_counted_after_report_of_other_instance() {
    let mut instance = Instance::serving(0, 6);
    let index = send(&mut instance, at(0), 1, BROKEN);
    let mut other = suspects::Suspects::default();
    let engine = name(&format!("e{index}"));
    other.record_crash(at(10), PART, &engine, 1, at(10));
    let report = crash_report::CrashReport {
        sender: name("front-7"),
        suspects: other.report(at(10)),
    };
    let effects = instance.apply(at(50), event::Event::CrashReport(report.clone()));
    assert_eq!(crashes(&effects), 1);
    let again = instance.apply(at(60), event::Event::CrashReport(report));
    assert_eq!(crashes(&again), 0);
}

/// A response that a second engine only continued does not show that the request is sound; one that
/// it made as a whole does.
#[rstest]
#[case::continued(true, 3)]
#[case::whole(false, 0)]
fn continued_response_does_not_excuse(#[case] is_continued: bool, #[case] counted: usize) {
    let mut instance = Instance::serving(0, 6);
    instance.send(at(0), crasher(1, at(0), RetryPolicy::ResumableStream));
    if is_continued {
        instance.signal(at(10), 1, Signal::First);
    }
    let effects = instance.signal(at(20), 1, BROKEN);
    assert!(sent(&effects).is_some());
    let mut suspects = suspects::Suspects::default();
    for index in 0..3 {
        let engine = name(&format!("x{index}"));
        let known = suspects.record_crash(at(30), CRASHER, &engine, 1, at(30));
        assert_eq!(known, index + 1);
    }
    instance.state.suspects = suspects;
    instance.signal(at(40), 1, Signal::First);
    instance.signal(at(50), 1, Signal::Whole { status: 200 });
    let report = instance.state.suspects.report(at(60));
    let crashes = report[0].crashes.iter();
    assert_eq!(crashes.filter(|crash| !crash.is_cleared).count(), counted);
}

/// Guards against instances that all write the crashes that each has seen, and conflict for many seconds.
#[rstest]
#[case::two(&[0, 100], false)]
#[case::three(&[0, 100, 200], true)]
#[case::over_a_while(&[0, 1_300, 2_600], false)]
fn crashes_of_many_engines_make_a_storm(#[case] crashes: &[u64], #[case] is_storm: bool) {
    let mut table = suspects::Suspects::default();
    for (index, millis) in crashes.iter().enumerate() {
        crash(&mut table, at(*millis), CRASHER, index);
    }
    let last = at(crashes[crashes.len() - 1]);
    assert_eq!(table.is_storm(last), is_storm);
    assert!(!table.is_storm(last.after(Duration::from_secs(3))));
}
