//! Malformed HTTP towards a running entry: an error or a close, and the next request is served.

mod fleet;

use std::cell;
use std::io::{BufRead, BufReader, Read, Write};
use std::net;
use std::sync;
use std::thread;

use fleet::{Fleet, PATIENCE, Plan, wait_for};
use proptest::prelude::*;
use proptest::test_runner;
use rstest::rstest;

const CASES: u32 = 200;
const SEED: u64 = 7;
/// Good requests come after each this many bad ones.
const GOOD_EVERY: u32 = 20;
const HUGE: usize = 80 << 10;
/// A head and body below this size are read to their end.
const READ_WHOLE: usize = 24 << 10;
const TOO_LARGE: usize = (1 << 20) + 1;

const GOOD: &str = "POST /v1/verse HTTP/1.1\r\nhost: test\r\nx-workspace: kiosks\r\ncontent-type: application/json\r\ncontent-length: 33\r\n\r\n{\"prompt\":\"verse\",\"max_tokens\":2}";

/// Bytes of the method, path and version of [`GOOD`].
const GOOD_HEAD: usize = "POST /v1/verse HTTP/1.1".len();

const WORKSPACE: (&str, &str) = ("x-workspace", "kiosks");
/// Longer than any name may be.
const LONG: &str = concat!(
    "0123456789012345678901234567890123456789012345678901234567890123456789",
    "0123456789012345678901234567890123456789012345678901234567890123456789"
);

/// Headers that only the entry may set, with values that it never uses.
const FORGED: [(&str, &str); 8] = [
    ("x-attempt-id", "forged-1"),
    ("x-resume-offset", "4000001"),
    ("x-deadline-ms", "4000002"),
    ("x-verdict", "forged-2"),
    ("x-priority", "forged-3"),
    ("x-request-id", "4000003"),
    ("x-load", "forged-4"),
    ("x-fencing", "4000004"),
];

/// Headers that the entry sets itself, once each.
const OWN: [&str; 6] = [
    "x-attempt-id",
    "x-resume-offset",
    "x-deadline-ms",
    "x-priority",
    "x-request-id",
    "x-workspace",
];

/// What a caller sends.
#[derive(Clone, Debug)]
struct Sent {
    bytes: Vec<u8>,
    /// Whether the caller closes its side, since the entry would wait for more.
    cut: bool,
}

impl Sent {
    fn whole(bytes: Vec<u8>) -> Self {
        Self { bytes, cut: false }
    }

    fn cut(bytes: Vec<u8>) -> Self {
        Self { bytes, cut: true }
    }

    /// Tells whether the entry reads all of it and so must answer.
    fn needs_answer(&self) -> bool {
        !self.cut && self.bytes.len() < READ_WHOLE
    }
}

