//! Engines that are silent for a while, and what the engine that gets their requests as well does.

mod support;

use std::time::Duration;

use guavausher_relay::clock;
use rstest::rstest;
use support::answer::Answer;
use support::script::Reply;
use support::{Engine, Relay, complete_response, events, lines, request};

/// Time after which another engine gets a request as well, at most.
const PATIENCE: Duration = Duration::from_millis(200);
/// A longer silence.
const PAUSE: Duration = Duration::from_millis(600);

/// What the other engine does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Other {
    Refuses,
    Fails,
    /// A response that promises nothing ran, without the engine's word for it.
    AnswersTooMany,
    Closes,
    ClosesAfterHead,
    Resets,
    SendsGarbage,
    Hangs,
    HangsAfterHead,
    Unreachable,
}

impl Other {
    fn reply(self) -> Reply {
        let head = "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Stamp: s\r\nContent-Length: 99\r\n\r\n";
        let refusal = "HTTP/1.1 503 No\r\nX-Id: {id}\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n";
        match self {
            Self::Refuses => Reply::Keep(String::from(refusal)),
            Self::Fails => Reply::Keep(complete_response(500, "failed")),
            Self::AnswersTooMany => Reply::Keep(complete_response(429, "later")),
            Self::Closes => Reply::Close(String::new()),
            Self::ClosesAfterHead => Reply::Close(String::from(head)),
            Self::Resets => Reply::Reset(String::from(head)),
            Self::SendsGarbage => Reply::Keep(String::from("no response\r\n\r\n")),
            Self::Hangs | Self::Unreachable => Reply::Hang(String::new()),
            Self::HangsAfterHead => Reply::Hang(String::from(head)),
        }
    }
}

/// Returns a relay that prefers the first engine and loses patience soon.
fn relay(first: &Engine, second: &Engine) -> Relay {
    let relay = Relay::preferring(first, second);
    let mut parts = support::parts(2);
    for route in &mut parts.routes {
        route.goal = PATIENCE;
        route.gap = Some(PATIENCE / 2);
    }
    relay.manifest(parts);
    relay
}

/// Splits a response after the first event, or before its head.
fn paused(text: &str, is_begun: bool) -> Reply {
    let mark = "data: e1\n\n\r\n";
    let at = match is_begun {
        true => text.find(mark).unwrap() + mark.len(),
        false => 0,
    };
    Reply::Paused(String::from(&text[..at]), PAUSE, String::from(&text[at..]))
}

async fn ask(relay: &Relay, path: &str) -> Answer {
    Answer::get(relay, &request("POST", path, "r1", "kit")).await
}

/// Waits until a condition holds; the test's own limit bounds it.
async fn until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A response was lost when the engine that got its request after a silence refused it, broke or
/// accepted no connection (users' incident "LOST").
#[rstest]
fn silent_engine_responds_after_another_has_failed(
    #[values(
        Other::Refuses,
        Other::Fails,
        Other::AnswersTooMany,
        Other::Closes,
        Other::ClosesAfterHead,
        Other::Resets,
        Other::SendsGarbage,
        Other::Hangs,
        Other::HangsAfterHead,
        Other::Unreachable
    )]
    other: Other,
    #[values(("/resume/", true), ("/resume/", false), ("/look/", false))] case: (&str, bool),
) {
    let (path, is_begun) = case;
    support::run(async {
        let text = match path {
            "/look/" => complete_response(200, "id: 1\ndata: e1\n\n"),
            _ => events(1..=3, true),
        };
        let first = Engine::start(vec![paused(&text, is_begun)]).await;
        let mut second = Engine::start(vec![other.reply()]).await;
        let closed = support::closed_socket();
        if other == Other::Unreachable {
            second.address = closed.local_addr().unwrap();
        }
        let relay = relay(&first, &second);
        let answer = ask(&relay, path).await;
        let whole = if path == "/look/" {
            "200 [1]"
        } else {
            "200 [1][2][3]"
        };
        assert_eq!(answer.summary(), whole, "{:?}", answer.raw);
        assert_eq!(first.runs(), 1);
        if other != Other::Unreachable {
            assert_eq!(second.runs(), 1, "the other engine got it as well");
        }
        if matches!(other, Other::Hangs | Other::HangsAfterHead) {
            until(|| second.left.get() == 1).await;
        }
    });
}

