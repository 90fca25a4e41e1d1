//! Token streams of the engine, whole and faulty.

mod support;

use std::io::Write;
use std::net;
use std::thread;

use guavausher_standins::engine;
use guavausher_standins::handle;
use rstest::rstest;

const ASK: &str = r#"{"prompt":"compose a verse","max_tokens":4}"#;
const ENDLESS: &str = r#"{"prompt":"a long compilation","max_tokens":90000}"#;

/// A gap between tokens beyond the end of any test.
const HOUR_MS: u64 = 3_600_000;

fn start() -> handle::Handle {
    start_with(engine::Config::default())
}

fn start_with(config: engine::Config) -> handle::Handle {
    engine::start(engine::Config {
        token_ms: 1,
        ..config
    })
    .unwrap()
}

fn ask(engine: &handle::Handle, attempt: &str, body: &str) -> std::io::Result<support::Answer> {
    support::send(
        engine.address(),
        "POST",
        "/v1/chat",
        &[("x-attempt-id", attempt)],
        body,
    )
}

#[rstest]
#[case::from_start("0")]
#[case::in_middle("2")]
#[case::at_end("4")]
fn stream_resumes_elsewhere(#[case] offset: &str) {
    let (first, second) = (start(), start());
    let whole = ask(&first, "a1", ASK).unwrap();
    let headers = [("x-resume-offset", offset), ("x-attempt-id", "a1")];
    let rest = support::send(second.address(), "POST", "/v1/chat", &headers, ASK).unwrap();
    let skipped = offset.parse::<usize>().unwrap();
    assert_eq!(rest.tokens(), whole.tokens()[skipped..]);
    assert_eq!(rest.done().unwrap()["tokens"], 4);
}

#[rstest]
#[case::none("{}", &[0, 1, 2, 3], "a1", true, true)]
#[case::duplicate(r#"{"duplicate_tokens":true}"#, &[0, 0, 1, 1, 2, 2, 3, 3], "a1", true, true)]
#[case::wrong_attempt(r#"{"wrong_attempt":true}"#, &[0, 1, 2, 3], "other-a1", true, true)]
#[case::truncate(r#"{"truncate_at":2}"#, &[0, 1], "a1", false, true)]
#[case::truncate_end(r#"{"truncate_at":4}"#, &[0, 1, 2, 3], "a1", false, true)]
#[case::reset_token(r#"{"reset_at":{"token":2}}"#, &[0, 1], "a1", false, false)]
#[case::reset_headers(r#"{"reset_at":"after_headers"}"#, &[], "a1", false, false)]
#[case::slow(r#"{"slow_factor":5,"delay_ms":5}"#, &[0, 1, 2, 3], "a1", true, true)]
fn stream_shows_fault(
    #[case] faults: &str,
    #[case] offsets: &[u64],
    #[case] attempt: &str,
    #[case] done: bool,
    #[case] whole: bool,
) {
    let engine = start();
    support::set_faults(engine.address(), faults);
    let answer = ask(&engine, "a1", ASK).unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.offsets(), offsets);
    assert!(answer.tokens().iter().all(|(_, _, named)| named == attempt));
    assert_eq!(answer.done().is_some(), done);
    assert_eq!(answer.whole, whole);
}

#[rstest]
#[case::before_body(r#"{"reset_at":"before_body"}"#, None)]
#[case::lost_answer(r#"{"lose_next":1}"#, Some(1))]
fn ask_gets_no_answer(#[case] faults: &str, #[case] runs: Option<u64>) {
    let engine = start();
    support::set_faults(engine.address(), faults);
    assert!(ask(&engine, "a1", ASK).is_err());
    let counted = support::get(engine.address(), "/standin/runs").json();
    assert_eq!(counted.get("a1").and_then(serde_json::Value::as_u64), runs);
}

#[rstest]
#[case::leaving(r#"{"leave":true}"#, "", 503, "not-run")]
#[case::late("{}", "5", 503, "not-run")]
#[case::failing(r#"{"fail":true}"#, "", 503, "")]
#[case::erring(r#"{"error_rate":1000}"#, "", 500, "")]
#[case::bad_deadline("{}", "soon", 400, "")]
fn ask_is_refused(
    #[case] faults: &str,
    #[case] deadline: &str,
    #[case] status: u16,
    #[case] verdict: &str,
) {
    let engine = start();
    support::set_faults(engine.address(), faults);
    let headers = [("x-deadline-ms", deadline), ("x-request-id", "r1")];
    let answer = support::send(engine.address(), "POST", "/v1/chat", &headers, ASK).unwrap();
    assert_eq!(
        (answer.status, answer.header("x-verdict")),
        (status, verdict)
    );
    assert_eq!(answer.header("retry-after").is_empty(), verdict.is_empty());
    let ran = support::get(engine.address(), "/standin/runs")
        .json()
        .get("r1")
        .is_some();
    assert_eq!(ran, status == 500);
}

