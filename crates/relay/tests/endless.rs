//! Engines that send bytes without end, in a head or a body, until their connection is closed.

mod support;

use rstest::rstest;
use support::script::Reply;
use support::{Engine, Relay, request};

/// Bytes that an engine can send before its connection is closed: what a relay reads of one
/// response, and the socket buffers.
const MAX_TAKEN: usize = 24 << 20;

const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Stamp: s\r\n";
const REFUSAL: &str = "HTTP/1.1 503 Full\r\nX-Id: {id}\r\nX-Refused: full\r\n";

fn endless(head: &str, rest: &str, more: &str) -> Reply {
    Reply::Endless(format!("{head}{rest}"), more.repeat(4_096 / more.len() + 1))
}

fn chunk() -> String {
    format!("400\r\n{}\r\n", "a".repeat(0x400))
}

/// Waits until the engine has seen its connection closed, and checks how much it could send.
async fn closed(engine: &Engine) {
    while engine.left.get() == 0 {
        assert!(
            engine.flooded.get() <= MAX_TAKEN,
            "{}",
            engine.flooded.get()
        );
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    assert!(
        engine.flooded.get() <= MAX_TAKEN,
        "{}",
        engine.flooded.get()
    );
}

#[rstest]
#[case::interim_answers(endless("", "", "HTTP/1.1 100 Continue\r\n\r\n"))]
#[case::one_header(endless(HEAD, "X-Long: ", "a"))]
#[case::many_headers(endless(HEAD, "", "X-More: a\r\n"))]
#[case::no_line(endless("", "", "a"))]
#[case::blank_lines(endless("", "", "\r\n"))]
#[case::body_to_the_end(endless(HEAD, "\r\n", "a"))]
#[case::chunks(endless(HEAD, "Transfer-Encoding: chunked\r\n\r\n", &chunk()))]
#[case::chunk_size(endless(HEAD, "Transfer-Encoding: chunked\r\n\r\n", "0"))]
#[case::chunk_extension(endless(HEAD, "Transfer-Encoding: chunked\r\n\r\n5;", "a"))]
#[case::trailers(endless(HEAD, "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: a\r\n"))]
#[case::failure(endless("HTTP/1.1 500 Bad\r\nX-Id: {id}\r\nX-Stamp: s\r\n", "\r\n", "a"))]
#[case::failure_long(endless(
    "HTTP/1.1 500 Bad\r\nX-Id: {id}\r\nX-Stamp: s\r\n",
    "Content-Length: 99999999999\r\n\r\n",
    "a"
))]
#[case::refusal(endless(REFUSAL, "\r\n", "a"))]
#[case::other_answer(endless(
    "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Stamp: s\r\n",
    "Content-Length: 99999999999\r\n\r\n",
    "a"
))]
fn endless_response_is_aborted(
    #[case] reply: Reply,
    #[values("/pay/", "/look/", "/stream/", "/resume/")] path: &str,
) {
    support::run(async {
        let engine = Engine::start(vec![reply]).await;
        let relay = Relay::start(&[&engine]);
        let response = relay.ask(&request("POST", path, "r1", "x")).await;
        closed(&engine).await;
        let is_success = response.is_some_and(|a| a.status == 200 && a.is_complete);
        assert!(
            !is_success,
            "a response that ends early must not look whole"
        );
        assert_eq!(relay.runtime.in_progress(), 0);
    });
}

/// Any number of events is passed on as they arrive; an event without an end is not.
#[rstest]
#[case::stream("/stream/")]
#[case::resumable("/resume/")]
fn endless_event_is_aborted(#[case] path: &str) {
    support::run(async {
        let head = support::events(1..=1, false);
        let engine = Engine::start(vec![Reply::Endless(head, chunk())]).await;
        let relay = Relay::start(&[&engine]);
        let response = relay.ask(&request("POST", path, "r1", "x")).await;
        closed(&engine).await;
        assert!(response.is_none_or(|a| !a.is_complete));
    });
}

/// Both engines send endless responses; the caller receives the outcome of the last one.
#[rstest]
#[case::head(endless("", "", "HTTP/1.1 100 Continue\r\n\r\n"), 502)]
#[case::refusal(endless(REFUSAL, "\r\n", "a"), 503)]
#[case::failure(
    endless("HTTP/1.1 500 Bad\r\nX-Id: {id}\r\nX-Stamp: s\r\n", "\r\n", "a"),
    502
)]
fn endless_response_is_retried_if_idempotent(#[case] reply: Reply, #[case] status: u16) {
    support::run(async {
        let first = Engine::start(vec![reply.clone()]).await;
        let second = Engine::start(vec![reply]).await;
        let relay = Relay::start(&[&first, &second]);
        let response = relay.ask(&request("GET", "/look/", "r1", "")).await;
        assert_eq!(response.unwrap().status, status);
        assert_eq!((first.runs(), second.runs()), (1, 1));
        closed(&first).await;
        closed(&second).await;
    });
}
