//! Answers of faulty upstreams over plain sockets: what callers get of them, and what they are told.

mod fleet;

use std::io::{Read, Write};
use std::net;
use std::sync;
use std::thread;
use std::time::Duration;

use fleet::{Fleet, Plan, fault, wait_for};
use rstest::rstest;

/// Text that only the faulty upstream sends.
const STRANGE: &str = "strange-words";

/// Streams that are sent until one reaches the faulty engine.
const MAX_STREAMS: u32 = 200;

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";

/// A request as the faulty upstream reads it.
struct Asked {
    attempt: String,
    key: String,
    length: usize,
    /// Requests that came before it.
    earlier: usize,
}

/// What the faulty upstream does with a request.
struct Reply {
    bytes: String,
    /// Whether the connection is reset instead of closed.
    reset: bool,
}

impl Reply {
    fn closed(bytes: impl Into<String>) -> Self {
        let bytes = bytes.into();
        Self {
            bytes,
            reset: false,
        }
    }
}

/// An upstream that answers by a script and closes.
struct Faulty {
    address: net::SocketAddr,
    keys: sync::Arc<sync::Mutex<Vec<String>>>,
}

impl Faulty {
    fn start(script: impl Fn(&Asked) -> Reply + Send + 'static) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let keys = sync::Arc::new(sync::Mutex::new(Vec::new()));
        let asked = keys.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let Some(mut request) = read(&stream) else {
                    continue;
                };
                let mut keys = asked.lock().expect("a list");
                request.earlier = keys.len();
                keys.push(request.key.clone());
                drop(keys);
                answer(stream, &request, &script(&request));
            }
        });
        Self { address, keys }
    }

    fn asked(&self, key: &str) -> u64 {
        let keys = self.keys.lock().expect("a list");
        keys.iter().filter(|k| *k == key).count() as u64
    }
}

/// Reads a head and leaves the body unread.
fn read(mut stream: &net::TcpStream) -> Option<Asked> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.extend(byte);
    }
    let head = String::from_utf8(head).ok()?;
    let field = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        let own = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        own.map_or("", |(_, value)| value).to_owned()
    };
    head.starts_with("POST").then(|| Asked {
        attempt: field("x-attempt-id"),
        key: field("idempotency-key"),
        length: field("content-length").parse().unwrap_or(0),
        earlier: 0,
    })
}

/// Writes the reply; a connection that is closed with the body unread is reset.
fn answer(mut stream: net::TcpStream, request: &Asked, reply: &Reply) {
    if !reply.reset {
        let _ = stream.read_exact(&mut vec![0; request.length]);
    }
    let _ = stream.write_all(reply.bytes.as_bytes());
    if reply.reset {
        // A reset overtakes what has not been read yet.
        thread::sleep(Duration::from_millis(100));
    }
}

/// Starts a deployment and puts the faulty upstream in the place of another one.
fn fleet_with(plan: &Plan, upstream: &str, faulty: &Faulty) -> Fleet {
    let mut fleet = Fleet::start(plan);
    let mut upstreams = fleet.declaration.upstreams.iter_mut();
    let replaced = upstreams.find(|u| u.name.as_str() == upstream);
    replaced.expect("it is declared").address = faulty.address;
    fleet.apply();
    wait_for("the faulty upstream is declared everywhere", || {
        fleet.entries.iter().all(|e| e.generation() == Some(2))
    });
    fleet
}

/// Sends a request for a stream and returns the bytes of the answer.
fn raw_verse(fleet: &Fleet, prompt: &str, tokens: u32) -> String {
    let body = format!(r#"{{"prompt":"{prompt}","max_tokens":{tokens}}}"#);
    let headers = [("x-workspace", "kiosks")];
    let caller = fleet.entries[0].caller;
    let answer = fleet::call("POST", caller, "/v1/verse", &headers, &body).expect("an answer");
    format!("{}\r\n\r\n{}", answer.head, answer.body)
}

fn ids(text: &str) -> Vec<u32> {
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().expect("a number")).collect()
}

fn token(offset: u32, attempt: &str) -> String {
    format!("id: {offset}\ndata: {{\"token\":\"t\",\"attempt\":\"{attempt}\"}}\n\n")
}

