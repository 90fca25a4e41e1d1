//! Probes of blocked requests and parts of prompts, and blocks over a kill of all instances.

mod relay_support;

use std::time::Duration;

use guavausher_core::relay::event::Signal;
use guavausher_core::relay::route::RetryPolicy;
use guavausher_core::relay::{
    crash_report, effect, engine, event, message, probes, request, subject, suspects,
};
use guavausher_core::time;
use relay_support::fleet::{Fleet, Network, STEP};
use relay_support::{Instance, START, at, engine, engines, name, new_request, refused, sent};
use rstest::rstest;

const FINGERPRINT: u64 = 77;
const CRASHER: subject::Subject = subject::Subject::Request(FINGERPRINT);
const PART: subject::Subject = subject::Subject::Part { service: 1, id: 77 };
const TICK: event::Event = event::Event::Tick;

fn crasher(id: u64, now: time::Time) -> request::Request {
    request::Request {
        fingerprint: FINGERPRINT,
        ..new_request(id, now, RetryPolicy::Stream, 1)
    }
}

/// Returns another instance's report of crashes of the request, `age_ms` ago.
fn report(age_ms: u64) -> event::Event {
    let crash = |id| crash_report::Crash {
        id,
        age_ms: age_ms + id * 400,
        is_cleared: false,
    };
    event::Event::CrashReport(crash_report::CrashReport {
        sender: name("front-7"),
        suspects: vec![crash_report::Suspect {
            subject: CRASHER,
            crashes: (0..3).map(crash).collect(),
            remaining_ms: 600_000 - age_ms,
        }],
    })
}

/// Returns an instance at which the request is blocked, and is due to be probed.
fn blocked() -> Instance {
    let mut instance = Instance::serving(0, 6);
    instance.apply(at(0), report(11_000));
    instance
}

fn arrive(instance: &mut Instance, now: time::Time, id: u64) -> Vec<effect::Effect> {
    instance.apply(now, event::Event::Arrived(crasher(id, now)))
}

/// A request waits until all bids are known, and is then sent to the engine with the least work.
/// Guards against a block that nothing lifts, since no request is sent any more.
#[test]
fn probe_sent_to_engine_with_least_work() {
    let mut instance = Instance::serving(0, 3);
    for id in 100..102 {
        instance.send(at(0), new_request(id, at(0), RetryPolicy::Stream, 1));
    }
    let busy: Vec<_> = instance.state.fleet.loads();
    instance.apply(at(0), report(11_000));
    let waiting = arrive(&mut instance, at(10), 1);
    assert!(sent(&waiting).is_none() && refused(&waiting).is_none());
    let other = arrive(&mut instance, at(20), 2);
    assert!(refused(&other).is_some(), "one request waits");
    let early = instance.apply(at(1_500), TICK);
    assert!(sent(&early).is_none());
    let effects = instance.apply(at(1_700), TICK);
    let engine = sent(&effects).expect("the probe");
    assert!(busy.iter().all(|load| load.engine != engine));
    instance.signal(at(1_800), 1, Signal::First);
    instance.signal(at(1_900), 1, Signal::Whole { status: 200 });
    assert!(!instance.state.suspects.is_blocked(at(1_900), CRASHER));
    let next = arrive(&mut instance, at(2_000), 3);
    assert!(sent(&next).is_some());
}

/// Guards against probes that follow each other at once while engines crash under them.
#[test]
fn probes_end_after_two_crashes() {
    let mut instance = blocked();
    let mut probes = Vec::new();
    let mut listed: Vec<_> = (0..6).map(engine).collect();
    for step in 0..5_000 {
        let now = at(step * 100);
        let id = 1 + step;
        let arrived = arrive(&mut instance, now, id);
        let ticked = instance.apply(now, TICK);
        for effect in arrived.iter().chain(&ticked) {
            let effect::Effect::Send { request, dispatch } = effect else {
                continue;
            };
            probes.push(step * 100);
            instance.signal(now, *request, Signal::Broken { unanswered: true });
            let crashed = |e: &&mut engine::Engine| e.name == dispatch.choice.engine;
            listed
                .iter_mut()
                .filter(crashed)
                .for_each(|e| e.incarnation += 1);
        }
        instance.apply(now, engines(listed.clone()));
    }
    assert_eq!(probes.len(), 2, "{probes:?}");
    assert!(probes[1] - probes[0] >= 60_000);
}

/// Which engines crash beside that of a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loss {
    /// So many others at the same moment.
    Others(usize),
    /// All others, some seconds before.
    OthersBefore,
}

/// Time from the moment at which engines crash under a probe until their new incarnations are listed, in milliseconds.
const LISTED_AGAIN: u64 = 4_500;

