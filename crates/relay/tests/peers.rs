//! Exchange of digests and snapshots between relays in this process.

mod support;

use std::cell;
use std::net;
use std::rc;

use guavausher_core::name;
use guavausher_core::relay::{clock as true_time, revision, settings, state};
use guavausher_relay::{clock, peers, runtime, snapshot};
use rstest::rstest;
use tokio::io::AsyncWriteExt as _;

async fn instance(
    index: u8,
    hint: Option<net::SocketAddr>,
) -> (rc::Rc<runtime::Runtime>, peers::Snapshots) {
    let ip = net::Ipv4Addr::new(127, 0, 3, index);
    let port = net::TcpListener::bind((ip, 0))
        .unwrap()
        .local_addr()
        .unwrap()
        .port();
    let own = state::Identity {
        name: name::Name::from(format!("front-{index}")),
        incarnation: 1,
        address: net::SocketAddr::from((ip, port)),
        domain: name::Name::from("here"),
    };
    let true_clock = true_time::Clock::new(clock::now(), clock::wall_micros());
    let mut state = state::State::new(own, settings::Settings::default(), true_clock);
    state.peers.add_unverified(clock::now(), hint);
    let runtime = runtime::Runtime::new(state, support::protocol(), 1);
    let snapshots: peers::Snapshots =
        rc::Rc::new(cell::RefCell::new(vec![snapshot::Snapshot::default()]));
    peers::start(&runtime, &snapshots).await.unwrap();
    (runtime, snapshots)
}

fn address(runtime: &runtime::Runtime) -> net::SocketAddr {
    runtime.state.borrow().own.address
}

#[test]
fn instances_discover_each_other_through_a_third() {
    support::run(async {
        let (first, _a) = instance(1, None).await;
        let (second, _b) = instance(2, Some(address(&first))).await;
        let (third, _c) = instance(3, Some(address(&first))).await;
        for runtime in [&first, &second, &third] {
            while runtime.state.borrow().peers.group_peers().count() < 2 {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
        }
    });
}

#[test]
fn invalid_digest_is_ignored() {
    support::run(async {
        let (first, _a) = instance(4, None).await;
        let socket = net::UdpSocket::bind("127.0.0.1:0").unwrap();
        for length in [0, 1, 100, 20_000] {
            socket
                .send_to(&vec![0xff; length], address(&first))
                .unwrap();
        }
        let (second, _b) = instance(5, Some(address(&first))).await;
        while second.state.borrow().peers.group_peers().count() < 1 {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        assert_eq!(first.state.borrow().peers.group_peers().count(), 1);
    });
}

fn item(name: &str, revision: u64, size: usize) -> snapshot::Item {
    snapshot::Item {
        name: name::Name::from(name),
        revision: revision::Revision::from_packed(revision),
        body: vec![1; size],
    }
}

#[test]
fn fetch_returns_changes_and_rejects_invalid_queries() {
    support::run(async {
        let (first, snapshots) = instance(6, None).await;
        snapshots.borrow_mut()[0] = snapshot::Snapshot {
            changed: revision::Revision::from_packed(7),
            items: vec![item("main", 7, 100_000)],
        };
        let mut odd = tokio::net::TcpStream::connect(address(&first))
            .await
            .unwrap();
        odd.write_all(&[200]).await.unwrap();
        assert_eq!(
            peers::fetch(address(&first), 9, revision::Revision::from_packed(0)).await,
            None
        );
        let fetched = peers::fetch(address(&first), 0, revision::Revision::from_packed(0))
            .await
            .unwrap();
        assert_eq!((fetched.changed.packed(), fetched.items.len()), (7, 1));
        let newer = peers::fetch(address(&first), 0, revision::Revision::from_packed(7))
            .await
            .unwrap();
        assert_eq!((newer.changed.packed(), newer.items.len()), (7, 0));
    });
}

/// When one engine left, the complete list of 180 engines was sent to each of 72 instances, which
/// saturated links could not transfer in time (scenario DRAIN).
#[test]
fn since_one_change_among_many_is_small() {
    let mut items: Vec<_> = (0..180)
        .map(|n| item(&format!("e{n:03}"), n, 350))
        .collect();
    items[40].revision = revision::Revision::from_packed(500);
    let delta = snapshot::Snapshot {
        changed: revision::Revision::from_packed(501),
        items,
    }
    .since(revision::Revision::from_packed(180));
    assert_eq!(delta.items.len(), 1);
    assert_eq!(delta.names.len(), 180);
}

#[rstest]
#[case::changed(&[("a", 1), ("b", 9)], &[("a", 1), ("b", 2)])]
#[case::added(&[("a", 1), ("aa", 8), ("b", 2)], &[("a", 1), ("b", 2)])]
#[case::removed(&[("b", 2)], &[("a", 1), ("b", 2)])]
#[case::all_gone(&[], &[("a", 1), ("b", 2)])]
#[case::all_new(&[("c", 7), ("d", 6)], &[("a", 1), ("b", 2)])]
#[case::from_nothing(&[("a", 1), ("b", 2)], &[])]
fn after_delta_equals_newer_snapshot(#[case] newer: &[(&str, u64)], #[case] older: &[(&str, u64)]) {
    let build = |changed, items: &[(&str, u64)]| snapshot::Snapshot {
        changed: revision::Revision::from_packed(changed),
        items: items.iter().map(|(n, r)| item(n, *r, 3)).collect(),
    };
    let (newer, older) = (
        build(9, newer),
        build(if older.is_empty() { 0 } else { 5 }, older),
    );
    let items = older.after(newer.since(older.changed));
    assert_eq!(items, newer.items);
}

/// After one failed accept no peer got a snapshot any more.
#[test]
fn snapshots_are_served_after_a_failed_accept() {
    support::run(async {
        let (runtime, _snapshots) = instance(9, None).await;
        let address = address(&runtime);
        // It is accepted only once no file descriptor is left.
        let waiting = net::TcpStream::connect(address).unwrap();
        let mut files = Vec::new();
        while let Ok(file) = std::fs::File::open("/dev/null") {
            files.push(file);
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        drop(files);
        drop(waiting);
        assert!(
            peers::fetch(address, 0, revision::Revision::from_packed(0))
                .await
                .is_some()
        );
    });
}