/// A faulty service wrote a refusal of another request once more; the caller was told "not run".
#[test]
fn order_answered_with_the_refusal_of_another_attempt_may_have_run() {
    let faulty = Faulty::start(|_| {
        Reply::closed(format!(
            "HTTP/1.1 503 Service Unavailable\r\nx-attempt-id: another-1\r\nx-verdict: not-run\r\nretry-after: 1\r\ncontent-length: {}\r\n\r\n{STRANGE}",
            STRANGE.len()
        ))
    });
    let plan = Plan {
        services: 2,
        ..Plan::default()
    };
    let fleet = fleet_with(&plan, "kiosk-0", &faulty);
    let mut hit = 0;
    for number in 0..12 {
        let key = format!("k{number}");
        let answer = fleet.order(0, &key);
        let asked = faulty.asked(&key);
        let runs = asked + fleet.runs(&key);
        assert!(runs <= 1, "{key} ran {runs} times");
        if asked > 0 {
            assert_eq!(answer.verdict(), "may-have-run", "{}", answer.body);
            assert_eq!(answer.status, 502);
            hit += 1;
        }
    }
    assert!(hit > 0, "no order reached the faulty service");
}

/// A refusal without an id can only be of this request: nothing came before it on its connection.
#[test]
fn order_refused_without_an_id_is_not_run() {
    let faulty = Faulty::start(|_| {
        Reply::closed(
            "HTTP/1.1 503 Service Unavailable\r\nx-verdict: not-run\r\ncontent-length: 0\r\n\r\n",
        )
    });
    let fleet = fleet_with(&Plan::default(), "kiosk-0", &faulty);
    let answer = fleet.order(0, "k");
    assert_eq!(
        (answer.status, answer.verdict()),
        (503, "not-run"),
        "{}",
        answer.body
    );
}

/// What an engine writes after the data of its second token, within that event.
#[rstest]
#[case::a_head(
    "HTTP/1.1 503 Service Unavailable\r\ncontent-type: text/plain\r\n\r\nstrange-words\n\n"
)]
#[case::a_line("strange-words\n\n")]
#[case::more_data("data: strange-words\n\n")]
#[case::an_error_event("event: error\ndata: {\"error\":\"strange-words\"}\n\n")]
#[case::a_field("strange-words: 1\n\n")]
fn stream_holds_no_text_that_an_engine_wrote_within_an_event(#[case] text: &'static str) {
    let faulty = Faulty::start(move |asked| {
        let attempt = &asked.attempt;
        let second = token(1, attempt).trim_end().to_owned();
        let bytes = format!("{HEAD}\r\n{}{second}\n{text}", token(0, attempt));
        Reply::closed(bytes)
    });
    let plan = Plan {
        engines: 2,
        ..Plan::default()
    };
    let fleet = fleet_with(&plan, "verse-0", &faulty);
    let mut number = 0;
    while faulty.asked("") == 0 && number < MAX_STREAMS {
        number += 1;
        let verse = raw_verse(&fleet, &format!("verse {number}"), 20);
        assert!(!verse.contains(STRANGE), "{verse}");
        assert_eq!(ids(&verse), (0..20).collect::<Vec<_>>(), "{verse}");
        assert!(verse.contains("event: done"), "{verse}");
    }
    assert!(faulty.asked("") > 0, "no stream reached the faulty engine");
}

/// A stream broke off and no engine could go on; its chunks ended as those of a whole one.
#[test]
fn stream_that_broke_off_does_not_end_as_a_whole_one() {
    let faulty = Faulty::start(|asked| {
        let attempt = &asked.attempt;
        if asked.earlier == 0 {
            let tokens = format!("{}{}", token(0, attempt), token(1, attempt));
            return Reply::closed(format!("{HEAD}\r\n{tokens}"));
        }
        let length = STRANGE.len();
        Reply::closed(format!(
            "HTTP/1.1 500 Internal Server Error\r\nx-attempt-id: {attempt}\r\ncontent-length: {length}\r\n\r\n{STRANGE}"
        ))
    });
    let plan = Plan {
        engines: 1,
        ..Plan::default()
    };
    let fleet = fleet_with(&plan, "verse-0", &faulty);
    let verse = raw_verse(&fleet, "verse", 20);
    assert_eq!(ids(&verse), [0, 1], "{verse}");
    assert!(!verse.contains(STRANGE), "{verse}");
    assert!(verse.contains("event: error"), "{verse}");
    assert!(!verse.contains("event: done"), "{verse}");
    assert!(!verse.ends_with("0\r\n\r\n"), "ends as whole: {verse}");
}

