//! A peer that holds the key and then misbehaves.

use std::net;
use std::thread;
use std::time::Duration;

use guavausher_core::peering;
use guavausher_node::peers;
use guavausher_wire::peer;
use rstest::rstest;
use tokio::runtime;
use tokio::sync::oneshot;

use crate::node;

/// What a raw peer sends after it has shown the key.
#[derive(Clone)]
struct Script {
    protocol: String,
    bytes: Vec<u8>,
}

/// Opens a link by hand, sends the bytes and reads nothing until it is dropped.
struct Raw {
    status: u16,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for Raw {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn open(address: net::SocketAddr, script: Script) -> Raw {
    let (stop, stopped) = oneshot::channel();
    let (status, got) = std::sync::mpsc::channel();
    let thread = thread::spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        runtime.unwrap().block_on(async {
            let stream = tokio::net::TcpStream::connect(address).await.unwrap();
            let (sender, connection) = h2::client::handshake(stream).await.unwrap();
            tokio::spawn(connection);
            let mut sender = sender.ready().await.unwrap();
            let request = http::Request::post("http://peer/peer")
                .header("guavausher-key", node::KEY)
                .header("guavausher-protocol", script.protocol)
                .header("guavausher-name", "entry-raw")
                .header("guavausher-incarnation", "1")
                .body(())
                .unwrap();
            let (response, mut output) = sender.send_request(request, false).unwrap();
            let response = response.await.unwrap();
            status.send(response.status().as_u16()).unwrap();
            let _ = output.send_data(bytes::Bytes::from(script.bytes), false);
            let _ = stopped.await;
        });
    });
    Raw {
        status: got.recv_timeout(node::PATIENCE).unwrap(),
        stop: Some(stop),
        thread: Some(thread),
    }
}

fn speak(bytes: &[u8]) -> Script {
    Script {
        protocol: peer::PROTOCOL.to_string(),
        bytes: bytes.to_vec(),
    }
}

fn quick() -> peers::Limits {
    peers::Limits {
        frame: Duration::from_millis(200),
        ..peers::Limits::default()
    }
}

#[rstest]
#[case::oversize(&[255, 255, 255, 255, 0])]
#[case::empty_frame(&[0, 0, 0, 0])]
#[case::cut_heartbeat(&[0, 0, 0, 2, 1, 0])]
#[case::huge_vector(&[0, 0, 0, 10, 2, 253, 255, 255, 255, 255, 255, 255, 255, 255])]
fn link_ends_on_malformed_frame(#[case] bytes: &[u8]) {
    let node = node::plain("entry-a");
    let raw = open(node.member.address, speak(bytes));
    assert_eq!(raw.status, 200);
    node.wait_unlinked("entry-raw");
    node.wait_count(|counters| counters.malformed.get(), 1);
}

#[test]
fn link_ends_on_stalled_frame() {
    let node = node::start("entry-a", node::KEY, quick());
    let _raw = open(node.member.address, speak(&[0, 0, 1]));
    node.wait_unlinked("entry-raw");
    node.wait_count(|counters| counters.slow.get(), 1);
}

#[test]
fn link_skips_a_later_kind() {
    let node = node::plain("entry-a");
    let heartbeat = peering::Message::Heartbeat(peering::Heartbeat::default());
    let mut bytes = vec![0, 0, 0, 2, 200, 1];
    bytes.extend_from_slice(&peer::encode(&heartbeat).unwrap());
    let _raw = open(node.member.address, speak(&bytes));
    let message = |event: &peers::Event| matches!(event, peers::Event::Message { message, .. } if *message == heartbeat);
    node.wait("heartbeat", message);
    node.wait_count(|counters| counters.skipped_messages.get(), 1);
}

#[test]
fn link_refuses_another_protocol() {
    let node = node::plain("entry-a");
    let script = Script {
        protocol: "99".to_owned(),
        bytes: Vec::new(),
    };
    let raw = open(node.member.address, script);
    assert_eq!(raw.status, http::StatusCode::UPGRADE_REQUIRED.as_u16());
    assert_eq!(node.handle.counters().links.get(), 0);
}

#[test]
fn slow_reader_loses_its_link() {
    let node = node::plain("entry-a");
    let _raw = open(node.member.address, speak(&[]));
    node.wait("link", |event| matches!(event, peers::Event::Linked(_)));
    let document = peering::Message::Document(peering::Document {
        topic: peering::Topic::Config,
        generation: 1,
        body: std::sync::Arc::from(vec![7; 1 << 20]),
    });
    let peer = guavausher_core::name::Name::from("entry-raw");
    for _ in 0..20 {
        node.handle.send(&peer, document.clone());
    }
    node.wait_unlinked("entry-raw");
    // The queue holds 4 MB; what is sent beyond that ends the link.
    let sent = node.handle.counters().sent_messages.get();
    assert!(sent <= 6, "{sent}");
}

#[test]
fn connections_are_bounded() {
    let limits = peers::Limits {
        connections: 2,
        handshake: Duration::from_millis(200),
        ..peers::Limits::default()
    };
    let node = node::start("entry-a", node::KEY, limits);
    // More silent connections than there are places; each gives its place back.
    let silent: Vec<_> = (0..10)
        .map(|_| net::TcpStream::connect(node.member.address).unwrap())
        .collect();
    let raw = open(node.member.address, speak(&[]));
    assert_eq!(raw.status, 200);
    drop(silent);
}