/// The engine that was silent is told by its closed connection that another one has responded.
#[rstest]
#[case::before_its_head("/resume/", false)]
#[case::after_an_event("/resume/", true)]
#[case::plain("/look/", false)]
fn silent_engine_is_left_once_another_has_responded(#[case] path: &str, #[case] is_begun: bool) {
    support::run(async {
        let begun = if is_begun {
            events(1..=1, false)
        } else {
            String::new()
        };
        let first = Engine::start(vec![Reply::Hang(begun)]).await;
        let (rest, whole) = match path {
            "/look/" => (complete_response(200, "id: 1\ndata: e1\n\n"), "200 [1]"),
            _ => (events(1..=3, true), "200 [1][2][3]"),
        };
        let second = Engine::start(vec![Reply::Keep(rest)]).await;
        let relay = relay(&first, &second);
        assert_eq!(ask(&relay, path).await.summary(), whole);
        until(|| first.left.get() == 1).await;
    });
}

/// Both engines wake at about the same time; the caller gets each event once, from one of them.
#[rstest]
fn engines_that_respond_at_the_same_time_are_not_mixed(#[values(0, 1, 2, 5, 20)] millis: u64) {
    support::run(async {
        let text = events(1..=3, true);
        let first = Engine::start(vec![paused(&text, true)]).await;
        let later = PAUSE - PATIENCE + Duration::from_millis(millis);
        let late = Reply::Paused(String::new(), later, events(1..=3, true));
        let second = Engine::start(vec![late]).await;
        let relay = relay(&first, &second);
        let answer = ask(&relay, "/resume/").await;
        assert_eq!(answer.summary(), "200 [1][2][3]", "{:?}", answer.raw);
    });
}

/// A request that must not run twice is left to its silent engine.
#[rstest]
fn silent_engine_of_an_unrepeatable_request_keeps_it(#[values("/pay/", "/stream/")] path: &str) {
    support::run(async {
        let text = match path {
            "/pay/" => complete_response(200, "id: 1\ndata: e1\n\n"),
            _ => events(1..=1, true),
        };
        let first = Engine::start(vec![paused(&text, false)]).await;
        let second = Engine::start(vec![Reply::Keep(text.clone())]).await;
        let relay = relay(&first, &second);
        assert_eq!(ask(&relay, path).await.summary(), "200 [1]");
        assert_eq!((first.runs(), second.runs()), (1, 0));
    });
}

/// From the id alone: which limit was exceeded, whether another engine got the request as well, and
/// why not; a long silence has one line for each answer.
#[test]
fn silence_is_logged_with_its_limit_and_what_followed() {
    support::run(async {
        lines::keep();
        let first = Engine::start(vec![paused(&events(1..=3, true), true)]).await;
        let second = Engine::start(vec![Other::Refuses.reply()]).await;
        let relay = relay(&first, &second);
        assert_eq!(ask(&relay, "/resume/").await.summary(), "200 [1][2][3]");
        let silences = lines::all("engine is silent");
        let summary = silences.iter().map(|line| {
            let is_replaced = line.text("replaced");
            (line.text("limit"), is_replaced, line.text("no_retry"))
        });
        let expected = [("gap", "true", ""), ("gap", "false", "attempts")];
        assert!(summary.eq(expected), "{silences:?}");
        let metrics = &relay.runtime.metrics;
        let text = metrics.text(clock::now(), &relay.runtime.state.borrow());
        for labels in [
            "limit=\"gap\",no_retry=\"\"",
            "limit=\"gap\",no_retry=\"attempts\"",
        ] {
            let counter = format!("guavausher_relay_engine_silences_total{{{labels}}} 1");
            assert!(text.contains(&counter), "{text}");
        }
    });
}

