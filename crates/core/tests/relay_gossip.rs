//! Recipients of messages, and what heartbeats change.

mod relay_support;

use std::collections;
use std::net;

use guavausher_core::relay::{event, gossip};
use relay_support::{Instance, START, at};
use rstest::rstest;

/// Time between two rounds, in milliseconds.
const INTERVAL: u64 = 150;
/// Silence after which an instance counts as unreachable, in milliseconds.
const UNREACHABLE_AFTER: u64 = 1_200;

fn address(index: usize) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 8_000 + index as u16))
}

/// At 75 instances the loss of one datagram made an instance count as unreachable: caps were
/// reduced, only a part of what it had admitted was charged, and other instances watched the store
/// in its place.
#[rstest]
#[case::one(1)]
#[case::all_in_each_round(16)]
#[case::two_rounds(17)]
#[case::users_fleet(74)]
#[case::three_hundred(299)]
#[case::planned_size(379)]
fn recipients_keeps_all_reachable_with_one_lost_message(#[case] others: usize) {
    let addresses: Vec<_> = (0..others).map(address).collect();
    let mut received: collections::BTreeMap<_, Vec<u64>> = collections::BTreeMap::new();
    for number in 0..200 {
        let recipients = gossip::recipients(&addresses, number);
        for address in recipients.digests.iter().chain(&recipients.heartbeats) {
            let times = received.entry(*address).or_default();
            times.push(number as u64 * INTERVAL);
        }
    }
    assert_eq!(received.len(), others);
    for times in received.values() {
        let with_one_lost = times.windows(3).map(|w| w[2] - w[0]);
        assert!(
            with_one_lost.max().unwrap() < UNREACHABLE_AFTER,
            "{times:?}"
        );
    }
}

#[rstest]
#[case::few(8)]
#[case::many(379)]
fn recipients_repeats_no_address(#[case] others: usize) {
    let addresses: Vec<_> = (0..others).map(address).collect();
    for number in 0..50 {
        let recipients = gossip::recipients(&addresses, number);
        let all: Vec<_> = recipients
            .digests
            .iter()
            .chain(&recipients.heartbeats)
            .collect();
        let distinct: collections::BTreeSet<_> = all.iter().collect();
        assert_eq!(distinct.len(), all.len());
    }
}

#[test]
fn recipients_of_no_addresses_is_empty() {
    assert_eq!(gossip::recipients(&[], 7), gossip::Recipients::default());
}

#[test]
fn apply_heartbeat_keeps_an_instance_reachable_and_updates_it() {
    let mut own = Instance::new(1);
    let mut other = Instance::new(2);
    own.receive(START, other.digest(START));
    other.state.watching = true;
    let heartbeat = other.state.heartbeat(at(1_000), Vec::new());
    own.apply(at(1_000), event::Event::Heartbeat(heartbeat));
    let name = other.state.own.name.clone();
    assert!(own.state.peers.is_reachable(at(2_100), &name));
    assert!(own.state.peers.has_store_watcher(at(2_100)));
    assert!(!own.state.peers.is_reachable(at(2_200), &name));
}

#[test]
fn apply_heartbeat_of_another_process_waits_for_its_digest() {
    let mut own = Instance::new(1);
    let mut other = Instance::new(2);
    own.receive(START, other.digest(START));
    other.state.own.incarnation = 2;
    let heartbeat = other.state.heartbeat(at(1_000), Vec::new());
    own.apply(at(1_000), event::Event::Heartbeat(heartbeat));
    let name = other.state.own.name.clone();
    assert!(!own.state.peers.is_reachable(at(1_300), &name));
}

#[test]
fn apply_heartbeat_charges_usage_once() {
    let mut own = Instance::serving(1, 1);
    let mut other = Instance::serving(2, 1);
    let manifest = relay_support::manifest(2, 1_000.0, None);
    for instance in [&mut own, &mut other] {
        instance.apply(START, manifest.clone());
    }
    own.receive(START, other.digest(START));
    let repeat = guavausher_core::relay::route::RetryPolicy::Idempotent;
    other.send(at(10), relay_support::new_request(1, at(10), repeat, 2));
    let heartbeat = other.state.heartbeat(at(10), Vec::new());
    let ward = relay_support::name("ward");
    for _ in 0..2 {
        own.apply(at(10), event::Event::Heartbeat(heartbeat.clone()));
        assert_eq!(own.state.caps.level(at(10), &ward), Some(100));
    }
}
