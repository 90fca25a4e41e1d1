//! Streams for whose bytes there is no room.

mod support;

use guavausher_core::relay::memory_limits;
use rstest::rstest;
use support::answer::Answer;
use support::script::Reply;
use support::{Engine, Relay, request};

/// Events of a stream.
const EVENTS: usize = 8;

/// Composes an event with a number and so many bytes of data.
fn event(id: usize, size: usize) -> String {
    format!("id: {id}\ndata: {}\n\n", "e".repeat(size))
}

/// Returns the events of a stream, one of which is long.
fn stream(long: usize, size: usize) -> Vec<String> {
    let size_of = |id| if id == long { size } else { 60 };
    (1..=EVENTS).map(|id| event(id, size_of(id))).collect()
}

/// Returns the reply of an engine, an event a chunk.
fn reply(events: &[String], in_parts: bool) -> Reply {
    let head = "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunks = events
        .iter()
        .map(|event| format!("{:x}\r\n{event}\r\n", event.len()));
    let mut parts = vec![String::from(head)];
    parts.extend(chunks);
    parts.push(String::from("0\r\n\r\n"));
    match in_parts {
        true => Reply::Parts(parts),
        false => Reply::Keep(parts.concat()),
    }
}

fn is_prefix_of_events(body: &str, events: &[String]) -> bool {
    (0..=events.len()).any(|count| events[..count].concat() == body)
}

/// Review case 11: a stream lost the head and the events that had been taken from an engine when there was no room
/// for them, and went on with the next event of another engine (MIXED, ORDER).
#[rstest]
fn resumed_stream_without_its_head_or_an_event_for_lack_of_room(
    #[values(0, 16 << 10, 48 << 10, 96 << 10)] room: usize,
    #[values(1, 2, EVENTS)] long: usize,
    #[values(true, false)] in_parts: bool,
    #[values("/resume/", "/stream/")] path: &str,
) {
    const SIZES: [usize; 8] = [
        1_000, 10_000, 18_000, 20_000, 30_000, 40_000, 60_000, 120_000,
    ];
    support::run(async {
        let mut faults = Vec::new();
        for size in SIZES {
            let events = stream(long, size);
            let first = Engine::start(vec![reply(&events, in_parts)]).await;
            let second = Engine::start(vec![reply(&events, in_parts)]).await;
            let relay = Relay::preferring(&first, &second);
            relay
                .runtime
                .budget
                .set_limits(memory_limits::MemoryLimits {
                    total: room,
                    long: room,
                    ..memory_limits::MemoryLimits::default()
                });
            let answer = Answer::get(&relay, &request("POST", path, "r1", "kit")).await;
            let is_right = match (answer.status, answer.is_whole) {
                (200, true) => answer.body == events.concat(),
                (200, false) => is_prefix_of_events(&answer.body, &events) || path == "/stream/",
                (502..=504, true) => true,
                (status, _) => status == 0,
            };
            if !is_right {
                faults.push((size, answer.summary()));
            }
        }
        assert!(faults.is_empty(), "{faults:?}");
    });
}

/// The same stream is served where there is room.
#[rstest]
fn stream_with_room_is_whole(#[values("/resume/", "/stream/")] path: &str) {
    support::run(async {
        let events = stream(2, 120_000);
        let engine = Engine::start(vec![reply(&events, false)]).await;
        let relay = Relay::start(&[&engine]);
        let answer = Answer::get(&relay, &request("POST", path, "r1", "kit")).await;
        assert_eq!((answer.status, answer.is_whole), (200, true));
        assert_eq!(answer.body, events.concat());
    });
}
