//! Keys and values of the log line of each decision.

mod support;

use std::sync;
use std::time::Duration;

use guavausher_core::name;
use guavausher_core::relay::{event, manifest, workspace};
use guavausher_relay::clock;
use rstest::rstest;
use support::script::Reply;
use support::{Engine, Relay, complete_response, events, lines, request};

const SENT: [&str; 16] = [
    "ahead",
    "attempt",
    "engine",
    "expected_ms",
    "fresh",
    "id",
    "left_ms",
    "parts",
    "print",
    "probe",
    "prompt",
    "route",
    "running",
    "service",
    "version",
    "workspace",
];
const REFUSED: [&str; 19] = [
    "after_ms",
    "cap_part",
    "engines",
    "expected_ms",
    "free",
    "id",
    "limited",
    "no_retry",
    "print",
    "reason",
    "return_ms",
    "route",
    "sent",
    "service",
    "stands_for",
    "suspect",
    "units",
    "verdict",
    "workspace",
];

/// Starts keeping lines, and a relay with one engine that sends these replies.
async fn serving(replies: Vec<Reply>) -> (Engine, Relay) {
    lines::keep();
    let engine = Engine::start(replies).await;
    let relay = Relay::start(&[&engine]);
    (engine, relay)
}

#[test]
fn sent_line_has_selection_inputs() {
    support::run(async {
        let (_engine, relay) = serving(vec![Reply::Keep(complete_response(200, "x"))]).await;
        let asked = request("POST", "/pay/", "r1", "").replace("X-Key", "X-Prompt: 700\r\nX-Key");
        relay.ask(&asked).await.unwrap();
        let line = lines::only("sent");
        assert_eq!(line.keys(), SENT);
        assert_eq!(line.text("id"), "r1");
        assert_eq!(line.text("engine"), "engine-0");
        assert_eq!(line.text("route"), "/pay/");
        assert_eq!(line.text("service"), "service");
        assert_eq!(line.text("workspace"), "ward");
        assert_eq!(line.text("version"), "v1");
        assert_eq!(line.number("attempt"), 1.0);
        assert_eq!(line.number("prompt"), 700.0);
        assert_eq!(line.number("fresh"), 700.0);
        assert!(line.number("left_ms") <= 9_000.0);
        assert_eq!(line.text("print").len(), 16);
    });
}

/// A request that a caller resubmits with another of its keys has the same fingerprint.
#[rstest]
#[case::other_key("other", true)]
#[case::other_caller("theirs", false)]
fn fingerprint_depends_on_workspace_not_key(#[case] key: &str, #[case] is_same: bool) {
    support::run(async {
        let replies = vec![
            Reply::Keep(complete_response(200, "x")),
            Reply::Keep(complete_response(200, "x")),
        ];
        let (engine, relay) = serving(replies).await;
        let mut parts = support::parts(2);
        let callers = parts.workspaces.as_mut().unwrap();
        callers[0].keys.push(name::Name::from("other"));
        callers.push(workspace::Workspace {
            name: name::Name::from("guild"),
            keys: vec![name::Name::from("theirs")],
            ..callers[0].clone()
        });
        relay.inform(parts, &[&engine]);
        let first = request("POST", "/pay/", "r1", "kit");
        let second = request("POST", "/pay/", "r2", "kit").replace("secret", key);
        assert_eq!(relay.ask(&first).await.unwrap().status, 200);
        assert_eq!(relay.ask(&second).await.unwrap().status, 200);
        let sent = lines::all("sent");
        assert_eq!(sent[0].text("print") == sent[1].text("print"), is_same);
    });
}

#[rstest]
#[case::whole("/pay/", vec![Reply::Keep(complete_response(200, "x"))], &["whole"])]
#[case::not_run("/pay/", vec![Reply::Keep(not_run())], &["not-run"])]
#[case::broken("/pay/", vec![Reply::Reset(String::new())], &["broken"])]
#[case::failing("/look/", vec![Reply::Keep(complete_response(500, "x"))], &["failing", "whole"])]
#[case::cut("/stream/", vec![Reply::Close(events(1..=2, false))], &["broken"])]
fn attempt_end_is_logged(
    #[case] path: &str,
    #[case] replies: Vec<Reply>,
    #[case] endings: &[&str],
) {
    support::run(async {
        let (_engine, relay) = serving(replies).await;
        relay.ask(&request("GET", path, "r1", "")).await;
        // The last line may be written after the caller has its response.
        while lines::all("attempt ended").len() < endings.len() {
            tokio::task::yield_now().await;
        }
        let ended = lines::all("attempt ended");
        let ended: Vec<_> = ended.iter().map(|line| line.text("ending")).collect();
        assert_eq!(ended, endings);
        for line in lines::all("attempt ended") {
            assert_eq!(line.text("id"), "r1");
            assert!(line.number("after_ms") >= line.number("first_ms"));
            assert!(!line.text("signal").is_empty());
        }
    });
}

