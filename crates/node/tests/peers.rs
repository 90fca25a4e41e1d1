//! Links between peers over real loopback sockets.

#[path = "peers/faults.rs"]
mod faults;
#[path = "peers/fleet.rs"]
mod fleet;
#[path = "peers/node.rs"]
mod node;

use std::io::{Read, Write};
use std::net;
use std::sync;
use std::time::{Duration, Instant};

use guavausher_core::fact;
use guavausher_core::name;
use guavausher_core::peering;
use guavausher_core::time;
use guavausher_node::peers;
use rstest::rstest;

fn facts(count: u64) -> peering::Message {
    let known = |incarnation| peering::ExpiringFact {
        fact: fact::Fact::Leaving {
            upstream: name::Name::from("verse-scribe-1"),
            incarnation,
        },
        expiry: time::Time::from_millis(1 << 40),
    };
    peering::Message::Facts((0..count).map(known).collect())
}

fn document(bytes: usize) -> peering::Message {
    peering::Message::Document(peering::Document {
        topic: peering::Topic::Config,
        generation: 1,
        body: sync::Arc::from(vec![7; bytes]),
    })
}

#[rstest]
#[case::heartbeat(peering::Message::Heartbeat(peering::Heartbeat::default()))]
#[case::facts(facts(100))]
#[case::largest_document(document(peering::MAX_BODY_BYTES))]
fn message_crosses_both_ways(#[case] message: peering::Message) {
    let (a, b) = (node::plain("entry-a"), node::plain("entry-b"));
    a.handle.link(b.member.clone());
    a.wait_linked(&b);
    b.wait_linked(&a);
    for (from, to) in [(&a, &b), (&b, &a)] {
        from.handle.send(&to.member.name, message.clone());
        let want = peers::Event::Message {
            from: from.member.name.clone(),
            message: message.clone(),
        };
        to.wait("message", |event| *event == want);
    }
}

#[rstest]
#[case::other_key("another-key-of-some-length")]
#[case::longer_key("a-key-for-the-tests-only-and-more")]
fn link_refuses_key(#[case] key: &str) {
    let a = node::start("entry-a", key, peers::Limits::default());
    let b = node::plain("entry-b");
    a.handle.link(b.member.clone());
    a.wait_unlinked("entry-b");
    b.wait_count(|counters| counters.refused.get(), 1);
    assert_eq!(b.handle.counters().links.get(), 0);
    assert!(b.events.is_empty());
}

#[test]
fn key_hides_itself() {
    let key = peers::Key::new(node::KEY).unwrap();
    assert!(!format!("{key:?}").contains(node::KEY));
}

#[rstest]
#[case::empty("")]
#[case::short("fifteen-letters")]
#[case::space("a key with spaces in it")]
fn key_refuses_text(#[case] text: &str) {
    assert!(peers::Key::new(text).is_err());
}

#[test]
fn link_keeps_one_of_two() {
    let (a, b) = (node::plain("entry-a"), node::plain("entry-b"));
    a.handle.link(b.member.clone());
    b.handle.link(a.member.clone());
    a.wait_linked(&b);
    b.wait_linked(&a);
    for node in [&a, &b] {
        assert_eq!(node.handle.counters().links.get(), 1);
    }
    // Whichever link stays, it carries messages both ways.
    for (from, to) in [(&a, &b), (&b, &a)] {
        let deadline = Instant::now() + node::PATIENCE;
        loop {
            from.handle.send(&to.member.name, facts(1));
            let wait = Duration::from_millis(50);
            match to.events.recv_timeout(wait) {
                Ok(peers::Event::Message { .. }) => break,
                _ => assert!(Instant::now() < deadline, "no message"),
            }
        }
    }
}

#[test]
fn link_returns_after_restart() {
    let a = node::plain("entry-a");
    let b = node::plain("entry-b");
    let address = b.member.address;
    a.handle.link(b.member.clone());
    a.wait_linked(&b);
    drop(b);
    a.wait_unlinked("entry-b");
    a.handle.link(node::member("entry-b", address, 2));
    a.wait_unlinked("entry-b");
    let b = node::start_at("entry-b", node::KEY, peers::Limits::default(), address, 2);
    a.handle.link(b.member.clone());
    a.wait_linked(&b);
    b.wait_linked(&a);
}

#[test]
fn unlink_ends_both_sides() {
    let (a, b) = (node::plain("entry-a"), node::plain("entry-b"));
    a.handle.link(b.member.clone());
    a.wait_linked(&b);
    b.wait_linked(&a);
    a.handle.unlink(&b.member.name);
    b.wait_unlinked("entry-a");
    a.handle.send(&b.member.name, facts(1));
    a.wait_count(|counters| counters.dropped_messages.get(), 1);
}

#[rstest]
#[case::no_protocol(b"\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0".as_slice())]
#[case::http1(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n".as_slice())]
#[case::silence(b"".as_slice())]
fn port_ends_garbage(#[case] bytes: &[u8]) {
    let limits = peers::Limits {
        handshake: Duration::from_millis(200),
        ..peers::Limits::default()
    };
    let a = node::start("entry-a", node::KEY, limits);
    let mut stream = net::TcpStream::connect(a.member.address).unwrap();
    stream.set_read_timeout(Some(node::PATIENCE)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut rest = Vec::new();
    // A reset is as good an end as a close; a timeout is none.
    if let Err(error) = stream.read_to_end(&mut rest) {
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    }
    let b = node::plain("entry-b");
    b.handle.link(a.member.clone());
    b.wait_linked(&a);
}

#[test]
fn link_refuses_other_name() {
    let (a, b) = (node::plain("entry-a"), node::plain("entry-b"));
    a.handle.link(node::member("entry-c", b.member.address, 1));
    a.wait_unlinked("entry-c");
    assert_eq!(a.handle.counters().links.get(), 0);
}

#[test]
fn link_refuses_itself() {
    let a = node::plain("entry-a");
    a.handle.link(a.member.clone());
    a.wait_unlinked("entry-a");
}
