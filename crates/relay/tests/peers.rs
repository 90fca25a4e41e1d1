//! Digests and snapshots between relays in this process.

mod support;

use std::cell;
use std::net;
use std::rc;

use guavausher_core::name;
use guavausher_core::relay::{clock as true_time, settings, state};
use guavausher_relay::{clock, peers, shell};
use tokio::io::AsyncWriteExt as _;

async fn instance(
    index: u8,
    hint: Option<net::SocketAddr>,
) -> (rc::Rc<shell::Shell>, peers::Snapshots) {
    let ip = net::Ipv4Addr::new(127, 0, 3, index);
    let port = net::TcpListener::bind((ip, 0))
        .unwrap()
        .local_addr()
        .unwrap()
        .port();
    let own = state::Own {
        name: name::Name::from(format!("front-{index}")),
        incarnation: 1,
        address: net::SocketAddr::from((ip, port)),
        domain: name::Name::from("here"),
    };
    let true_clock = true_time::Clock::new(clock::now(), clock::wall_micros());
    let mut state = state::State::new(own, settings::Settings::default(), true_clock);
    state.peers.hint(clock::now(), hint);
    let shell = shell::Shell::new(state, support::dialect(), 1);
    let snapshots: peers::Snapshots =
        rc::Rc::new(cell::RefCell::new(vec![peers::Snapshot::default()]));
    peers::start(&shell, &snapshots).await.unwrap();
    (shell, snapshots)
}

fn address(shell: &shell::Shell) -> net::SocketAddr {
    shell.state.borrow().own.address
}

#[test]
fn instances_find_each_other_through_a_third() {
    support::run(async {
        let (first, _a) = instance(1, None).await;
        let (second, _b) = instance(2, Some(address(&first))).await;
        let (third, _c) = instance(3, Some(address(&first))).await;
        for shell in [&first, &second, &third] {
            while shell.state.borrow().peers.all().count() < 2 {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
        }
    });
}

#[test]
fn bytes_that_are_no_digest_are_passed_over() {
    support::run(async {
        let (first, _a) = instance(4, None).await;
        let socket = net::UdpSocket::bind("127.0.0.1:0").unwrap();
        for length in [0, 1, 100, 20_000] {
            socket
                .send_to(&vec![0xff; length], address(&first))
                .unwrap();
        }
        let (second, _b) = instance(5, Some(address(&first))).await;
        while second.state.borrow().peers.all().count() < 1 {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        assert_eq!(first.state.borrow().peers.all().count(), 1);
    });
}

#[test]
fn snapshot_is_fetched_and_odd_questions_are_not_answered() {
    support::run(async {
        let (first, snapshots) = instance(6, None).await;
        let snapshot = peers::Snapshot {
            changed: 7,
            items: vec![peers::Item {
                name: name::Name::from("main"),
                revision: 7,
                body: vec![1; 100_000],
            }],
        };
        snapshots.borrow_mut()[0] = snapshot.clone();
        let mut odd = tokio::net::TcpStream::connect(address(&first))
            .await
            .unwrap();
        odd.write_all(&[200]).await.unwrap();
        assert_eq!(peers::fetch(address(&first), 9).await, None);
        assert_eq!(peers::fetch(address(&first), 0).await, Some(snapshot));
    });
}