#[rstest]
#[case::no_engine(&[], 0.0, "not-run")]
#[case::engine_said_so(&[Reply::Keep(not_run())], 1.0, "not-run")]
#[case::engine_broke(&[Reply::Reset(String::new())], 1.0, "may-have-run")]
fn refusal_is_logged_with_its_context(
    #[case] replies: &[Reply],
    #[case] sent: f64,
    #[case] verdict: &str,
) {
    support::run(async {
        let (engine, relay) = serving(replies.to_vec()).await;
        if replies.is_empty() {
            relay.inform(support::parts(2), &[]);
        }
        let response = relay.ask(&request("GET", "/pay/", "r1", "")).await.unwrap();
        let line = lines::only("refused");
        assert_eq!(line.keys(), REFUSED);
        assert_eq!(line.text("id"), "r1");
        assert_eq!(line.text("verdict"), verdict);
        assert!(response.text().contains(line.text("reason")));
        assert_eq!(line.number("sent"), sent);
        assert_eq!(line.number("stands_for"), 1.0);
        assert_eq!(line.number("cap_part"), 1.0);
        assert_eq!(engine.runs() as f64, sent);
    });
}

/// A service whose engine was slow is refused although the engine is idle; the log and a metric show
/// it, and that a request was sent to the engine all the same.
#[test]
fn refusal_beside_an_idle_engine_is_logged_and_counted() {
    support::run(async {
        let whole = || complete_response(200, "x");
        let slow = Reply::Paused(String::new(), Duration::from_millis(400), whole());
        let (engine, relay) = serving(vec![slow, Reply::Keep(whole())]).await;
        let mut parts = support::parts(2);
        for route in &mut parts.routes {
            route.goal = Duration::from_millis(100);
        }
        relay.inform(parts, &[&engine]);
        relay.ask(&request("POST", "/pay/", "r0", "kit")).await;
        while lines::all("sent").len() < 2 {
            relay.ask(&request("POST", "/pay/", "r1", "kit")).await;
        }
        let refused = lines::all("refused");
        assert!(!refused.is_empty(), "it is refused before it is tried");
        assert!(refused.iter().all(|line| line.number("free") == 1.0));
        let sent = lines::all("sent");
        let probes: Vec<_> = sent.iter().map(|line| line.text("probe")).collect();
        assert_eq!(probes, ["false", "true"]);
        let state = relay.runtime.state.borrow();
        let text = relay.runtime.metrics.text(clock::now(), &state);
        assert!(text.contains("refused_beside_free_slot_total{service=\"service\"}"));
    });
}

#[test]
fn refusal_beyond_cap_is_logged_with_units_and_delay() {
    support::run(async {
        let (_engine, relay) = serving(vec![Reply::Keep(complete_response(200, "x"))]).await;
        let mut parts = support::parts(2);
        parts.workspaces = Some(vec![workspace::Workspace {
            rate: 0.5,
            burst: 1.0,
            ..parts.workspaces.unwrap().remove(0)
        }]);
        let manifest = sync::Arc::new(manifest::Manifest::new(parts));
        relay.runtime.apply(event::Event::Manifest(manifest));
        relay.ask(&request("GET", "/pay/", "r1", "")).await;
        relay.ask(&request("GET", "/pay/", "r2", "")).await;
        let line = lines::only("refused");
        assert_eq!(line.text("id"), "r2");
        assert_eq!(line.text("reason"), "limited");
        assert_eq!(line.text("workspace"), "ward");
        assert_eq!(line.number("units"), 1.0);
        assert!((1_000.0..=2_000.0).contains(&line.number("return_ms")));
    });
}

#[rstest]
#[case::no_route(request("GET", "/none/", "r1", ""), "no-route")]
#[case::unknown_key(request("GET", "/pay/", "r1", "").replace("secret", "other"), "unknown-key")]
fn refusal_on_admission_is_logged(#[case] asked: String, #[case] reason: &str) {
    support::run(async {
        let (_engine, relay) = serving(Vec::new()).await;
        relay.ask(&asked).await.unwrap();
        let line = lines::only("refused on admission");
        assert_eq!(line.keys(), ["id", "reason", "target", "verdict"]);
        assert_eq!(line.text("id"), "r1");
        assert_eq!(line.text("reason"), reason);
        assert_eq!(line.text("verdict"), "not-run");
    });
}

