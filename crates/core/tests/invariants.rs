//! Invariants of three entries that share one store, under any sequence of events.

mod harness;

#[path = "invariants/audit.rs"]
mod audit;
#[path = "invariants/node.rs"]
mod node;
#[path = "invariants/platform.rs"]
mod platform;
#[path = "invariants/simulation.rs"]
mod simulation;
#[path = "invariants/step.rs"]
mod step;

use std::time::Duration;

use guavausher_core::{event, fact, name, peering, poison, request, store, verdict};
use proptest::prelude::*;
use proptest::test_runner;
use rstest::rstest;
use step::{Kind, Signal, Step};

const CASES: u32 = 60;
const KIOSKS: [&str; 3] = ["kiosk-1", "kiosk-2", "kiosk-3"];
/// Runs after which the entry expects a short wait for a slot.
const SHORT_RUNS: u32 = 40;
const STEPS: usize = 200;

fn env_number<T: std::str::FromStr>(variable: &str, default: T) -> T {
    let value = std::env::var(variable).ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

fn config() -> test_runner::Config {
    test_runner::Config {
        cases: env_number("SOAK_CASES", CASES),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        rng_seed: test_runner::RngSeed::Fixed(env_number("SOAK_SEED", 1)),
        ..test_runner::Config::default()
    }
}

/// Short sequences that once violated an invariant.
#[rstest]
#[case::restarted_entry_reads_the_list_once(
    true,
    vec![Step::Restart { entry: 0 }, Step::Wait { millis: 5_000 }]
)]
#[case::keyed_request_is_not_claimed_after_its_deadline(
    false,
    vec![
        Step::Leaving { entry: 0, upstream: 2 },
        Step::ChangeList { upstream: 3, leaving: true, next: false },
        Step::Wait { millis: 1_000 },
        Step::Arrive { entry: 1, kind: Kind::Keyed { key: 0 }, body: 0 },
        Step::Quiesce,
        Step::Signal { pick: 0, signal: Signal::Refused },
        Step::Arrive { entry: 1, kind: Kind::Keyed { key: 0 }, body: 0 },
        Step::Wait { millis: 5_001 },
    ]
)]
fn replay_holds_all_invariants(#[case] deduplicates: bool, #[case] steps: Vec<Step>) {
    let domains = node::APART;
    let mut simulation = simulation::Simulation::new(simulation::Options {
        deduplicates,
        domains,
    });
    steps.into_iter().for_each(|step| simulation.step(step));
    simulation.finish();
    assert_eq!(simulation.faults, Vec::<String>::new());
}

/// The last of several attempts was not run, but an earlier one may have run.
#[test]
fn fail_after_possible_run_never_reports_not_run() {
    let mut harness = harness::Harness::example();
    let id = harness.arrive(harness::VERSE, None);
    let mut verdict = verdict::Verdict::MayHaveRun;
    while harness.refusals(id).is_empty() {
        let last = harness.dispatches(id).pop().expect("a dispatch");
        harness.fail(&last, verdict, false);
        verdict = verdict::Verdict::NotRun;
    }
    assert!(harness.dispatches(id).len() > 1);
    assert_eq!(
        harness.refusals(id)[0].verdict,
        verdict::Verdict::MayHaveRun
    );
}

/// A request backs off, becomes suspect and then waits for a turn that another entry never grants.
#[test]
fn tick_at_deadline_refuses_quarantined_request() {
    let mut declaration = harness::declaration();
    let kept = ["verse-1", "verse-2"];
    declaration
        .upstreams
        .retain(|u| kept.contains(&u.name.as_str()));
    let mut harness = harness::Harness::with_declaration(&declaration);
    let other = store::Instance {
        name: name::Name::from("entry-2"),
        address: node::address(1),
        domain: name::Name::from("tolgoit"),
        kind: name::Name::from("entry"),
        leaving: false,
        incarnation: 1,
    };
    let members = serde_json::to_vec(&[other]).expect("a list");
    harness.publish(peering::Topic::Members, 1, members);
    for _ in 0..SHORT_RUNS {
        let id = harness.arrive(harness::VERSE, None);
        let sent = harness.dispatches(id).pop().expect("a dispatch");
        harness.advance(20);
        harness.finish(&sent);
    }
    let id = harness.arrive_with(harness::VERSE, None, 7);
    for _ in kept {
        let last = harness.dispatches(id).pop().expect("a dispatch");
        harness.signal(&last, event::Signal::Refused);
    }
    let fact = fact::Fact::Suspect {
        fingerprint: 7,
        upstream: name::Name::from("verse-9"),
    };
    let expiry = harness.now.after(Duration::from_secs(600));
    harness.event(event::Event::Peer(peering::Input::AddFact { fact, expiry }));
    let stage =
        |harness: &harness::Harness| format!("{:?}", harness.state.active_requests[&id].stage);
    assert!(
        stage(&harness).starts_with("Backoff"),
        "{}",
        stage(&harness)
    );
    harness.advance(200);
    assert_eq!(stage(&harness), "Quarantined");
    harness.advance(8_000);
    assert_eq!(harness.dispatches(id).len(), kept.len());
    assert_eq!(harness.refusals(id).len(), 1);
}

