//! Runs against the stand-ins.

use std::net;
use std::process;

use guavausher_load::run;
use guavausher_load::scenario;
use guavausher_load::tally;
use guavausher_standins::engine;
use guavausher_standins::handle;
use guavausher_standins::service;
use oxhttp::model;
use rstest::rstest;

const COUNT: u64 = 20;

fn engine() -> handle::Handle {
    engine::start(engine::Config {
        token_ms: 1,
        ..engine::Config::default()
    })
    .unwrap()
}

fn scenario(targets: &[net::SocketAddr], kind: &str) -> String {
    format!(
        "targets = {:?}\nrate = {COUNT}\nduration = 1\nseed = 7\narrivals = \"even\"\n\
         timeout = 20\n[[requests]]\npath = \"/v1/chat\"\n{kind}\n",
        targets.iter().map(ToString::to_string).collect::<Vec<_>>()
    )
}

fn run(targets: &[net::SocketAddr], kind: &str) -> tally::Tally {
    let scenario = scenario::Scenario::parse(&scenario(targets, kind)).unwrap();
    run::run(&scenario).unwrap()
}

fn set_faults(address: net::SocketAddr, faults: &'static str) {
    let request = model::Request::post(format!("http://{address}/standin/faults"));
    let request = request.body(model::Body::from(faults)).unwrap();
    assert_eq!(
        oxhttp::Client::new().request(request).unwrap().status(),
        200
    );
}

#[derive(Debug, PartialEq)]
struct Counts {
    ok: u64,
    refused: u64,
    failed: u64,
    truncated: u64,
    duplicate: u64,
    missing: u64,
    good: u64,
}

const NONE: Counts = Counts {
    ok: 0,
    refused: 0,
    failed: 0,
    truncated: 0,
    duplicate: 0,
    missing: 0,
    good: 0,
};

#[rstest]
#[case::whole("{}", Counts { ok: COUNT, good: COUNT, ..NONE })]
#[case::leaving(r#"{"leave":true}"#, Counts { refused: COUNT, ..NONE })]
#[case::failing(r#"{"fail":true}"#, Counts { failed: COUNT, ..NONE })]
#[case::cut_before(r#"{"reset_at":"before_body"}"#, Counts { failed: COUNT, ..NONE })]
#[case::cut_headers(r#"{"reset_at":"after_headers"}"#, Counts { truncated: COUNT, ..NONE })]
#[case::cut_token(r#"{"reset_at":{"token":2}}"#, Counts { truncated: COUNT, ..NONE })]
#[case::truncated(r#"{"truncate_at":2}"#, Counts { truncated: COUNT, ..NONE })]
#[case::doubled(
    r#"{"duplicate_tokens":true}"#,
    Counts { ok: COUNT, duplicate: 4 * COUNT, good: COUNT, ..NONE }
)]
fn run_counts_ends(#[case] faults: &'static str, #[case] counts: Counts) {
    let engine = engine();
    set_faults(engine.address(), faults);
    let tally = run(&[engine.address()], "max_tokens = 4");
    let got = Counts {
        ok: tally.ok,
        refused: tally.refused,
        failed: tally.failed,
        truncated: tally.truncated,
        duplicate: tally.duplicate,
        missing: tally.missing,
        good: tally.good,
    };
    assert_eq!((tally.sent, tally.unsent, got), (COUNT, 0, counts));
}

#[test]
fn run_measures_stream() {
    let engines = [engine(), engine()];
    let tally = run(
        &engines.each_ref().map(handle::Handle::address),
        "max_tokens = 4",
    );
    assert_eq!((tally.first.len(), tally.gap.len()), (COUNT, 3 * COUNT));
    assert_eq!((tally.answer.len(), tally.tokens), (0, 4 * COUNT));
    assert!(tally.gap.max() >= 1_000);
}