fn request(headers: &str, length: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /v1/verse HTTP/1.1\r\nhost: test\r\nconnection: close\r\n{headers}content-length: {length}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// A request with a header that cannot be used.
fn header() -> impl Strategy<Value = Sent> {
    let line = prop_oneof![
        Just(String::new()),
        Just(format!("x-workspace: {}\r\n", "w".repeat(200))),
        Just(format!("x-workspace: {}\r\n", "w".repeat(HUGE))),
        Just("x-workspace: \u{e9}\u{20ac}\r\n".to_owned()),
        Just("x-workspace: nobody\r\n".to_owned()),
        Just("x-workspace: kiosks\r\nx-timeout-ms: soon\r\n".to_owned()),
        Just("x-workspace: kiosks\r\nx-timeout-ms: -1\r\n".to_owned()),
        Just("x-workspace: kiosks\r\nx-timeout-ms: 99999999999999999999\r\n".to_owned()),
        Just("x-workspace: kiosks\r\nlast-event-id: 4294967295\r\n".to_owned()),
        Just("x-workspace: kiosks\r\nlast-event-id: 1.5\r\n".to_owned()),
        Just("x-workspace: kiosks\r\nidempotency-key: \r\n".to_owned()),
        Just(format!(
            "x-workspace: kiosks\r\nidempotency-key: {}\r\n",
            "k".repeat(500)
        )),
        Just(format!(
            "x-workspace: kiosks\r\n{}",
            "a: b\r\n".repeat(5_000)
        )),
        "[ -~]{1,40}".prop_map(|text| format!("x workspace {text}\r\n")),
    ];
    line.prop_map(|line| Sent::whole(request(&line, "2", b"{}")))
}

/// A request whose length or body is wrong.
fn body() -> impl Strategy<Value = Sent> {
    let length = prop_oneof![
        Just("0".to_owned()),
        Just("1".to_owned()),
        Just("-1".to_owned()),
        Just("two".to_owned()),
        Just("2\r\ncontent-length: 3".to_owned()),
        Just("18446744073709551616".to_owned()),
        Just("1048577".to_owned()),
        (3..10_000u32).prop_map(|n| n.to_string()),
    ];
    let wrong =
        length.prop_map(|length| Sent::cut(request("x-workspace: kiosks\r\n", &length, b"{}")));
    let text = prop_oneof![
        Just("[".repeat(100_000)),
        Just(format!("{{\"prompt\":{}", "[".repeat(10_000))),
        Just(r#"{"prompt":7}"#.to_owned()),
        Just(r#"{"prompt":"a","max_tokens":-1}"#.to_owned()),
        Just(r#"{"prompt":"a","max_tokens":4294967296}"#.to_owned()),
        Just(format!(r#"{{"prompt":"{}"}}"#, "p".repeat(TOO_LARGE))),
        "[^{]{0,50}",
    ];
    let text = text.prop_map(|text| {
        Sent::whole(request(
            "x-workspace: kiosks\r\n",
            &text.len().to_string(),
            text.as_bytes(),
        ))
    });
    prop_oneof![wrong, text]
}

fn bad() -> impl Strategy<Value = Sent> {
    prop_oneof![
        prop::collection::vec(any::<u8>(), 0..2_000).prop_map(Sent::cut),
        (0..GOOD.len()).prop_map(|cut| Sent::cut(GOOD.as_bytes()[..cut].to_vec())),
        (0..GOOD_HEAD, 0..9u8).prop_map(broken),
        header(),
        body(),
    ]
}

/// A good request with one byte replaced by one that no head may hold.
fn broken((at, byte): (usize, u8)) -> Sent {
    let mut bytes = GOOD.as_bytes().to_vec();
    bytes[at] = byte;
    Sent::cut(bytes)
}

/// Sends bytes and nothing more, and returns the status of the answer if there is one.
fn send(address: net::SocketAddr, sent: &Sent) -> Option<u16> {
    let mut stream = net::TcpStream::connect(address).expect("the entry accepts");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    // The entry may close before it has read all.
    let _ = stream.write_all(&sent.bytes);
    if sent.cut {
        let _ = stream.shutdown(net::Shutdown::Write);
    }
    let mut answer = Vec::new();
    if let Err(fault) = stream.read_to_end(&mut answer) {
        let waits = matches!(
            fault.kind(),
            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
        );
        assert!(!waits, "the entry neither answers nor closes");
    }
    let text = String::from_utf8_lossy(&answer);
    text.split(' ').nth(1).and_then(|s| s.parse().ok())
}

#[test]
fn callers_port_answers_malformed_requests_by_an_error_or_a_close() {
    let mut fleet = Fleet::start(&Plan {
        entries: 1,
        engines: 1,
        ..Plan::default()
    });
    let caller = fleet.entries[0].caller;
    let config = test_runner::Config {
        cases: CASES,
        failure_persistence: None,
        max_shrink_iters: 100,
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        ..test_runner::Config::default()
    };
    let count = cell::Cell::new(1_u32);
    let result = test_runner::TestRunner::new(config).run(&bad(), |sent| {
        let status = send(caller, &sent);
        let is_error = status.is_some_and(|s| (400..600).contains(&s));
        let closed = status.is_none() && !sent.needs_answer();
        prop_assert!(is_error || closed, "{status:?}");
        count.set(count.get() + 1);
        if count.get().is_multiple_of(GOOD_EVERY) {
            prop_assert!(fleet.verse(0, "a verse", 5).is_whole(0, 5));
        }
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
    assert!(
        fleet.entries[0]
            .child
            .try_wait()
            .expect("its state")
            .is_none()
    );
    assert!(fleet.verse(0, "a verse", 5).is_whole(0, 5));
}

/// Headers, body, expected status and a word of the message.
type Row<'a> = (&'a [(&'a str, &'a str)], String, u16, &'a str);

/// The entry refuses by itself, as not run, and names what is at fault; one entry serves the table.
#[test]
fn callers_port_names_the_fault() {
    let fleet = Fleet::start(&Plan {
        entries: 1,
        engines: 1,
        ..Plan::default()
    });
    let whole = || "{}".to_owned();
    let table: [Row<'_>; 8] = [
        (&[], whole(), 400, "x-workspace"),
        (&[("x-workspace", LONG)], whole(), 400, "x-workspace"),
        (
            &[WORKSPACE, ("idempotency-key", LONG)],
            whole(),
            400,
            "idempotency-key",
        ),
        (
            &[WORKSPACE, ("x-timeout-ms", "soon")],
            whole(),
            400,
            "x-timeout-ms",
        ),
        (
            &[WORKSPACE, ("last-event-id", "4294967295")],
            whole(),
            400,
            "last-event-id",
        ),
        (&[WORKSPACE], "prompt".into(), 400, "JSON"),
        (&[WORKSPACE], "[".repeat(100_000), 400, "JSON"),
        (
            &[WORKSPACE],
            format!("\"{}\"", "p".repeat(TOO_LARGE)),
            413,
            "1048576",
        ),
    ];
    let caller = fleet.entries[0].caller;
    for (headers, body, status, named) in table {
        let answer = fleet::call("POST", caller, "/v1/verse", headers, &body).expect("an answer");
        assert_eq!(
            (answer.status, answer.verdict()),
            (status, "not-run"),
            "{named}"
        );
        assert!(answer.body.contains(named), "{}", answer.body);
    }
}

#[rstest]
#[case::peers(|entry: &fleet::Entry| entry.peer)]
#[case::admin(|entry: &fleet::Entry| entry.admin)]
fn other_ports_survive_random_bytes(#[case] port: fn(&fleet::Entry) -> net::SocketAddr) {
    let mut fleet = Fleet::start(&Plan {
        entries: 1,
        engines: 1,
        ..Plan::default()
    });
    let address = port(&fleet.entries[0]);
    let config = test_runner::Config {
        cases: CASES / 4,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        ..test_runner::Config::default()
    };
    let bytes = prop::collection::vec(any::<u8>(), 1..2_000);
    let result = test_runner::TestRunner::new(config).run(&bytes, |bytes| {
        send(address, &Sent::cut(bytes));
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
    assert!(
        fleet.entries[0]
            .child
            .try_wait()
            .expect("its state")
            .is_none()
    );
    assert!(fleet.verse(0, "a verse", 5).is_whole(0, 5));
}

/// An upstream that keeps the heads that it gets.
fn recorder() -> (net::SocketAddr, sync::Arc<sync::Mutex<Vec<String>>>) {
    let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let heads = sync::Arc::new(sync::Mutex::new(Vec::new()));
    let seen = heads.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let mut reader = BufReader::new(&stream);
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") && reader.read_line(&mut head).is_ok_and(|n| n > 0) {}
            let length = value(&head, "content-length").and_then(|v| v.parse().ok());
            let mut body = vec![0; length.unwrap_or(0)];
            let _ = reader.read_exact(&mut body);
            seen.lock().expect("no panic").push(head);
            let answer = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\ncontent-length: 13\r\n\r\n{\"receipt\":1}";
            let _ = (&stream).write_all(answer.as_bytes());
        }
    });
    (address, heads)
}

fn value<'a>(head: &'a str, field: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let own = lines.find(|(key, _)| key.eq_ignore_ascii_case(field));
    own.map(|(_, value)| value)
}

#[test]
fn callers_port_passes_no_internal_header_on() {
    let mut fleet = Fleet::start(&Plan {
        entries: 1,
        engines: 1,
        ..Plan::default()
    });
    let (address, heads) = recorder();
    for upstream in &mut fleet.declaration.upstreams {
        if upstream.service.as_str() == "kiosk-desk" {
            upstream.address = address;
        }
    }
    fleet.apply();
    let generation = Some(fleet.generation);
    wait_for("the recorder is in use", || {
        fleet.entries[0].generation() == generation
    });

    let mut headers = vec![("x-workspace", "kiosks"), ("idempotency-key", "k")];
    headers.extend(FORGED);
    let body = r#"{"candle":"white"}"#;
    let caller = fleet.entries[0].caller;
    let answer = fleet::call("POST", caller, "/v1/candle", &headers, body).expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.body);

    let heads = heads.lock().expect("no panic");
    let head = heads
        .iter()
        .find(|head| head.starts_with("POST /v1/candle"))
        .expect("the order came")
        .to_lowercase();
    for (field, forged) in FORGED {
        assert!(!head.contains(forged), "{field} went through:\n{head}");
    }
    for field in OWN {
        assert_eq!(
            head.matches(&format!("\r\n{field}: ")).count(),
            1,
            "{field}:\n{head}"
        );
    }
}

/// A stream of a caller that forges the offset begins at the start.
#[test]
fn callers_port_ignores_a_forged_offset_and_deadline() {
    let fleet = Fleet::start(&Plan {
        entries: 1,
        engines: 1,
        ..Plan::default()
    });
    let mut headers = vec![("x-workspace", "kiosks")];
    headers.extend(FORGED);
    let body = r#"{"prompt":"a verse","max_tokens":8}"#;
    let caller = fleet.entries[0].caller;
    let verse = fleet::Verse::read(caller, "/v1/verse", &headers, body);
    assert!(verse.is_whole(0, 8), "{verse:?}");
}
