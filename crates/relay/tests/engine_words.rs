//! Engine notices in responses: the engine is leaving or on hold.

mod support;

use std::time::Duration;

use guavausher_relay::clock;
use rstest::rstest;
use support::script::Reply;
use support::{Engine, Relay, complete_response, events, request};

const LEAVING: &str = "X-Leaving: 1\r\nX-Stamp";

fn leaving(response: &str) -> Reply {
    Reply::Keep(response.replace("X-Stamp", LEAVING))
}

fn not_run(status: u16, more: &str) -> String {
    format!(
        "HTTP/1.1 {status} No\r\nX-Id: {{id}}\r\nX-Refused: 1\r\n{more}Content-Length: 0\r\n\r\n"
    )
}

/// Starts two engines; the first one sends `reply` first, the other one always succeeds.
async fn pair(reply: Reply) -> (Engine, Engine, Relay) {
    let mut replies = vec![reply];
    replies.extend((0..40).map(|_| Reply::Keep(complete_response(200, "x"))));
    let first = Engine::start(replies).await;
    let second = Engine::start(
        (0..40)
            .map(|_| Reply::Keep(complete_response(200, "x")))
            .collect(),
    )
    .await;
    // Only the first engine is listed at first, so it gets the first request.
    let relay = Relay::start(&[&first]);
    (first, second, relay)
}

/// Whatever the response is, the engine gets no new requests, not even on idle connections.
#[rstest]
#[case::whole("/pay/", leaving(&complete_response(200, "x")))]
#[case::failure("/look/", leaving(&complete_response(500, "x")))]
#[case::not_found("/pay/", leaving(&complete_response(404, "x")))]
#[case::stream("/stream/", leaving(&events(1..=3, true)))]
#[case::refusal("/pay/", Reply::Keep(not_run(503, "X-Leaving: 1\r\n")))]
#[case::interim("/pay/", Reply::Keep(format!(
    "HTTP/1.1 103 Early\r\nX-Id: {{id}}\r\nX-Leaving: 1\r\n\r\n{}", complete_response(200, "x")
)))]
#[case::broken_off("/pay/", Reply::Close(complete_response(200, "xy").replace("xy", "x").replace("X-Stamp", LEAVING)))]
#[case::other_request("/pay/", Reply::Keep(format!(
    "{}{}", complete_response(200, "old").replace("{id}", "r0").replace("X-Stamp", LEAVING), complete_response(200, "x")
)))]
fn leaving_engine_gets_no_new_requests(#[case] path: &str, #[case] reply: Reply) {
    support::run(async {
        let (first, second, relay) = pair(reply).await;
        relay.ask(&request("POST", path, "r1", "kit")).await;
        relay.inform(support::parts(2), &[&first, &second]);
        for index in 0..20 {
            let asked = request("POST", "/pay/", &format!("s{index}"), "kit");
            assert_eq!(relay.ask(&asked).await.unwrap().status, 200);
        }
        assert_eq!((first.runs(), second.runs()), (1, 20));
    });
}

/// A header value other than 1 is ignored.
#[rstest]
#[case::zero("0")]
#[case::empty("")]
#[case::word("true")]
fn leaving_header_invalid_value_is_ignored(#[case] value: &str) {
    support::run(async {
        let response = complete_response(200, "x")
            .replace("X-Stamp", &format!("X-Leaving: {value}\r\nX-Stamp"));
        let (first, _second, relay) = pair(Reply::Keep(response)).await;
        for index in 0..3 {
            let asked = request("POST", "/pay/", &format!("s{index}"), "kit");
            assert_eq!(relay.ask(&asked).await.unwrap().status, 200);
        }
        assert_eq!(first.runs(), 3);
    });
}

/// An engine on hold gets no requests, not even on idle connections.
#[rstest]
#[case::said_not_run(not_run(503, "Retry-After: 5\r\n"))]
#[case::with_a_fraction(not_run(503, "Retry-After: 4.25\r\n"))]
#[case::plain(complete_response(503, "x").replace("X-Stamp", "Retry-After: 5\r\nX-Stamp"))]
fn engine_on_hold_gets_no_requests(#[case] reply: String) {
    support::run(async {
        let (first, second, relay) = pair(Reply::Keep(reply)).await;
        relay.ask(&request("POST", "/pay/", "r1", "kit")).await;
        relay.inform(support::parts(2), &[&first, &second]);
        // Longer than a full engine is avoided.
        tokio::time::sleep(Duration::from_millis(150)).await;
        for index in 0..20 {
            let asked = request("POST", "/pay/", &format!("s{index}"), "kit");
            assert_eq!(relay.ask(&asked).await.unwrap().status, 200);
        }
        assert_eq!((first.runs(), second.runs()), (1, 20));
    });
}

/// An invalid `Retry-After` value, or another status than 503, puts no engine on hold.
#[rstest]
#[case::negative(not_run(503, "Retry-After: -3\r\n"))]
#[case::word(not_run(503, "Retry-After: soon\r\n"))]
#[case::not_a_number(not_run(503, "Retry-After: NaN\r\n"))]
#[case::date(not_run(503, "Retry-After: Fri, 31 Dec 2027 23:59:59 GMT\r\n"))]
#[case::zero(not_run(503, "Retry-After: 0\r\n"))]
#[case::other_status(not_run(429, "Retry-After: 5\r\n"))]
fn retry_after_invalid_is_ignored(#[case] reply: String) {
    support::run(async {
        let (first, _second, relay) = pair(Reply::Keep(reply)).await;
        relay.ask(&request("POST", "/pay/", "r1", "kit")).await;
        // A full engine is avoided for a moment.
        tokio::time::sleep(Duration::from_millis(100)).await;
        let asked = request("POST", "/pay/", "r2", "kit");
        assert_eq!(relay.ask(&asked).await.unwrap().status, 200);
        assert_eq!(first.runs(), 2);
    });
}

/// With all engines on hold, a request is refused at once with the end of the hold.
#[test]
fn request_all_engines_on_hold_is_refused_at_once() {
    support::run(async {
        let (first, _second, relay) = pair(Reply::Keep(not_run(503, "Retry-After: 2\r\n"))).await;
        relay.ask(&request("POST", "/pay/", "r1", "kit")).await;
        let began = clock::now();
        let response = relay.ask(&request("POST", "/pay/", "r2", "kit")).await;
        let response = response.unwrap();
        assert!(began.until(clock::now()) < Duration::from_secs(1));
        assert_eq!(response.status, 503);
        let after: f64 = response.header("retry-after").unwrap().parse().unwrap();
        assert!((1.0..=3.0).contains(&after), "{after}");
        assert_eq!(first.runs(), 1);
    });
}
