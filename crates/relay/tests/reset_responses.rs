//! Responses whose connection is reset while the request is still being sent.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::answer::Answer;
use support::script::Reply;
use support::{Engine, Relay, request};

const STAMPED: &str = "Word\r\nX-Id: {id}\r\nX-Stamp: s\r\n\r\n";
const EVENT: &str = "data: e\n\n";
/// Bytes after which a stream is between two events, wherever it is cut.
const BLANK_LINES: &str = "\n";
/// Bytes of a body that an engine does not take without reading it.
const LONG: usize = 6 << 20;

/// Guards against a response without a length that looks complete although it was reset: the failed
/// write of the request took the error of the socket, and the next read found the end of the
/// connection (MIXED).
#[rstest]
fn response_reset_while_the_request_is_sent_never_looks_complete(
    #[values("/pay/", "/look/", "/stream/", "/resume/")] path: &str,
    #[values(200, 404)] status: u16,
) {
    support::run(async {
        let first = format!("HTTP/1.1 {status} {STAMPED}{EVENT}");
        let reply = Reply::EarlyReset(first, BLANK_LINES.repeat(1 << 16));
        let engine = Engine::start(vec![reply]).await;
        let mut parts = support::parts(1);
        parts.limits.body = LONG;
        let relay = Relay::with(parts, &[&engine]);
        let body = "x".repeat(LONG);
        // The relay waits for the caller while the engine resets the connection.
        let is_reset = async {
            while engine.flooded.get() == 0 {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        };
        let request = request("POST", path, "r1", &body);
        let answer = Answer::get_after(&relay, &request, is_reset).await;
        assert!(
            !answer.is_whole || answer.status == 502,
            "{}",
            answer.summary()
        );
    });
}
