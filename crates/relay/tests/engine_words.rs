//! What an engine says of itself in its answers: that it leaves, or wants nothing for a while.

mod support;

use std::time::Duration;

use guavausher_relay::clock;
use rstest::rstest;
use support::script::Reply;
use support::{Engine, Relay, events, request, whole};

const LEAVING: &str = "X-Leaving: 1\r\nX-Stamp";

fn leaving(answer: &str) -> Reply {
    Reply::Keep(answer.replace("X-Stamp", LEAVING))
}

fn not_run(status: u16, more: &str) -> String {
    format!(
        "HTTP/1.1 {status} No\r\nX-Id: {{id}}\r\nX-Refused: 1\r\n{more}Content-Length: 0\r\n\r\n"
    )
}

/// Two engines of which the first to be asked replies so, and the other one always well.
async fn pair(reply: Reply) -> (Engine, Engine, Relay) {
    let mut replies = vec![reply];
    replies.extend((0..40).map(|_| Reply::Keep(whole(200, "x"))));
    let first = Engine::start(replies).await;
    let second = Engine::start((0..40).map(|_| Reply::Keep(whole(200, "x"))).collect()).await;
    // Only the first is known at first, so it is the one that speaks.
    let relay = Relay::start(&[&first]);
    (first, second, relay)
}

/// Whatever the answer is, the engine gets nothing new, on kept channels neither.
#[rstest]
#[case::whole("/pay/", leaving(&whole(200, "x")))]
#[case::failure("/look/", leaving(&whole(500, "x")))]
#[case::not_found("/pay/", leaving(&whole(404, "x")))]
#[case::stream("/stream/", leaving(&events(1..=3, true)))]
#[case::refusal("/pay/", Reply::Keep(not_run(503, "X-Leaving: 1\r\n")))]
#[case::interim("/pay/", Reply::Keep(format!(
    "HTTP/1.1 103 Early\r\nX-Id: {{id}}\r\nX-Leaving: 1\r\n\r\n{}", whole(200, "x")
)))]
#[case::broken_off("/pay/", Reply::Close(whole(200, "xy").replace("xy", "x").replace("X-Stamp", LEAVING)))]
#[case::other_request("/pay/", Reply::Keep(format!(
    "{}{}", whole(200, "old").replace("{id}", "r0").replace("X-Stamp", LEAVING), whole(200, "x")
)))]
fn leaving_engine_gets_nothing_new(#[case] path: &str, #[case] reply: Reply) {
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

/// A value other than 1 says nothing.
#[rstest]
#[case::zero("0")]
#[case::empty("")]
#[case::word("true")]
fn odd_word_of_leaving_says_nothing(#[case] value: &str) {
    support::run(async {
        let answer = whole(200, "x").replace("X-Stamp", &format!("X-Leaving: {value}\r\nX-Stamp"));
        let (first, _second, relay) = pair(Reply::Keep(answer)).await;
        for index in 0..3 {
            let asked = request("POST", "/pay/", &format!("s{index}"), "kit");
            assert_eq!(relay.ask(&asked).await.unwrap().status, 200);
        }
        assert_eq!(first.runs(), 3);
    });
}

/// An engine that turned a request away for a while gets nothing, on kept channels neither.
#[rstest]
#[case::said_not_run(not_run(503, "Retry-After: 5\r\n"))]
#[case::with_a_fraction(not_run(503, "Retry-After: 4.25\r\n"))]
#[case::plain(whole(503, "x").replace("X-Stamp", "Retry-After: 5\r\nX-Stamp"))]
fn engine_that_holds_off_gets_nothing(#[case] reply: String) {
    support::run(async {
        let (first, second, relay) = pair(Reply::Keep(reply)).await;
        relay.ask(&request("POST", "/pay/", "r1", "kit")).await;
        relay.inform(support::parts(2), &[&first, &second]);
        // Longer than an engine that is full is left alone.
        tokio::time::sleep(Duration::from_millis(150)).await;
        for index in 0..20 {
            let asked = request("POST", "/pay/", &format!("s{index}"), "kit");
            assert_eq!(relay.ask(&asked).await.unwrap().status, 200);
        }
        assert_eq!((first.runs(), second.runs()), (1, 20));
    });
}

/// A value that is no time, and a status that turns nothing away, hold nothing off.
#[rstest]
#[case::negative(not_run(503, "Retry-After: -3\r\n"))]
#[case::word(not_run(503, "Retry-After: soon\r\n"))]
#[case::not_a_number(not_run(503, "Retry-After: NaN\r\n"))]
#[case::date(not_run(503, "Retry-After: Fri, 31 Dec 2027 23:59:59 GMT\r\n"))]
#[case::zero(not_run(503, "Retry-After: 0\r\n"))]
#[case::other_status(not_run(429, "Retry-After: 5\r\n"))]
fn odd_word_holds_nothing_off(#[case] reply: String) {
    support::run(async {
        let (first, _second, relay) = pair(Reply::Keep(reply)).await;
        relay.ask(&request("POST", "/pay/", "r1", "kit")).await;
        // An engine that is full is left alone for a moment.
        tokio::time::sleep(Duration::from_millis(100)).await;
        let asked = request("POST", "/pay/", "r2", "kit");
        assert_eq!(relay.ask(&asked).await.unwrap().status, 200);
        assert_eq!(first.runs(), 2);
    });
}

/// With nobody left to ask, a request is refused at once with the time at which that changes.
#[test]
fn request_is_refused_at_once_where_all_hold_off() {
    support::run(async {
        let (first, _second, relay) = pair(Reply::Keep(not_run(503, "Retry-After: 2\r\n"))).await;
        relay.ask(&request("POST", "/pay/", "r1", "kit")).await;
        let began = clock::now();
        let answer = relay.ask(&request("POST", "/pay/", "r2", "kit")).await;
        let answer = answer.unwrap();
        assert!(began.until(clock::now()) < Duration::from_secs(1));
        assert_eq!(answer.status, 503);
        let after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        assert!((1.0..=3.0).contains(&after), "{after}");
        assert_eq!(first.runs(), 1);
    });
}