/// Answers that stop short of their end, at an order; none is passed on as a whole one.
#[rstest]
#[case::within_the_status_line("HTTP/1.1 20", false)]
#[case::after_the_status_line("HTTP/1.1 200 OK\r\n", false)]
#[case::within_a_field("HTTP/1.1 200 OK\r\ncontent-type: appl", false)]
#[case::after_a_field("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n", false)]
#[case::within_the_last_line("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r", false)]
#[case::after_the_head("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n", false)]
#[case::within_its_length("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{\"a\":", false)]
#[case::within_its_chunks(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n",
    false
)]
#[case::without_a_length_after_the_head(
    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n",
    false
)]
#[case::without_a_length_within_the_body(
    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{\"a\":",
    false
)]
#[case::reset_without_a_length("HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nabc", true)]
#[case::without_a_length_or_a_media_type("HTTP/1.1 200 OK\r\n\r\n{\"a\":", false)]
#[case::without_a_length_with_a_charset(
    "HTTP/1.1 200 OK\r\ncontent-type: application/json; charset=utf-8\r\n\r\n{\"a\":",
    false
)]
#[case::without_a_length_as_a_client_error(
    "HTTP/1.1 409 Conflict\r\ncontent-type: application/json\r\n\r\n{\"a\":",
    false
)]
fn order_whose_answer_stops_short_may_have_run(#[case] bytes: &'static str, #[case] reset: bool) {
    let faulty = Faulty::start(move |_| Reply {
        bytes: bytes.to_owned(),
        reset,
    });
    let fleet = fleet_with(&Plan::default(), "kiosk-0", &faulty);
    let answer = fleet.order(0, "k");
    assert_eq!(
        (answer.status, answer.verdict()),
        (502, "may-have-run"),
        "{}",
        answer.body
    );
    let again = fleet.order(1, "k");
    assert_eq!(again.status, 409, "{}", again.body);
    assert_eq!(faulty.asked("k"), 1);
}

