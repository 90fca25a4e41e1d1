//! Engines that respond before they have read a long body.

mod support;

use rstest::rstest;
use support::answer::Answer;
use support::script::Reply;
use support::{Engine, Relay, request};

const STAMPED: &str = "Word\r\nX-Id: {id}\r\nX-Stamp: s\r\n";
const EVENT: &str = "id: 1\ndata: e1\n\n";
/// Bytes of a body that an engine does not take without reading it.
const LONG: usize = 6 << 20;

/// How an engine frames the body of its response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Length,
    Chunks,
    Close,
}

/// Returns a response with one event, in two parts: its head, and the rest.
fn parts(status: u16, framing: Framing) -> (String, String) {
    let length = EVENT.len();
    let (header, rest) = match framing {
        Framing::Length => (format!("Content-Length: {length}\r\n"), String::from(EVENT)),
        Framing::Chunks => (
            String::from("Transfer-Encoding: chunked\r\n"),
            format!("{length:x}\r\n{EVENT}\r\n0\r\n\r\n"),
        ),
        Framing::Close => (String::new(), String::from(EVENT)),
    };
    (format!("HTTP/1.1 {status} {STAMPED}{header}\r\n"), rest)
}

/// An engine sent a part of its response, read the rest of the body and then went on. It got no more
/// of the body after the head of its response, and the request hung up to its deadline.
#[rstest]
fn body_is_sent_on_after_the_head_of_the_response(
    #[values("/pay/", "/look/", "/stream/", "/resume/")] path: &str,
    #[values(200, 404, 500)] status: u16,
    #[values(Framing::Length, Framing::Chunks, Framing::Close)] framing: Framing,
    #[values(true, false)] is_within_body: bool,
) {
    support::run(async {
        let (mut first, mut rest) = parts(status, framing);
        if is_within_body {
            let end = rest.split_off(9);
            first += &std::mem::replace(&mut rest, end);
        }
        let reply = Reply::EarlyPart(first, rest, framing == Framing::Close);
        let engine = Engine::start(vec![reply]).await;
        let mut parts = support::parts(1);
        parts.limits.body = LONG;
        let relay = Relay::with(parts, &[&engine]);
        let body: String = ('a'..='y').cycle().take(LONG).collect();
        let answer = Answer::get(&relay, &request("POST", path, "r1", &body)).await;
        assert_eq!(answer.summary(), format!("{status} [1]"));
        assert_eq!(engine.runs(), 1);
        let is_same = engine.seen.borrow()[0].body == body.as_bytes();
        assert!(is_same, "the engine got the body");
    });
}

/// Guards against a response whose status is none of HTTP's: callers got one with status 000 as a
/// response of the engine. It is neither an interim response nor one that may be passed on (MIXED).
#[rstest]
fn response_with_an_invalid_status_is_not_passed_on(
    #[values("/pay/", "/look/", "/stream/", "/resume/")] path: &str,
    #[values("000", "001", "099", "101", "600", "999")] status: &str,
    #[values(Framing::Length, Framing::Chunks, Framing::Close)] framing: Framing,
    #[values(true, false)] has_body: bool,
    #[values("close", "keep", "another response")] then: &str,
) {
    support::run(async {
        let (head, body) = parts(200, framing);
        let mut text = head.replacen("200", status, 1);
        if has_body {
            text += &body;
        }
        let reply = match then {
            "close" => Reply::Close(text),
            "keep" => Reply::Hang(text),
            _ => Reply::Hang(text + &support::complete_response(200, "other")),
        };
        let engine = Engine::start(vec![reply]).await;
        let relay = Relay::start(&[&engine]);
        let answer = Answer::get(&relay, &request("POST", path, "r1", "x")).await;
        assert_eq!(answer.summary(), "502");
        assert_eq!(engine.runs(), 1);
    });
}