/// A keyed request backs off before its claim or its lookup of an earlier run, and then the store
/// does not reply.
#[rstest]
#[case::claimed(false, "Claiming")]
#[case::looked_up(true, "LookingUp")]
fn tick_at_deadline_refuses_request_that_waits_for_store(
    #[case] leaving: bool,
    #[case] expected: &str,
) {
    let mut harness = harness::Harness::example();
    let first = harness.arrive(harness::CANDLE, Some("first"));
    harness.serve_ledger(&mut harness::ObjectStore::default());
    for _ in KIOSKS {
        let last = harness.dispatches(first).pop().expect("a dispatch");
        harness.signal(&last, event::Signal::Refused);
    }
    let deadline = harness.now.after(Duration::from_millis(1_500));
    let second = request::Request {
        id: 100,
        key: Some(name::Name::from("second")),
        deadline: Some(deadline),
        ..harness.state.active_requests[&first].request.clone()
    };
    let id = second.id;
    harness.event(event::Event::Arrived(second));
    let stage =
        |harness: &harness::Harness| format!("{:?}", harness.state.active_requests[&id].stage);
    assert!(
        stage(&harness).starts_with("Backoff"),
        "{}",
        stage(&harness)
    );
    for upstream in KIOSKS.into_iter().filter(|_| leaving) {
        let upstream = name::Name::from(upstream);
        let incarnation = 1;
        let expiry = harness.now.after(Duration::from_secs(600));
        let fact = fact::Fact::Leaving {
            upstream,
            incarnation,
        };
        harness.event(event::Event::Peer(peering::Input::AddFact { fact, expiry }));
    }
    while stage(&harness).starts_with("Backoff") {
        harness.advance(100);
    }
    assert!(stage(&harness).starts_with(expected), "{}", stage(&harness));
    while harness.now < deadline {
        assert!(harness.refusals(id).is_empty());
        harness.advance(100);
    }
    assert_eq!(harness.refusals(id).len(), 1);
    assert_eq!(harness.refusals(id)[0].verdict, verdict::Verdict::NotRun);
}

/// A turn that another entry granted is not requested again while it lasts.
#[test]
fn admit_again_with_granted_turn_asks_for_no_other() {
    let owner = name::Name::from("entry-2");
    let mut quarantine = poison::Quarantine::new(name::Name::from("entry-1"));
    quarantine.set_members([&owner]);
    let now = harness::START;
    quarantine.upstream_crashed(now, 7, 1, &name::Name::from("engine-1"));
    let later = now.after(Duration::from_secs(1));
    assert_eq!(
        quarantine.admit(later, 7, 2).decision,
        poison::Decision::Wait
    );
    let run = poison::Run {
        fingerprint: 7,
        request: 2,
    };
    let effects = quarantine.receive(later, &owner, poison::Message::Grant(run));
    assert_eq!(effects, vec![poison::Effect::StartIsolated(2)]);
    let soon = later.after(Duration::from_millis(100));
    let again = quarantine.admit(soon, 7, 2);
    assert_eq!(
        (again.decision, again.effects),
        (poison::Decision::Isolated, vec![])
    );
}

/// A request that finds no upstream in its turn keeps it, and asks for another once it has ended.
#[test]
fn admit_again_in_own_turn_asks_for_no_other() {
    let own = name::Name::from("entry-1");
    let mut quarantine = poison::Quarantine::new(own);
    let now = harness::START;
    quarantine.upstream_crashed(now, 7, 1, &name::Name::from("engine-1"));
    for millis in [1_000, 1_100, 9_000] {
        let later = now.after(Duration::from_millis(millis));
        assert_eq!(
            quarantine.admit(later, 7, 2).decision,
            poison::Decision::Isolated
        );
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn reduce_holds_all_invariants(
        deduplicates in prop::bool::weighted(0.25),
        domains in prop::sample::select(vec![node::APART, node::TOGETHER]),
        steps in prop::collection::vec(step::step(), 1..STEPS),
    ) {
        let mut simulation =
            simulation::Simulation::new(simulation::Options { deduplicates, domains });
        for step in steps {
            simulation.step(step);
            prop_assert!(simulation.faults.is_empty(), "{}", simulation.faults.join("; "));
        }
        simulation.finish();
        prop_assert!(simulation.faults.is_empty(), "{}", simulation.faults.join("; "));
    }
}