#[rstest]
#[case::none(0)]
#[case::once(1)]
fn run_skips_dead_target(#[case] reconnects: u32) {
    let dead = engine();
    let live = engine();
    let text = scenario(&[dead.address(), live.address()], "max_tokens = 4");
    dead.shutdown();
    let text = format!("reconnects = {reconnects}\n{text}");
    let tally = run::run(&scenario::Scenario::parse(&text).unwrap()).unwrap();
    assert_eq!(tally.ok + tally.unreached, COUNT);
    assert_eq!(tally.unreached == 0, reconnects > 0);
}

#[rstest]
#[case::none(0, 0)]
#[case::once(1, COUNT)]
fn run_reconnects(#[case] reconnects: u32, #[case] again: u64) {
    let engine = engine();
    set_faults(engine.address(), r#"{"truncate_at":2}"#);
    let text = scenario(&[engine.address()], "max_tokens = 4");
    let text = format!("reconnects = {reconnects}\n{text}");
    let tally = run::run(&scenario::Scenario::parse(&text).unwrap()).unwrap();
    assert_eq!((tally.truncated, tally.reconnects), (COUNT, again));
}

#[rstest]
#[case::keyed("key = true", COUNT as usize, 1)]
#[case::keyless("key = false", 1, COUNT)]
fn run_sends_key(#[case] kind: &str, #[case] keys: usize, #[case] count: u64) {
    let service = service::start(service::Config::default()).unwrap();
    let tally = run(&[service.address()], kind);
    assert_eq!((tally.ok, tally.answer.len()), (COUNT, COUNT));
    let request = model::Request::get(format!("http://{}/standin/runs", service.address()));
    let request = request.body(model::Body::empty()).unwrap();
    let body = oxhttp::Client::new()
        .request(request)
        .unwrap()
        .into_body()
        .to_string()
        .unwrap();
    let runs = serde_json::from_str::<serde_json::Value>(&body).unwrap();
    let runs = runs.as_object().unwrap();
    assert_eq!(runs.len(), keys);
    assert!(runs.values().all(|runs| *runs == count));
}

#[test]
fn run_stops_at_timeout() {
    let engine = engine();
    set_faults(engine.address(), r#"{"freeze":true}"#);
    let text =
        scenario(&[engine.address()], "max_tokens = 4").replace("timeout = 20", "timeout = 1");
    let tally = run::run(&scenario::Scenario::parse(&text).unwrap()).unwrap();
    assert_eq!((tally.sent, tally.failed), (COUNT, COUNT));
}

#[test]
fn run_counts_unsent() {
    let engine = engine();
    set_faults(engine.address(), r#"{"freeze":true}"#);
    let text = scenario(&[engine.address()], "max_tokens = 4")
        .replace("timeout = 20", "timeout = 2\nlimit = 5");
    let tally = run::run(&scenario::Scenario::parse(&text).unwrap()).unwrap();
    assert_eq!((tally.sent, tally.unsent), (5, COUNT - 5));
}

#[rstest]
#[case::table(&[], "first token")]
#[case::json(&["--json"], "\"ok\":20")]
fn binary_prints_summary(#[case] flags: &[&str], #[case] text: &str) {
    let engine = engine();
    let directory = env!("CARGO_TARGET_TMPDIR");
    let path = format!("{directory}/summary-{}.toml", process::id());
    std::fs::write(&path, scenario(&[engine.address()], "max_tokens = 4")).unwrap();
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_guavausher-load"));
    let output = command
        .args(["--scenario", &path])
        .args(flags)
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    let said = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert!(said.contains(text), "{said}");
}

#[rstest]
#[case::help(&["--help"], 0, "Usage: guavausher-load")]
#[case::version(&["--version"], 0, "guavausher-load 0")]
#[case::no_scenario(&[], 2, "--scenario")]
#[case::no_file(&["--scenario", "/nonexistent"], 2, "/nonexistent")]
fn binary_checks_flags(#[case] flags: &[&str], #[case] status: i32, #[case] text: &str) {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_guavausher-load"));
    let output = command.args(flags).output().unwrap();
    let said = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
    assert_eq!(output.status.code(), Some(status));
    assert!(said.contains(text), "{said}");
}
