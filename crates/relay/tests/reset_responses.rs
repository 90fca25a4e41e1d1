//! Responses whose connection is reset while the request is still being sent.

mod support;

use std::io::{Read as _, Write as _};
use std::net;
use std::thread;
use std::time::{Duration, Instant};

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

/// Guards against the same where the response is buffered before it is passed on. The engine reads the
/// request on a thread of its own, so that the write meets the reset on most tries (MIXED).
#[rstest]
fn failure_reset_while_the_request_is_sent_never_looks_complete(
    #[values("/pay/", "/look/", "/stream/", "/resume/")] path: &str,
    #[values(404, 500)] status: u16,
) {
    /// Tries, since the read may meet the reset first.
    const TRIES: u64 = 25;
    support::run(async {
        for number in 0..TRIES {
            let address = reset_after(status, Duration::from_micros(200 + 100 * number));
            let engine = Engine::at(address);
            let mut parts = support::parts(1);
            parts.limits.body = LONG;
            let relay = Relay::with(parts, &[&engine]);
            let request = request("POST", path, "r1", &"x".repeat(LONG));
            let answer = Answer::get(&relay, &request).await;
            let is_own = answer.status == 502;
            assert!(!answer.is_whole || is_own, "{}", answer.summary());
        }
    });
}

/// Starts an engine that sends a part of a response, reads the request for a while and resets the
/// connection.
fn reset_after(status: u16, reading: Duration) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        // All of the request may have been read before the reset is due.
        stream.set_read_timeout(Some(reading)).unwrap();
        let mut bytes = vec![0; 64 << 10];
        let _ = stream.read(&mut bytes);
        let part = format!("HTTP/1.1 {status} {STAMPED}{EVENT}").replace("{id}", "r1");
        stream.write_all(part.as_bytes()).unwrap();
        let end = Instant::now() + reading;
        while Instant::now() < end && stream.read(&mut bytes).is_ok_and(|count| count > 0) {}
        socket2::SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    });
    address
}
