//! `guavactl apply` against the platform stand-in and its faults.

mod support;

use std::thread;

use guavactl::exit;
use rstest::rstest;

const CURRENT: &str = "config/current";

#[test]
fn apply_stores_and_records() {
    let session = support::Session::start("apply_stores_and_records");
    let ran = session.run("batu", "apply --json");
    assert_eq!(ran.exit, exit::Exit::Done, "{ran:?}");
    let json = ran.json();
    assert_eq!(json["outcome"], "accepted");
    assert_eq!(json["generation"], 1);
    let stored = session.read(CURRENT).expect("stored");
    assert_eq!(stored.version, 1);
    let kept = session.read("history/00000000000000000001").expect("kept");
    assert_eq!(kept.body, stored.body);
    let audit = session.run("batu", "audit --json").json();
    assert_eq!(audit[0]["outcome"], "accepted");
    assert_eq!(audit[0]["author"], "batu");
    assert_eq!(audit[0]["generation"], 1);
    assert_eq!(audit[0]["operation"], json["operation"]);
}

#[test]
fn apply_repeats_unchanged() {
    let session = support::Session::start("apply_repeats_unchanged");
    session.run("batu", "apply");
    let ran = session.run("batu", "apply");
    assert_eq!(ran.exit, exit::Exit::Done);
    assert!(ran.out.contains("unchanged: generation 1"), "{ran:?}");
    assert_eq!(session.read(CURRENT).expect("stored").version, 1);
    let audit = session.run("batu", "audit --json").json();
    assert_eq!(audit[0]["outcome"], "unchanged");
    assert_eq!(audit[1]["outcome"], "accepted");
}

/// Each write of the first apply loses its answer in turn: record, configuration, history, outcome.
#[rstest]
#[case::record(1)]
#[case::through_configuration(2)]
#[case::through_history(3)]
#[case::all(4)]
fn apply_survives_lost_answer(#[case] count: usize) {
    let session = support::Session::start(&format!("apply_survives_lost_answer_{count}"));
    session.fault(&format!("{{\"lose_next\":{count}}}"));
    let ran = session.run("batu", "apply");
    assert_eq!(ran.exit, exit::Exit::Done, "{ran:?}");
    assert!(ran.err.is_empty(), "{ran:?}");
    assert_eq!(session.read(CURRENT).expect("stored").version, 1);
    let audit = session.run("batu", "audit --json").json();
    assert_eq!(audit.as_array().expect("list").len(), 1);
    assert_eq!(audit[0]["outcome"], "accepted");
}

#[test]
fn apply_survives_failing_calls() {
    let session = support::Session::start("apply_survives_failing_calls");
    session.fault("{\"error_rate\":500}");
    let ran = session.run("batu", "apply");
    session.fault("{\"error_rate\":0}");
    assert_eq!(ran.exit, exit::Exit::Done, "{ran:?}");
    assert_eq!(session.read(CURRENT).expect("stored").version, 1);
}

#[rstest]
#[case::fails("{\"fail\":true}")]
#[case::resets("{\"reset_at\":\"before_body\"}")]
fn apply_reports_outage(#[case] fault: &str) {
    let session = support::Session::start("apply_reports_outage");
    session.fault(fault);
    let ran = session.run("batu", "apply --timeout 1");
    assert_eq!(ran.exit, exit::Exit::Unreachable);
    assert!(ran.err.contains("nothing was changed"), "{ran:?}");
    session.fault("{\"fail\":false,\"reset_at\":null}");
    assert!(session.read(CURRENT).is_none());
}

#[test]
fn apply_reports_refused_connection() {
    let session = support::Session::start("apply_reports_refused_connection");
    let address = session.address();
    session.handle.shutdown();
    let ran = support::run_at(address, "batu", "apply --timeout 1 --json");
    assert_eq!(ran.exit, exit::Exit::Unreachable);
    assert_eq!(ran.json()["status"], 4);
}