#[test]
fn truncated_response_is_logged() {
    support::run(async {
        let (_engine, relay) = serving(vec![Reply::Close(events(1..=2, false))]).await;
        relay.ask(&request("GET", "/stream/", "r1", "")).await;
        let line = lines::only("response truncated");
        assert_eq!(line.level, log::Level::Warn);
        assert_eq!(line.text("id"), "r1");
        assert_eq!(line.text("reason"), "upstream-failed");
        assert_eq!(line.text("ended_by"), "broken");
        assert_eq!(line.text("no_retry"), "policy");
        assert_eq!((line.number("sent"), line.number("last_event")), (1.0, 0.0));
        assert!(line.number("body_bytes") > 0.0);
    });
}

/// The log did not tell which limit ended a stream and why nothing continued it.
#[rstest]
#[case::no_attempt(vec![Reply::Close(events(1..=2, false))], 1, "broken", "attempts")]
#[case::no_engine(vec![Reply::Close(events(1..=2, false))], 2, "broken", "engines")]
fn truncated_stream_is_logged_with_its_cause(
    #[case] script: Vec<Reply>,
    #[case] attempts: u32,
    #[case] ended_by: &str,
    #[case] no_retry: &str,
) {
    support::run(async {
        lines::keep();
        let engine = Engine::start(script).await;
        let mut parts = support::parts(1);
        for route in &mut parts.routes {
            route.attempts = attempts;
        }
        let relay = Relay::with(parts, &[&engine]);
        relay.ask(&request("GET", "/resume/", "r1", "")).await;
        let line = lines::only("response truncated");
        assert_eq!(line.text("ended_by"), ended_by);
        assert_eq!(line.text("no_retry"), no_retry);
        assert_eq!(line.number("last_event"), 2.0);
    });
}

#[test]
fn retry_is_logged_as_second_attempt() {
    support::run(async {
        lines::keep();
        let bad = Engine::start(vec![Reply::Reset(String::new()); 2]).await;
        let relay = Relay::start(&[&bad, &bad]);
        relay.ask(&request("GET", "/look/", "r1", "")).await;
        let sent = lines::all("sent");
        let attempts: Vec<_> = sent.iter().map(|line| line.number("attempt")).collect();
        assert_eq!(attempts, [1.0, 2.0]);
        assert_ne!(sent[0].text("engine"), sent[1].text("engine"));
    });
}

#[test]
fn engine_and_manifest_changes_are_logged() {
    support::run(async {
        let (engine, relay) = serving(Vec::new()).await;
        assert_eq!(lines::only("engine in use").text("engine"), "engine-0");
        assert_eq!(lines::only("manifest in force").number("version"), 1.0);
        relay.inform(support::parts(7), &[&engine]);
        let versions = lines::all("manifest in force");
        assert_eq!(versions[1].number("version"), 7.0);
        let mut leaving = support::engine_entry(0, engine.address);
        leaving.leaving = true;
        relay.runtime.apply(event::Event::Engines(vec![leaving]));
        let line = lines::only("engine leaving or gone");
        assert_eq!(line.text("engine"), "engine-0");
    });
}

#[test]
fn avoided_engine_is_logged() {
    support::run(async {
        let (engine, relay) = serving(Vec::new()).await;
        let nobody = support::engine_entry(1, "127.0.0.1:1".parse().unwrap());
        relay.runtime.apply(event::Event::Engines(vec![nobody]));
        relay.ask(&request("GET", "/pay/", "r1", "")).await;
        let line = lines::all("engine avoided").remove(0);
        assert_eq!(line.text("engine"), "engine-1");
        assert_eq!(line.text("sign"), "Unreachable");
        assert_eq!(engine.runs(), 0);
    });
}

fn not_run() -> String {
    complete_response(503, "full").replace("X-Stamp", "X-Refused: 1\r\nX-Stamp")
}

fn limited_response(rate: &str) -> String {
    let limit = format!("X-Limit: {rate}\r\nX-Stamp");
    complete_response(200, "x").replace("X-Stamp", &limit)
}

fn limited(rate: &str) -> Reply {
    Reply::Keep(limited_response(rate))
}

/// Sends a request for each reply, one after the other.
async fn ask_each(replies: Vec<Reply>) -> (Engine, Relay) {
    let count = replies.len();
    let (engine, relay) = serving(replies).await;
    for index in 0..count {
        relay
            .ask(&request("POST", "/pay/", &format!("r{index}"), "kit"))
            .await;
    }
    (engine, relay)
}