#[rstest]
#[case::not_json("{")]
#[case::no_prompt(r#"{"max_tokens":1}"#)]
#[case::too_many_tokens(r#"{"prompt":"a","max_tokens":100001}"#)]
fn ask_names_bad_body(#[case] body: &str) {
    let answer = ask(&start(), "a1", body).unwrap();
    assert_eq!(answer.status, 400);
    assert!(
        answer.json()["error"]
            .as_str()
            .is_some_and(|text| !text.is_empty())
    );
}

#[test]
fn queue_prefers_quick() {
    let engine = start_with(engine::Config {
        slots: 1,
        queue: 2,
        ..engine::Config::default()
    });
    let address = engine.address();
    let held = support::open(address, "POST", "/v1/x", &[("x-attempt-id", "a0")], ENDLESS).unwrap();
    let queue = |class: &'static str| {
        let before = load(&engine, "queue");
        let asked = thread::spawn(move || {
            let headers = [("x-priority", class), ("x-attempt-id", class)];
            support::send(address, "POST", "/v1/x", &headers, ENDLESS).unwrap()
        });
        support::wait_for("a longer queue", || load(&engine, "queue") == before + 1);
        asked
    };
    let (long, quick) = (queue("long"), queue("quick"));
    assert_eq!(
        ask(&engine, "a3", ASK).unwrap().header("x-verdict"),
        "not-run"
    );
    drop(held);
    support::wait_for("a shorter queue", || load(&engine, "queue") == 1);
    support::set_faults(address, r#"{"leave":true}"#);
    let refused = long.join().unwrap();
    assert_eq!(
        (refused.status, refused.header("x-verdict")),
        (503, "not-run")
    );
    support::send(address, "DELETE", "/v1/streams/quick", &[], "").unwrap();
    assert_eq!(quick.join().unwrap().status, 200);
}

#[rstest]
#[case::by_call(true)]
#[case::by_close(false)]
fn cancel_frees_slot(#[case] call: bool) {
    let config = engine::Config {
        token_ms: HOUR_MS,
        ..engine::Config::default()
    };
    let engine = engine::start(config).unwrap();
    let address = engine.address();
    let headers = [("x-attempt-id", "a1")];
    let stream = support::open(address, "POST", "/v1/x", &headers, ENDLESS).unwrap();
    assert_eq!(load(&engine, "running"), 1);
    if call {
        let answer = support::send(address, "DELETE", "/v1/streams/a1", &[], "").unwrap();
        assert_eq!(answer.status, 200);
        assert!(support::read(stream).done().is_none());
    } else {
        drop(stream);
    }
    support::wait_for("a free slot", || load(&engine, "running") == 0);
    let again = support::send(address, "DELETE", "/v1/streams/a1", &[], "").unwrap();
    assert_eq!(again.status, 404);
}

#[test]
fn close_leaves_queue() {
    let config = engine::Config {
        slots: 1,
        token_ms: HOUR_MS,
        ..engine::Config::default()
    };
    let engine = engine::start(config).unwrap();
    let held = support::open(engine.address(), "POST", "/v1/x", &[], ENDLESS).unwrap();
    let mut waiting = net::TcpStream::connect(engine.address()).unwrap();
    let head = format!(
        "POST /v1/x HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
        ENDLESS.len()
    );
    waiting
        .write_all(format!("{head}{ENDLESS}").as_bytes())
        .unwrap();
    support::wait_for("a queue", || load(&engine, "queue") == 1);
    drop(waiting);
    support::wait_for("no queue", || load(&engine, "queue") == 0);
    drop(held);
    support::wait_for("a free slot", || load(&engine, "running") == 0);
}

#[test]
fn freeze_holds_stream() {
    let engine = start();
    let address = engine.address();
    support::set_faults(address, r#"{"freeze":true}"#);
    let asked = thread::spawn(move || support::send(address, "POST", "/v1/x", &[], ASK));
    thread::sleep(std::time::Duration::from_millis(50));
    assert!(!asked.is_finished());
    support::set_faults(address, r#"{"freeze":false}"#);
    assert_eq!(asked.join().unwrap().unwrap().offsets(), [0, 1, 2, 3]);
}

#[rstest]
#[case::told(true, handle::Phase::Crashed)]
#[case::not_told(false, handle::Phase::Running)]
fn poison_crashes_engine(#[case] crash_on_poison: bool, #[case] phase: handle::Phase) {
    let engine = start_with(engine::Config {
        crash_on_poison,
        ..engine::Config::default()
    });
    let innocent = support::open(engine.address(), "POST", "/v1/x", &[], ENDLESS).unwrap();
    let poison = ask(&engine, "a1", r#"{"prompt":"a CRASH b","max_tokens":1}"#);
    assert_eq!(poison.is_err(), crash_on_poison);
    assert_eq!(engine.phase(), phase);
    engine.shutdown();
    assert!(!support::read(innocent).whole);
}

fn load(engine: &handle::Handle, field: &str) -> u64 {
    support::get(engine.address(), "/load").json()[field]
        .as_u64()
        .unwrap()
}
