//! Requests whose callers have left, or whose time is over, before their first byte is sent.

mod support;

use std::io::Write as _;
use std::net;
use std::thread;
use std::time::Duration;

use rstest::rstest;
use support::script::Reply;
use support::{Engine, Relay, complete_response, request};

/// Time for which the process does nothing.
const PAUSE: Duration = Duration::from_millis(300);

/// How a caller leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Leave {
    Close,
    Reset,
}

/// Sends a request and leaves, on another thread.
fn ask_and_leave(front: net::SocketAddr, text: String, leave: Leave) {
    let asking = thread::spawn(move || {
        let mut stream = net::TcpStream::connect(front).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        if leave == Leave::Reset {
            let socket = socket2::SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).unwrap();
            // The bytes are in the socket of the process before the reset.
            thread::sleep(Duration::from_millis(50));
        }
    });
    asking.join().unwrap();
}

/// Guards against requests that a process which had fallen behind sent on after their callers had
/// left (GONE).
#[rstest]
fn request_of_caller_that_has_left_is_not_sent(
    #[values(Leave::Close, Leave::Reset)] leave: Leave,
    #[values("/pay/", "/look/", "/stream/", "/resume/")] path: &str,
    #[values(1, 20)] callers: usize,
) {
    support::run(async {
        let engine = Engine::start(vec![Reply::Keep(complete_response(200, "x"))]).await;
        let relay = Relay::start(&[&engine]);
        // Nothing else of this process runs meanwhile.
        for number in 0..callers {
            let text = request("POST", path, &format!("r{number}"), "kit");
            ask_and_leave(relay.front, text, leave);
        }
        thread::sleep(PAUSE);
        tokio::time::sleep(PAUSE).await;
        assert_eq!(engine.runs(), 0);
        assert_eq!(relay.runtime.in_progress(), 0);
    });
}

/// The same for one whose deadline passes between the choice of an engine and the connection to it.
#[test]
fn request_past_its_deadline_is_not_sent() {
    support::run(async {
        let engine = Engine::start(vec![Reply::Keep(complete_response(200, "x"))]).await;
        let relay = Relay::start(&[&engine]);
        let mut caller = relay.caller().await;
        let text = request("POST", "/pay/", "r1", "kit").replace("X-Left: 9000", "X-Left: 100");
        caller.send(&text).await;
        while relay.runtime.in_progress() == 0 {
            tokio::task::yield_now().await;
        }
        // The connection to the engine is being opened.
        thread::sleep(PAUSE);
        let response = caller.response().await.unwrap();
        assert_eq!(response.status, 503, "not run");
        assert_eq!(engine.runs(), 0);
        // The engine is not to blame.
        let text = request("POST", "/pay/", "r2", "kit");
        assert_eq!(relay.ask(&text).await.unwrap().status, 200);
    });
}