/// A response that came in one piece left no line about the attempt that it superseded.
#[rstest]
fn superseded_attempt_is_logged(#[values("/resume/", "/look/")] path: &str) {
    support::run(async {
        lines::keep();
        let first = Engine::start(vec![Reply::Hang(String::new())]).await;
        let whole = match path {
            "/look/" => complete_response(200, "id: 1\ndata: e1\n\n"),
            _ => events(1..=1, true),
        };
        let second = Engine::start(vec![Reply::Keep(whole)]).await;
        let relay = relay(&first, &second);
        assert_eq!(ask(&relay, path).await.summary(), "200 [1]");
        let endings = endings();
        assert!(
            endings.contains(&(1, String::from("superseded"))),
            "{endings:?}"
        );
        assert!(endings.contains(&(2, String::from("whole"))), "{endings:?}");
    });
}

/// Each attempt that the deadline ends has a line and counts.
#[test]
fn expired_attempts_are_logged_each() {
    support::run(async {
        lines::keep();
        let first = Engine::start(vec![Reply::Hang(String::new())]).await;
        let second = Engine::start(vec![Reply::Hang(String::new())]).await;
        let relay = relay(&first, &second);
        let asked = request("POST", "/resume/", "r1", "kit").replace("9000", "900");
        assert_eq!(relay.ask(&asked).await.unwrap().status, 504);
        let expired = |number| (number, String::from("expired"));
        assert_eq!(endings(), [expired(1), expired(2)]);
        let metrics = &relay.runtime.metrics;
        let text = metrics.text(clock::now(), &relay.runtime.state.borrow());
        assert!(
            text.contains("attempts_total{ending=\"expired\"} 2"),
            "{text}"
        );
    });
}

/// Returns the number and the ending of each attempt, as logged.
fn endings() -> Vec<(u32, String)> {
    let ended = lines::all("attempt ended");
    let ended = ended.iter().map(|line| {
        let number = line.number("attempt") as u32;
        (number, String::from(line.text("ending")))
    });
    ended.collect()
}

/// A comment of the other engine ended the silent attempt, and the stream was cut when that engine sent
/// nothing more.
#[rstest]
fn comment_is_no_progress(#[values(false, true)] is_begun: bool) {
    support::run(async {
        let first = Engine::start(vec![paused(&events(1..=3, true), is_begun)]).await;
        let comment = "7\r\n: ping\n\r\n1\r\n\n\r\n";
        let second = Engine::start(vec![Reply::Hang(without_events() + comment)]).await;
        let relay = relay(&first, &second);
        assert_eq!(ask(&relay, "/resume/").await.summary(), "200 [1][2][3]");
    });
}

/// Returns the head of a stream.
fn without_events() -> String {
    let text = events(1..=1, false);
    let head = text.find("10\r\n").unwrap();
    String::from(&text[..head])
}

/// A comment reaches the caller with the event behind it.
#[test]
fn comment_is_passed_on() {
    support::run(async {
        let text = events(1..=2, true).replace("10\r\nid: 2", "18\r\n: ping\n\nid: 2");
        let first = Engine::start(vec![Reply::Keep(text)]).await;
        let second = Engine::start(Vec::new()).await;
        let answer = ask(&relay(&first, &second), "/resume/").await;
        assert_eq!(
            answer.summary(),
            "200 [1]: ping\n\n[2]".replace("\\n", "\n")
        );
    });
}

/// The caller's close ends all attempts of its request.
#[test]
fn caller_that_leaves_ends_all_attempts() {
    support::run(async {
        let first = Engine::start(vec![Reply::Hang(String::new())]).await;
        let second = Engine::start(vec![Reply::Hang(String::new())]).await;
        let relay = relay(&first, &second);
        let mut caller = relay.caller().await;
        caller.send(&request("POST", "/resume/", "r1", "kit")).await;
        until(|| second.runs() == 1).await;
        drop(caller);
        until(|| (first.left.get(), second.left.get()) == (1, 1)).await;
        assert_eq!(relay.runtime.in_progress(), 0);
    });
}