/// Guards against a part of an answer that looks whole: the upstream resets the connection while the
/// order is still being written.
#[rstest]
#[case::ok("200 OK")]
#[case::client_error("409 Conflict")]
#[case::server_error("500 Internal Server Error")]
fn order_reset_while_it_is_sent_may_have_run(#[case] status: &'static str) {
    /// Slightly below the longest body that an entry takes.
    const BODY_BYTES: usize = 1_000_000;
    let faulty = Faulty::start(move |_| Reply {
        bytes: format!("HTTP/1.1 {status}\r\ncontent-type: text/plain\r\n\r\nabc"),
        reset: true,
    });
    let fleet = fleet_with(&Plan::default(), "kiosk-0", &faulty);
    let body = format!(r#"{{"candle":"{}"}}"#, "x".repeat(BODY_BYTES));
    let headers = [("x-workspace", "kiosks"), ("idempotency-key", "k")];
    let caller = fleet.entries[0].caller;
    let answer = fleet::call("POST", caller, "/v1/candle", &headers, &body).expect("an answer");
    assert_eq!(
        (answer.status, answer.verdict()),
        (502, "may-have-run"),
        "{}",
        answer.body
    );
    assert_eq!(faulty.asked("k"), 1);
}

/// Guards against a status that HTTP does not define and that is passed on to the caller.
#[rstest]
#[case::zero("000")]
#[case::below_interim("099")]
#[case::switching_protocols("101")]
#[case::above_failures("600")]
#[case::highest("999")]
fn order_answered_with_an_invalid_status_may_have_run(#[case] status: &'static str) {
    let faulty = Faulty::start(move |_| {
        Reply::closed(format!(
            "HTTP/1.1 {status} Word\r\ncontent-length: 2\r\n\r\n{{}}"
        ))
    });
    let fleet = fleet_with(&Plan::default(), "kiosk-0", &faulty);
    let answer = fleet.order(0, "k");
    assert_eq!(
        (answer.status, answer.verdict()),
        (502, "may-have-run"),
        "{}",
        answer.body
    );
    assert_eq!(faulty.asked("k"), 1);
}

/// A whole answer that has no length ends with its connection.
#[rstest]
#[case::json("application/json", "{\"a\":1}")]
#[case::text("text/plain", "a receipt")]
fn order_answered_without_a_length_is_whole(
    #[case] media: &'static str,
    #[case] body: &'static str,
) {
    let faulty = Faulty::start(move |_| {
        Reply::closed(format!(
            "HTTP/1.1 200 OK\r\ncontent-type: {media}\r\n\r\n{body}"
        ))
    });
    let fleet = fleet_with(&Plan::default(), "kiosk-0", &faulty);
    let answer = fleet.order(0, "k");
    assert_eq!((answer.status, answer.body.as_str()), (200, body));
}

/// Heads that stop short, at a stream; another engine answers it as a whole.
#[rstest]
#[case::within_the_status_line("HTTP/1.1 20")]
#[case::within_a_field("HTTP/1.1 200 OK\r\ncontent-type: text/event")]
#[case::after_a_field("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n")]
#[case::after_the_head("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n")]
fn stream_whose_head_stops_short_goes_on_at_another_engine(#[case] bytes: &'static str) {
    let faulty = Faulty::start(move |_| Reply::closed(bytes));
    let plan = Plan {
        engines: 2,
        ..Plan::default()
    };
    let fleet = fleet_with(&plan, "verse-0", &faulty);
    let mut number = 0;
    while faulty.asked("") == 0 && number < MAX_STREAMS {
        number += 1;
        let verse = fleet.verse(0, &format!("verse {number}"), 20);
        assert!(verse.is_whole(0, 20), "{verse:?}");
    }
    assert!(faulty.asked("") > 0, "no stream reached the faulty engine");
}

/// Incident: the one engine paused and would have gone on; the entry ended the attempt.
#[rstest]
#[case::before_the_first_token(0, 7)]
#[case::between_two_tokens(20, 12)]
fn stream_waits_for_the_only_engine(#[case] tokens: u64, #[case] seconds: u64) {
    let fleet = Fleet::start(&Plan {
        entries: 1,
        engines: 1,
        token_ms: 20,
        ..Plan::default()
    });
    let passed = || fleet.entries[0].metric("tokens_total");
    if tokens == 0 {
        fault(&fleet.engines[0], r#"{"freeze":true}"#);
    }
    thread::scope(|scope| {
        let verse = scope.spawn(|| fleet.verse(0, "verse", 200));
        wait_for("the stream is under way", || passed() >= Some(tokens));
        fault(&fleet.engines[0], r#"{"freeze":true}"#);
        // Longer than the entry waits before it looks for another engine.
        thread::sleep(Duration::from_secs(seconds));
        fault(&fleet.engines[0], r#"{"freeze":false}"#);
        let verse = verse.join().expect("a stream");
        assert!(verse.is_whole(0, 200), "{verse:?}");
    });
    assert_eq!(fleet.entries[0].metric("attempts_total"), Some(1));
}

/// A stream that pauses goes on at another engine if there is one, each token once.
#[test]
fn stream_that_pauses_goes_on_at_another_engine() {
    let fleet = Fleet::start(&Plan {
        entries: 1,
        engines: 2,
        token_ms: 20,
        ..Plan::default()
    });
    let passed = || fleet.entries[0].metric("tokens_total");
    thread::scope(|scope| {
        let streams: Vec<_> = (0..8)
            .map(|number| {
                let fleet = &fleet;
                scope.spawn(move || fleet.verse(0, &format!("verse {number}"), 200))
            })
            .collect();
        wait_for("the streams are under way", || passed() >= Some(80));
        fault(&fleet.engines[0], r#"{"freeze":true}"#);
        for stream in streams {
            let verse = stream.join().expect("a stream");
            assert!(verse.is_whole(0, 200), "{verse:?}");
        }
    });
}

/// How the other engine fails a stream that it is to go on with.
#[rstest]
#[case::refuses(
    "HTTP/1.1 503 Service Unavailable\r\nx-verdict: not-run\r\ncontent-length: 0\r\n\r\n"
)]
#[case::errs("HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n")]
#[case::breaks_off("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n")]
fn stream_that_pauses_goes_on_if_the_other_engine_fails(#[case] bytes: &'static str) {
    let faulty = Faulty::start(move |_| Reply::closed(bytes));
    let plan = Plan {
        entries: 1,
        engines: 2,
        token_ms: 20,
        ..Plan::default()
    };
    let fleet = fleet_with(&plan, "verse-1", &faulty);
    let passed = || fleet.entries[0].metric("tokens_total");
    let count = 8;
    thread::scope(|scope| {
        let streams: Vec<_> = (0..count)
            .map(|number| {
                let fleet = &fleet;
                scope.spawn(move || fleet.verse(0, &format!("verse {number}"), 200))
            })
            .collect();
        wait_for("the streams are under way", || passed() >= Some(80));
        let before = faulty.asked("");
        fault(&fleet.engines[0], r#"{"freeze":true}"#);
        wait_for("the faulty engine is asked", || faulty.asked("") > before);
        // The streams that are not sent there fall silent as well.
        thread::sleep(Duration::from_secs(2));
        fault(&fleet.engines[0], r#"{"freeze":false}"#);
        for stream in streams {
            let verse = stream.join().expect("a stream");
            assert!(verse.is_whole(0, 200), "{verse:?}");
        }
    });
    let attempts = fleet.entries[0].metric("attempts_total");
    assert_eq!(attempts, Some(count + faulty.asked("")));
}
