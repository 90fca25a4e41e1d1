//! Engines that send bytes without end, in a head or a body, until their channel is closed.

mod support;

use rstest::rstest;
use support::script::Reply;
use support::{Engine, Relay, request};

/// Bytes that an engine may get rid of before its channel is closed: what a relay takes of one
/// answer, and the buffers of the sockets.
const MAX_TAKEN: usize = 24 << 20;

const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Stamp: s\r\n";
const REFUSAL: &str = "HTTP/1.1 503 Full\r\nX-Id: {id}\r\nX-Refused: full\r\n";

fn endless(head: &str, rest: &str, more: &str) -> Reply {
    Reply::Endless(format!("{head}{rest}"), more.repeat(4_096 / more.len() + 1))
}

fn chunk() -> String {
    format!("400\r\n{}\r\n", "a".repeat(0x400))
}

/// Waits until the engine has seen its channel closed, and checks what it got rid of.
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
fn answer_without_end_is_given_up(
    #[case] reply: Reply,
    #[values("/pay/", "/look/", "/stream/", "/resume/")] path: &str,
) {
    support::run(async {
        let engine = Engine::start(vec![reply]).await;
        let relay = Relay::start(&[&engine]);
        let answer = relay.ask(&request("POST", path, "r1", "x")).await;
        closed(&engine).await;
        let is_success = answer.is_some_and(|a| a.status == 200 && a.is_whole);
        assert!(!is_success, "an answer that ends early must not look whole");
        assert_eq!(relay.runtime.in_progress(), 0);
    });
}

/// Events are passed on as they come, however many; one that does not end is no event.
#[rstest]
#[case::stream("/stream/")]
#[case::resumable("/resume/")]
fn event_without_end_is_given_up(#[case] path: &str) {
    support::run(async {
        let head = support::events(1..=1, false);
        let engine = Engine::start(vec![Reply::Endless(head, chunk())]).await;
        let relay = Relay::start(&[&engine]);
        let answer = relay.ask(&request("POST", path, "r1", "x")).await;
        closed(&engine).await;
        assert!(answer.is_none_or(|a| !a.is_whole));
    });
}

/// Both engines send without end; the caller is told what is true of the last one.
#[rstest]
#[case::head(endless("", "", "HTTP/1.1 100 Continue\r\n\r\n"), 502)]
#[case::refusal(endless(REFUSAL, "\r\n", "a"), 503)]
#[case::failure(
    endless("HTTP/1.1 500 Bad\r\nX-Id: {id}\r\nX-Stamp: s\r\n", "\r\n", "a"),
    502
)]
fn lookup_goes_on_at_another_engine(#[case] reply: Reply, #[case] status: u16) {
    support::run(async {
        let first = Engine::start(vec![reply.clone()]).await;
        let second = Engine::start(vec![reply]).await;
        let relay = Relay::start(&[&first, &second]);
        let answer = relay.ask(&request("GET", "/look/", "r1", "")).await;
        assert_eq!(answer.unwrap().status, status);
        assert_eq!((first.runs(), second.runs()), (1, 1));
        closed(&first).await;
        closed(&second).await;
    });
}