/// All operators read generation 1 before the first of them writes.
#[test]
fn apply_races() {
    const OPERATORS: u64 = 8;
    let session = support::Session::start("apply_races");
    session.run("batu", "apply");
    let before = session.calls("read");
    session.fault("{\"freeze\":true}");
    let apply = |i: u64| {
        let weight = format!("families = {{ weight = {}", i + 2);
        let text = support::edited("erdene", "families = { weight = 1", &weight);
        let path = session.overlay(&format!("{i}.toml"), &text);
        let line = format!("apply --generation 1 --json --overlay {path}");
        session.run(&format!("operator-{i}"), &line)
    };
    let ran: Vec<_> = thread::scope(|scope| {
        let apply = &apply;
        let all: Vec<_> = (0..OPERATORS)
            .map(|i| scope.spawn(move || apply(i)))
            .collect();
        while session.calls("read") < before + OPERATORS {
            thread::yield_now();
        }
        session.fault("{\"freeze\":false}");
        all.into_iter()
            .map(|one| one.join().expect("operator"))
            .collect()
    });
    let (won, lost): (Vec<_>, Vec<_>) = ran.iter().partition(|ran| ran.exit == exit::Exit::Done);
    assert_eq!(won.len(), 1, "{ran:#?}");
    let won = won[0].json();
    assert_eq!(won["generation"], 2);
    assert!(
        lost.iter().all(|ran| ran.exit == exit::Exit::Conflict),
        "{ran:#?}"
    );
    let told: Vec<_> = lost.iter().map(|ran| ran.json()).collect();
    let told: Vec<_> = told
        .iter()
        .filter(|json| json["winner"].is_object())
        .collect();
    assert!(!told.is_empty(), "{ran:#?}");
    for json in told {
        assert_eq!(json["winner"]["operation"], won["operation"]);
        assert_eq!(json["changes"][0]["path"], "workspaces.families.weight");
    }
    assert_eq!(session.read(CURRENT).expect("stored").version, 2);
    let audit = session.run("batu", "audit --json").json();
    let outcomes = audit.as_array().expect("list").iter();
    let conflicts = outcomes.filter(|record| record["outcome"] == "conflict");
    assert_eq!(conflicts.count(), lost.len());
}

#[test]
fn apply_expects_generation() {
    let session = support::Session::start("apply_expects_generation");
    session.run("batu", "apply");
    let ran = session.run("saran", "apply --generation 7");
    assert_eq!(ran.exit, exit::Exit::Conflict);
    assert!(
        ran.err
            .contains("generation 7 was expected, but 1 is stored"),
        "{ran:?}"
    );
}

#[test]
fn apply_refuses_other_site() {
    let session = support::Session::start("apply_refuses_other_site");
    session.run("batu", "apply");
    let line = format!("apply --overlay {}", support::example("tirta-sulam"));
    let ran = session.run("batu", &line);
    assert_eq!(ran.exit, exit::Exit::Refused);
    assert!(
        ran.err.contains("holds the declaration of `erdene`"),
        "{ran:?}"
    );
    assert_eq!(session.read(CURRENT).expect("stored").version, 1);
    let audit = session.run("batu", "audit --json").json();
    assert_eq!(audit[0]["outcome"], "refused");
}

#[test]
fn apply_records_refused_files() {
    let session = support::Session::start("apply_records_refused_files");
    let text = support::edited("erdene", "weight = 1", "weight = 0");
    let path = session.overlay("site.toml", &text);
    let ran = session.run("batu", &format!("apply --overlay {path}"));
    assert_eq!(ran.exit, exit::Exit::Refused);
    assert!(ran.err.contains("site.toml:44: `weight` is 0"), "{ran:?}");
    assert!(session.read(CURRENT).is_none());
    let audit = session.run("batu", "audit --json").json();
    assert_eq!(audit[0]["outcome"], "refused");
    assert!(audit[0]["detail"].to_string().contains("`weight` is 0"));
}