/// The start, each change and the end of a rate limit have one line each, not each response.
#[test]
fn rate_limit_is_logged_when_it_changes() {
    support::run(async {
        let whole = || Reply::Keep(complete_response(200, "x"));
        let replies = vec![
            whole(),
            limited("250000.5"),
            limited("250000.5"),
            limited("300000"),
            whole(),
            whole(),
        ];
        let (_engine, relay) = ask_each(replies).await;
        let limits = lines::all("engine limits its requests");
        let rates: Vec<_> = limits.iter().map(|l| l.number("per_second")).collect();
        assert_eq!(rates, [250_000.5, 300_000.0]);
        let ends = lines::all("engine no longer limits its requests");
        assert_eq!(ends.len(), 1);
        for line in limits.iter().chain(&ends) {
            assert_eq!(line.text("engine"), "engine-0");
            assert_eq!(line.text("source"), "Answer");
            assert_eq!(line.number("incarnation"), 1.0);
            assert!(line.number("age_ms") < 1_000.0);
        }
        let metrics = &relay.runtime.metrics;
        let text = metrics.text(clock::now(), &relay.runtime.state.borrow());
        assert!(text.contains("engine_words_total{word=\"limit\",source=\"answer\"} 2"));
    });
}

/// An invalid rate, and a response of another engine at the same address, state nothing.
#[rstest]
#[case::word(limited("few"))]
#[case::negative(limited("-2"))]
#[case::not_a_number(limited("NaN"))]
#[case::empty(limited(""))]
#[case::misdirected(Reply::Keep(not_run().replace("503", "421").replace("X-Refused", "X-Limit: 2\r\nX-Refused")))]
fn rate_limit_invalid_is_ignored(#[case] reply: Reply) {
    support::run(async {
        let _running = ask_each(vec![reply]).await;
        assert_eq!(lines::all("engine limits its requests"), []);
    });
}

/// Only a response of the engine itself shows that its limit has ended.
#[rstest]
#[case::misdirected(Reply::Keep(not_run().replace("503", "421")))]
#[case::without_stamp(Reply::Keep(complete_response(502, "x").replace("X-Stamp", "X-Other")))]
#[case::other_request(Reply::Keep(format!(
    "{}{}", complete_response(200, "old").replace("{id}", "r9"), limited_response("250000")
)))]
fn rate_limit_survives_responses_of_others(#[case] reply: Reply) {
    support::run(async {
        let _running = ask_each(vec![limited("250000"), reply]).await;
        assert_eq!(lines::all("engine limits its requests").len(), 1);
        assert_eq!(lines::all("engine no longer limits its requests"), []);
    });
}

/// A request that a rate limit has moved or refused says so, within bounds, and is counted.
///
/// The first turn after a limit may come at once, the second one comes 10 s after it.
#[test]
fn rate_limit_effects_are_logged_and_counted() {
    support::run(async {
        let (first, relay) = serving(vec![limited("0.1"), limited("0.1")]).await;
        relay.ask(&request("POST", "/pay/", "r0", "kit")).await;
        use_next_turn(&relay, "r1").await;
        let refused = relay.ask(&request("POST", "/pay/", "late", "kit")).await;
        assert_eq!(refused.unwrap().status, 503);
        let line = lines::only("refused");
        assert_eq!((line.text("id"), line.number("limited")), ("late", 1.0));
        let whole = || Reply::Keep(complete_response(200, "x"));
        let second = Engine::start((0..30).map(|_| whole()).collect()).await;
        relay.inform(support::parts(2), &[&first, &second]);
        for index in 0..30 {
            let asked = request("POST", "/pay/", &format!("m{index}"), "kit");
            assert_eq!(relay.ask(&asked).await.unwrap().status, 200);
        }
        let moved = lines::all("engine at its rate limit passed over");
        assert!((1..=20).contains(&moved.len()), "{}", moved.len());
        assert_eq!(moved[0].text("engine"), "engine-0");
        assert_eq!(moved[0].text("id"), "m0");
        let metrics = &relay.runtime.metrics;
        let text = metrics.text(clock::now(), &relay.runtime.state.borrow());
        let counter = "guavausher_relay_rate_limited_requests_total";
        assert!(text.contains(&format!("{counter}{{outcome=\"refused\"}} 1")));
        assert!(text.contains(&format!("{counter}{{outcome=\"placed-elsewhere\"}}")));
        assert!(text.contains("standing=\"limited\""), "{text}");
        assert_eq!(first.runs(), 2);
    });
}

/// Waits until the limits of all engines leave room for a request, and sends it.
async fn use_next_turn(relay: &Relay, id: &str) {
    let service = name::Name::from("service");
    let limited = || {
        let state = relay.runtime.state.borrow();
        state.fleet.limited(clock::now(), &service)
    };
    while limited() > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let used = relay.ask(&request("POST", "/pay/", id, "kit")).await;
    assert_eq!(used.unwrap().status, 200);
}
