//! Bytes that are no response, from many engines' connections at a time, and from the store and peers.

mod support;

use std::net;
use std::rc;
use std::time::Duration;

use guavausher_core::relay::{memory_limits, revision};
use guavausher_relay::{client, clock, peers};
use rstest::rstest;
use support::script::Reply;
use support::{Engine, Relay, complete_response, request};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Bytes that the settings of these tests allow to be held for callers.
const MAX_HELD: usize = 8 << 20;
/// Memory of the process of a test for all else: tasks, sockets and what is read at a time.
const MAX_OTHER: usize = 8 << 20;
/// Requests whose responses are longer together than the memory.
const CALLERS: usize = 64;
/// Bytes of each of these responses, below the limit of one.
const RESPONSE: usize = 900 << 10;
/// Bytes of an event that does not end, below the limit of one.
const EVENT: usize = 240 << 10;

const FAILURE: &str = "HTTP/1.1 500 Bad\r\nX-Id: {id}\r\nX-Stamp: s\r\n";

/// Sends requests to which no response is complete, and an ordinary one to another engine.
async fn ask_all(reply: Reply, path: &'static str) {
    let faulty = Engine::start(vec![reply; CALLERS]).await;
    let relay = Relay::start(&[&faulty]);
    let limits = memory_limits::MemoryLimits {
        total: MAX_HELD,
        long: MAX_HELD,
        ..memory_limits::MemoryLimits::default()
    };
    relay.runtime.budget.set_limits(limits);
    let relay = rc::Rc::new(relay);
    let asking = (0..CALLERS).map(|number| {
        let relay = relay.clone();
        tokio::task::spawn_local(async move {
            let text = request("POST", path, &format!("r{number}"), "x");
            let response = relay
                .ask(&text.replace("X-Left: 9000", "X-Left: 1500"))
                .await;
            assert!(
                response.is_none_or(|response| response.status != 200 || !response.is_complete)
            );
        })
    });
    for asked in asking.collect::<Vec<_>>() {
        asked.await.unwrap();
    }
    println!("{} KiB sent by the engine", faulty.flooded.get() >> 10);
    assert_eq!(relay.runtime.in_progress(), 0);
    let sound = Engine::start(vec![Reply::Keep(complete_response(200, "x"))]).await;
    relay.inform(support::parts(2), &[&sound]);
    let response = relay.ask(&request("POST", "/pay/", "ordinary", "x")).await;
    assert_eq!(response.unwrap().status, 200);
}

/// Guards against a process that keeps what faulty engines send until it runs out of memory, and the
/// requests of other clients end with it (users' report).
#[rstest]
#[case::failure(Reply::Filled(format!("{FAILURE}\r\n"), RESPONSE))]
#[case::failure_in_chunk(Reply::Filled(
    format!("{FAILURE}Transfer-Encoding: chunked\r\n\r\nffffff\r\n"),
    RESPONSE
))]
#[case::failure_with_length(Reply::Filled(
    format!("{FAILURE}Content-Length: 1000000\r\n\r\n"),
    RESPONSE
))]
fn endless_responses_stay_within_memory(
    #[case] reply: Reply,
    #[values("/pay/", "/look/", "/resume/")] path: &'static str,
) {
    check_held(reply, path);
}

/// The same for events that do not end, which are held until they do.
#[test]
fn endless_events_stay_within_memory() {
    let head = String::from("HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Stamp: s\r\n\r\ndata: ");
    check_held(Reply::Filled(head, EVENT), "/resume/");
}

fn check_held(reply: Reply, path: &'static str) {
    let measured = allocation_counter::measure(|| support::run(ask_all(reply, path)));
    println!("{} KiB at most", measured.bytes_max >> 10);
    assert!(
        measured.bytes_max <= (MAX_HELD + MAX_OTHER) as u64,
        "{} bytes",
        measured.bytes_max
    );
}

/// What a server sends without end.
#[derive(Clone, Copy, Debug)]
enum Endless {
    Head,
    Chunks,
    Body,
    Nothing,
}

/// Starts a server that reads a little and then sends bytes until its connection is closed; returns how
/// many it could send.
async fn endless_server(
    start: Vec<u8>,
    more: &'static [u8],
) -> (net::SocketAddr, rc::Rc<std::cell::Cell<usize>>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = rc::Rc::new(std::cell::Cell::new(0));
    let counted = sent.clone();
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut query = [0; 9];
        stream.read_exact(&mut query).await.unwrap();
        stream.write_all(&start).await.unwrap();
        let more = more.repeat(4_096 / more.len().max(1));
        while !more.is_empty() && stream.write_all(&more).await.is_ok() {
            counted.set(counted.get() + more.len());
            tokio::task::yield_now().await;
        }
        tokio::time::sleep(support::LIMIT).await;
    });
    (address, sent)
}

/// A reply of the store that has no end is given up, whatever of it has none.
#[rstest]
#[case::head(Endless::Head)]
#[case::chunks(Endless::Chunks)]
#[case::body(Endless::Body)]
#[case::nothing(Endless::Nothing)]
fn endless_reply_of_store_is_given_up(#[case] endless: Endless) {
    /// What is read of one reply, and the socket buffers.
    const MAX_SENT: usize = 24 << 20;
    let (start, more): (&str, &'static [u8]) = match endless {
        Endless::Head => ("HTTP/1.1 200 OK\r\n", b"X-More: a\r\n"),
        Endless::Chunks => (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"4\r\naaaa\r\n",
        ),
        Endless::Body => ("HTTP/1.1 200 OK\r\n\r\n", b"a"),
        Endless::Nothing => ("", b""),
    };
    support::run(async {
        let (address, sent) = endless_server(start.as_bytes().to_vec(), more).await;
        let client = client::Client::new(address);
        let call = client::Call {
            method: "GET",
            path: "/objects",
            headers: "",
            body: b"",
            deadline: clock::now().after(Duration::from_secs(2)),
        };
        assert!(client.call(&call).await.is_err());
        assert!(sent.get() <= MAX_SENT, "{}", sent.get());
    });
}

/// Changes of a peer that have no end, or are no changes, are given up.
#[rstest]
#[case::longest_length(u32::MAX)]
#[case::too_long(17 << 20)]
#[case::no_changes(64)]
fn endless_changes_of_peer_are_given_up(#[case] length: u32) {
    /// What is read of the changes, and the socket buffers.
    const MAX_SENT: usize = 24 << 20;
    support::run(async {
        let (address, sent) = endless_server(length.to_be_bytes().to_vec(), b"\xff").await;
        assert!(
            peers::fetch(address, 1, revision::Revision::NONE)
                .await
                .is_none()
        );
        assert!(sent.get() <= MAX_SENT, "{}", sent.get());
    });
}