/// Sends the first probe of six engines and loses engines while it runs, and again under each further probe. Returns
/// when the next probes are sent in 400 s, in milliseconds after the first loss.
fn next_probes(loss: Loss) -> Vec<u64> {
    const FIRST_LOSS: u64 = 15_000;
    /// Time that a probe runs until its engine crashes, in milliseconds.
    const RUN: u64 = 3_000;
    let mut instance = Instance::serving(0, 6);
    let mut listed: Vec<_> = (0..6).map(engine).collect();
    instance.apply(at(10_000), report(11_000));
    arrive(&mut instance, at(10_000), 1);
    let effects = instance.apply(at(11_700), TICK);
    let mut probe = Some((1, sent(&effects).expect("the first probe")));
    let mut lost_at = FIRST_LOSS;
    let mut sent_at = Vec::new();
    for now in (11_800..400_000).step_by(100) {
        if loss == Loss::OthersBefore && now == FIRST_LOSS - RUN {
            let (_, ran) = probe.as_ref().expect("the first probe runs");
            lose(&mut listed, ran, 5);
            listed
                .iter_mut()
                .filter(|e| e.name == *ran)
                .for_each(|e| e.incarnation -= 1);
            instance.apply(at(now), engines(listed.clone()));
        }
        if let Some((id, ran)) = probe.take_if(|_| now == lost_at) {
            instance.signal(at(now), id, Signal::Broken { unanswered: true });
            let others = match loss {
                Loss::Others(count) => count,
                Loss::OthersBefore => 0,
            };
            lose(&mut listed, &ran, others);
        }
        if now == lost_at + LISTED_AGAIN {
            instance.apply(at(now), engines(listed.clone()));
        }
        let mut effects = arrive(&mut instance, at(now), 10 + now);
        effects.extend(instance.apply(at(now), TICK));
        for effect in effects {
            if let effect::Effect::Send { request, dispatch } = effect {
                sent_at.push(now - FIRST_LOSS);
                probe = Some((request, dispatch.choice.engine));
                lost_at = now + RUN;
            }
        }
    }
    sent_at
}

/// Starts an engine and so many others anew.
fn lose(listed: &mut [engine::Engine], ran: &str, others: usize) {
    let (own, rest): (Vec<_>, Vec<_>) = listed.iter_mut().partition(|e| &*e.name == ran);
    let lost = own.into_iter().chain(rest.into_iter().take(others));
    lost.for_each(|engine| engine.incarnation += 1);
}

/// Review case 12: all engines of a service crashed again while a probe ran, and its sound requests were refused for a
/// minute (Starved).
#[test]
fn probe_lost_with_most_engines_followed_soon() {
    /// Time from the crash until engines are listed again, and for a bid, in milliseconds.
    const SOON: u64 = LISTED_AGAIN + 2_000;
    for others in 3..6 {
        let sent_at = next_probes(Loss::Others(others));
        assert!(sent_at[0] <= SOON, "{others}: {sent_at:?}");
    }
}

/// Guards against probes that follow each other soon although the request may be the cause.
#[rstest]
#[case::alone(Loss::Others(0))]
#[case::with_one(Loss::Others(1))]
#[case::after_the_others(Loss::OthersBefore)]
fn probe_lost_with_few_engines_followed_late(#[case] loss: Loss) {
    let sent_at = next_probes(loss);
    assert!(sent_at[0] >= 60_000, "{sent_at:?}");
}

/// Guards against more than two probes, whatever crashes with them.
#[test]
fn probes_lost_with_most_engines_end_after_two() {
    let sent_at = next_probes(Loss::Others(5));
    assert_eq!(sent_at.len(), 1, "{sent_at:?}");
}

/// Guards against a block that stays since its probe could not be sent.
#[test]
fn probe_that_reached_no_engine_does_not_count() {
    let mut instance = blocked();
    for turn in 0..4 {
        let now = at(turn * 4_000);
        let waiting = arrive(&mut instance, now, turn + 1);
        assert!(refused(&waiting).is_none(), "turn {turn}");
        let effects = instance.apply(now.after(Duration::from_millis(1_700)), TICK);
        assert!(sent(&effects).is_some());
        let now = now.after(Duration::from_millis(1_800));
        let signal = Signal::NotRun {
            status: 503,
            wait: Some(Duration::from_millis(50)),
        };
        instance.signal(now, turn + 1, signal);
    }
}

/// Many instances have such a request at the same time, and one of them sends it. Guards against
/// probes that are counted by each instance for itself.
#[rstest]
#[case(9, 3)]
#[case(75, 3)]
#[case(295, 5)]
fn one_instance_of_fleet_sends_probe(#[case] size: usize, #[case] domains: usize) {
    let mut fleet = Fleet::new(
        size,
        domains,
        Network {
            lost: 20,
            duplicated: 20,
        },
    );
    fleet.run_for(Duration::from_secs(4));
    fleet.take_effects();
    fleet.apply_all(&report(11_000));
    let mut sent = Vec::new();
    for step in 0..8_000 / STEP {
        for index in 0..size {
            let now = fleet.now();
            let effects = match (step as usize + index).is_multiple_of(size.min(20)) {
                true => arrive(fleet.instance(index), now, 1_000_000 + step),
                false => Vec::new(),
            };
            sent.extend(sends(index, &effects));
        }
        fleet.step();
        for (index, effects) in fleet.take_effects() {
            sent.extend(sends(index, &effects));
        }
    }
    assert_eq!(sent.len(), 1, "{sent:?}");
    let (index, id) = sent[0];
    let now = fleet.now();
    fleet.instance(index).signal(now, id, Signal::First);
    let whole = Signal::Whole { status: 200 };
    fleet.instance(index).signal(now, id, whole);
    fleet.run_for(Duration::from_secs(5));
    let now = fleet.now();
    let blocked = fleet
        .states()
        .filter(|s| s.suspects.is_blocked(now, CRASHER));
    assert_eq!(blocked.count(), 0, "lifted at all instances");
}

fn sends(index: usize, effects: &[effect::Effect]) -> Vec<(usize, u64)> {
    let requests = effects.iter().filter_map(|effect| match effect {
        effect::Effect::Send { request, .. } => Some((index, *request)),
        _ => None,
    });
    requests.collect()
}

/// Engines of a failure domain that crash within a second are one piece of evidence; those of
/// several domains are not.
#[rstest]
#[case::one_domain([0, 3, 6, 9, 12, 15], false)]
#[case::all_domains([0, 1, 2, 3, 4, 5], true)]
fn crashes_of_lost_domain_count_once(#[case] crashed: [usize; 6], #[case] is_blocked: bool) {
    let mut table = suspects::Suspects::default();
    let all: Vec<_> = (0..18).map(|index| engine_in(index, index % 3)).collect();
    table.record_engines(START, &all);
    for (place, index) in (0..).zip(crashed) {
        let now = at(place * 150);
        table.record_crash(now, PART, &all[index].name, 1, now);
    }
    table.update_blocked(at(1_000));
    assert_eq!(table.is_blocked(at(1_000), PART), is_blocked);
}

/// Where all engines run in one domain, what runs at all of them may be the cause.
#[test]
fn crashes_in_only_domain_count_each() {
    let mut table = suspects::Suspects::default();
    let all: Vec<_> = (0..6).map(|index| engine_in(index, 0)).collect();
    table.record_engines(START, &all);
    for engine in &all {
        table.record_crash(START, PART, &engine.name, 1, START);
    }
    table.update_blocked(START);
    assert!(table.is_blocked(START, PART));
    let early = START.after(Duration::from_secs(1));
    assert!(table.is_probe_due(early, PART), "may have a common cause");
}

fn engine_in(index: usize, domain: usize) -> engine::Engine {
    engine::Engine {
        domain: name(&format!("d{domain}")),
        ..engine(index)
    }
}

/// What is blocked is blocked again, with its probes counted, by what the store has kept. Guards
/// against three more engines that crash after a kill of all instances.
#[test]
fn saved_suspects_restored() {
    let mut before = blocked();
    arrive(&mut before, at(0), 1);
    let sent_probe = before.apply(at(1_700), TICK);
    assert!(sent(&sent_probe).is_some());
    let now = at(2_000);
    let clock = &before.state.clock;
    let saved = before.state.suspects.save(now, |at| clock.unix_micros(at));
    assert_eq!(saved.len(), 1);
    assert_eq!((saved[0].crashes.len(), saved[0].probes), (3, 1));
    let mut after = Instance::serving(1, 6);
    after.apply(now, event::Event::SavedSuspects(saved.clone()));
    assert!(after.state.suspects.is_blocked(now, CRASHER));
    assert_eq!(after.state.suspects.own_evidence, 0);
    let effects = arrive(&mut after, at(5_000), 2);
    assert!(
        refused(&effects).is_some(),
        "the next probe is due after 60 s"
    );
    let clock = &after.state.clock;
    let again = after.state.suspects.save(now, |at| clock.unix_micros(at));
    assert!(again[0].is_equivalent(&saved[0]));
}

/// Saved blocks expire with their last crash.
#[test]
fn saved_suspects_expire() {
    let before = blocked();
    let clock = &before.state.clock;
    let saved = before
        .state
        .suspects
        .save(at(0), |at| clock.unix_micros(at));
    let mut after = Instance::serving(1, 6);
    let late = at(595_000);
    after.apply(late, event::Event::SavedSuspects(saved));
    assert!(!after.state.suspects.is_blocked(late, CRASHER));
}

/// Instances of the build before decode messages by the position of their kind.
#[test]
fn message_kinds_keep_their_positions() {
    let report = crash_report::CrashReport {
        sender: name("front-7"),
        suspects: Vec::new(),
    };
    let bid = probes::Bid {
        subject: CRASHER,
        number: 1,
        sent: 0,
        bidder: 2,
        age_ms: 3,
        result: probes::ProbeResult::Open,
    };
    let messages = [
        message::Message::CrashReport(report),
        message::Message::Bids(vec![bid]),
    ];
    let first = messages.map(|message| {
        let bytes = bincode::serde::encode_to_vec(&message, bincode::config::standard());
        bytes.unwrap()[0]
    });
    assert_eq!(first, [5, 6]);
}
