//! Convergence of facts, documents and reports in a simulated fleet.

#[path = "peering/fleet.rs"]
mod fleet;
#[path = "peering/reports.rs"]
mod reports;

use std::sync;
use std::time::Duration;

use guavausher_core::fact;
use guavausher_core::name;
use guavausher_core::peering;
use guavausher_core::time;
use rstest::rstest;

const RELIABLE: fleet::Faults = fleet::Faults {
    lost: 0,
    duplicated: 0,
    jitter: 2,
};
const LOSSY: fleet::Faults = fleet::Faults {
    lost: 200,
    duplicated: 100,
    jitter: 40,
};
const SETTLE: Duration = Duration::from_secs(10);
const MINUTE: Duration = Duration::from_secs(60);

fn settled_fleet(size: usize, seed: u64, faults: fleet::Faults) -> fleet::Fleet {
    let domains = if size > 9 { 9 } else { 3 };
    let mut fleet = fleet::Fleet::new(size, domains, seed, faults);
    fleet.run(SETTLE);
    fleet
}

fn leaving(index: u64) -> fact::Fact {
    fact::Fact::Leaving {
        upstream: name::Name::from(format!("verse-scribe-{index}")),
        incarnation: 1,
    }
}

fn add_fact(fleet: &mut fleet::Fleet, index: usize, fact: &fact::Fact) {
    let expiry = fleet.now.after(Duration::from_secs(600));
    let fact = fact.clone();
    fleet.input(index, peering::Input::AddFact { fact, expiry });
}

fn document(generation: u64, body: &[u8]) -> peering::Document {
    peering::Document {
        topic: peering::Topic::Config,
        generation,
        body: sync::Arc::from(body),
    }
}

fn publish(fleet: &mut fleet::Fleet, index: usize, generation: u64) {
    let body = format!("generation {generation} {}", "rest ".repeat(500));
    let document = document(generation, body.as_bytes());
    fleet.input(index, peering::Input::Publish(document));
}

fn all_at(generation: u64) -> impl Fn(&fleet::Fleet) -> bool {
    let topic = peering::Topic::Config;
    move |fleet| fleet.all(|node| node.state.generation(topic) == generation)
}

#[rstest]
#[case::small(9, 1, RELIABLE, 100)]
#[case::small_lossy(9, 2, LOSSY, 1900)]
#[case::large(380, 3, RELIABLE, 200)]
#[case::large_lossy(380, 4, LOSSY, 1900)]
fn fact_spreads_to_all(
    #[case] size: usize,
    #[case] seed: u64,
    #[case] faults: fleet::Faults,
    #[case] limit: u64,
) {
    let mut fleet = settled_fleet(size, seed, faults);
    let fact = leaving(1);
    add_fact(&mut fleet, size / 2, &fact);
    let took = fleet.run_for(MINUTE, |fleet| fleet.all(|node| node.state.has_fact(&fact)));
    assert!(took.is_some_and(|took| took <= limit), "{took:?} ms");
}

#[rstest]
#[case::small(9, 5)]
#[case::large(380, 6)]
fn fact_sends_one_message_per_link(#[case] size: usize, #[case] seed: u64) {
    let mut fleet = settled_fleet(size, seed, RELIABLE);
    for node in &mut fleet.nodes {
        node.sent.clear();
    }
    let fact = leaving(1);
    add_fact(&mut fleet, 0, &fact);
    fleet.run(Duration::from_secs(5));
    for node in &fleet.nodes {
        let sent = node.sent.get("facts").copied().unwrap_or(0);
        assert!(sent <= node.state.linked_peers().count() as u64, "{sent}");
        assert_eq!(node.sent.get("buckets"), None);
    }
}

#[rstest]
#[case::small(9, 7)]
#[case::large(380, 8)]
fn fact_recovers_after_total_loss(#[case] size: usize, #[case] seed: u64) {
    let mut fleet = settled_fleet(size, seed, RELIABLE);
    fleet.faults.lost = 1000;
    let fact = leaving(1);
    add_fact(&mut fleet, 0, &fact);
    fleet.run(Duration::from_millis(100));
    fleet.faults.lost = 0;
    let took = fleet.run_for(MINUTE, |fleet| fleet.all(|node| node.state.has_fact(&fact)));
    assert!(took.is_some());
}

#[rstest]
#[case::small(9, 9, RELIABLE, 300)]
#[case::small_lossy(9, 10, LOSSY, 7900)]
#[case::large(380, 11, RELIABLE, 500)]
#[case::large_lossy(380, 12, LOSSY, 7900)]
fn config_spreads_from_one_watcher(
    #[case] size: usize,
    #[case] seed: u64,
    #[case] faults: fleet::Faults,
    #[case] limit: u64,
) {
    let mut fleet = settled_fleet(size, seed, faults);
    for generation in [4, 7] {
        // Only one watcher reads the new generation, as if the store failed right afterwards.
        let watcher = fleet.watchers(peering::Topic::Config)[0];
        publish(&mut fleet, watcher, generation);
        let took = fleet.run_for(MINUTE, all_at(generation));
        assert!(took.is_some_and(|took| took <= limit), "{took:?} ms");
    }
}

#[test]
fn config_ignores_older_generation() {
    let mut fleet = settled_fleet(9, 13, LOSSY);
    publish(&mut fleet, 0, 5);
    fleet.run_for(MINUTE, all_at(5)).unwrap();
    for index in 0..9 {
        publish(&mut fleet, index, 4);
    }
    fleet.run(SETTLE);
    assert!(all_at(5)(&fleet));
    for node in &fleet.nodes {
        assert_eq!(node.adopted.len(), 1);
    }
}

#[test]
fn config_changes_sent_as_patches() {
    let mut fleet = settled_fleet(45, 14, RELIABLE);
    publish(&mut fleet, 0, 1);
    fleet.run_for(MINUTE, all_at(1)).unwrap();
    for node in &mut fleet.nodes {
        node.sent.clear();
    }
    publish(&mut fleet, 3, 2);
    fleet.run_for(MINUTE, all_at(2)).unwrap();
    let complete: u64 = fleet
        .nodes
        .iter()
        .filter_map(|node| node.sent.get("document"))
        .sum();
    let patches: u64 = fleet
        .nodes
        .iter()
        .filter_map(|node| node.sent.get("patch"))
        .sum();
    assert_eq!((complete, patches), (0, 44));
    let body = |node: &fleet::Node| node.adopted.last().map(|last| last.body.clone());
    assert!(
        fleet
            .nodes
            .iter()
            .all(|node| body(node) == body(&fleet.nodes[3]))
    );
}

#[rstest]
#[case::small(9, 15)]
#[case::large(380, 16)]
fn partitioned_domain_catches_up(#[case] size: usize, #[case] seed: u64) {
    let mut fleet = settled_fleet(size, seed, RELIABLE);
    fleet.partition(Some("domain-1"));
    fleet.run(MINUTE);
    let outside = leaving(1);
    let inside = leaving(2);
    add_fact(&mut fleet, 0, &outside);
    add_fact(&mut fleet, 1, &inside);
    publish(&mut fleet, 0, 3);
    fleet.run(SETTLE);
    assert_eq!(fleet.nodes[1].state.generation(peering::Topic::Config), 0);
    assert!(!fleet.nodes[0].state.has_fact(&inside));
    fleet.partition(None);
    let healed = |fleet: &fleet::Fleet| {
        fleet.all(|node| node.state.has_fact(&outside) && node.state.has_fact(&inside))
            && all_at(3)(fleet)
    };
    let took = fleet.run_for(MINUTE, healed);
    assert!(took.is_some_and(|took| took <= 15_000), "{took:?} ms");
}

#[rstest]
#[case::small_third(9, 17, 3)]
#[case::large_third(380, 18, 3)]
#[case::large_half(380, 19, 2)]
fn fact_spreads_past_stopped_members(#[case] size: usize, #[case] seed: u64, #[case] every: usize) {
    let mut fleet = settled_fleet(size, seed, RELIABLE);
    // The member list still contains the stopped nodes.
    for index in (1..size).step_by(every) {
        fleet.stop(index);
    }
    fleet.run(SETTLE);
    let fact = leaving(1);
    add_fact(&mut fleet, 0, &fact);
    let took = fleet.run_for(MINUTE, |fleet| fleet.all(|node| node.state.has_fact(&fact)));
    assert!(took.is_some_and(|took| took <= 1900), "{took:?} ms");
}

#[rstest]
#[case::small_one(9, 42, 8, 1_900)]
#[case::large_tenth(380, 43, 10, 1_900)]
#[case::large_third(380, 44, 3, 12_000)]
fn fact_spreads_past_frozen_members(
    #[case] size: usize,
    #[case] seed: u64,
    #[case] every: usize,
    #[case] limit: u64,
) {
    let mut fleet = settled_fleet(size, seed, RELIABLE);
    // The links to the frozen nodes stay up, but the nodes send nothing.
    for index in (1..size).step_by(every) {
        fleet.nodes[index].up = false;
    }
    let fact = leaving(1);
    add_fact(&mut fleet, 0, &fact);
    publish(&mut fleet, 2, 6);
    let reached = |fleet: &fleet::Fleet| fleet.all(|node| node.state.has_fact(&fact));
    let took = fleet.run_for(MINUTE, reached);
    assert!(took.is_some_and(|took| took <= limit), "{took:?} ms");
    let took = fleet.run_for(MINUTE, all_at(6));
    assert!(took.is_some_and(|took| took <= 8_000), "{took:?} ms");
}

#[test]
fn restarted_member_catches_up() {
    let mut fleet = settled_fleet(9, 20, RELIABLE);
    publish(&mut fleet, 0, 3);
    fleet.run(SETTLE);
    fleet.stop(4);
    fleet.run(SETTLE);
    fleet.restart(4);
    let caught_up = |fleet: &fleet::Fleet| {
        let state = &fleet.nodes[4].state;
        state.is_synced() && state.generation(peering::Topic::Config) == 3
    };
    assert!(!caught_up(&fleet));
    // The node becomes ready through its peers, without a read of the store.
    assert!(fleet.run_for(SETTLE, caught_up).is_some());
}

#[test]
fn new_member_ready_only_with_newest_config() {
    let mut fleet = settled_fleet(9, 21, RELIABLE);
    publish(&mut fleet, 0, 3);
    fleet.run(SETTLE);
    let new = fleet.add(fleet::member(9, 3));
    let list = fleet.list();
    // Only the new node has the current member list; the others still have the old one.
    fleet.input(new, peering::Input::Members(list));
    // A stale read of the store does not make the new node ready with the older generation.
    publish(&mut fleet, new, 2);
    let took = fleet.run_for(MINUTE, |fleet| fleet.nodes[new].state.is_synced());
    assert!(took.is_some());
    assert_eq!(fleet.nodes[new].state.generation(peering::Topic::Config), 3);
}

#[test]
fn fleet_not_ready_without_store() {
    let fleet = settled_fleet(9, 22, RELIABLE);
    assert!(fleet.nodes.iter().all(|node| !node.state.is_synced()));
}

#[test]
fn fleet_ready_with_empty_store() {
    let mut fleet = settled_fleet(9, 23, RELIABLE);
    fleet.input(0, peering::Input::Publish(document(0, b"")));
    let all = |fleet: &fleet::Fleet| fleet.all(|node| node.state.is_synced());
    assert!(fleet.run_for(SETTLE, all).is_some());
}

#[rstest]
#[case::small(9, 3, 24)]
#[case::large(380, 9, 25)]
fn watchers_limited_per_domain(#[case] size: usize, #[case] domains: usize, #[case] seed: u64) {
    let fleet = settled_fleet(size, seed, RELIABLE);
    for topic in peering::Topic::ALL {
        let watchers = fleet.watchers(topic).len();
        assert_eq!(watchers, domains * peering::WATCHERS_PER_DOMAIN);
    }
}

#[test]
fn isolated_node_watches_all_topics() {
    let mut fleet = settled_fleet(9, 26, RELIABLE);
    for index in 1..9 {
        fleet.stop(index);
    }
    fleet.run(SETTLE);
    assert_eq!(fleet.nodes[0].watches.len(), peering::Topic::ALL.len());
}

#[rstest]
#[case::small(9, 27, 8)]
#[case::medium(190, 28, 16)]
#[case::large(380, 29, 16)]
fn links_bounded(#[case] size: usize, #[case] seed: u64, #[case] limit: usize) {
    let fleet = settled_fleet(size, seed, RELIABLE);
    for node in &fleet.nodes {
        let links = node.state.linked_peers().count();
        assert!((2..=limit).contains(&links), "{links}");
    }
}

fn hello(incarnation: u64) -> peering::Input {
    let member = peering::Member {
        incarnation,
        ..fleet::member(1, 1)
    };
    peering::Input::Message {
        from: member.name.clone(),
        message: peering::Message::Hello(peering::Hello {
            member,
            leaf: false,
        }),
    }
}

#[rstest]
#[case::same(3, false)]
#[case::newer(4, false)]
#[case::older(2, true)]
fn link_refuses_earlier_incarnation(#[case] incarnation: u64, #[case] refused: bool) {
    let now = time::Time::from_millis(1_000);
    let own = fleet::member(0, 1);
    let member = |incarnation| peering::Member {
        incarnation,
        ..fleet::member(1, 1)
    };
    let mut state = peering::Peering::new(own, 1);
    state.reduce(now, peering::Input::Members(vec![member(3)]));
    // A stale list does not restore the earlier incarnation.
    state.reduce(now, peering::Input::Members(vec![member(2)]));
    state.reduce(now, peering::Input::Linked(member(3).name));
    let outputs = state.reduce(now, hello(incarnation));
    let unlink = peering::Output::Unlink(member(3).name);
    assert_eq!(outputs.contains(&unlink), refused);
}

#[test]
fn member_removed_from_list_is_unlinked() {
    let mut fleet = settled_fleet(9, 40, RELIABLE);
    let mut list = fleet.list();
    let removed = list.remove(3).name;
    fleet.nodes[3].up = false;
    for index in (0..9).filter(|index| *index != 3) {
        fleet.input(index, peering::Input::Members(list.clone()));
    }
    fleet.run(Duration::from_secs(1));
    let links = |node: &fleet::Node| node.state.linked_peers().any(|peer| *peer == removed);
    assert!(fleet.all(|node| !links(node)));
}

#[test]
fn silent_peer_is_unlinked() {
    let now = time::Time::from_millis(1_000);
    let mut state = peering::Peering::new(fleet::member(0, 1), 1);
    let peer = fleet::member(1, 1);
    state.reduce(now, peering::Input::Members(vec![peer.clone()]));
    state.reduce(now, peering::Input::Linked(peer.name.clone()));
    let outputs = state.reduce(now.after(Duration::from_secs(7)), peering::Input::Tick);
    assert!(outputs.contains(&peering::Output::Unlink(peer.name)));
}

#[rstest]
#[case::unknown_link(false)]
#[case::huge_expiry(true)]
fn facts_from_peers_bounded(#[case] linked: bool) {
    let now = time::Time::from_millis(1_000);
    let mut state = peering::Peering::new(fleet::member(0, 1), 1);
    let peer = fleet::member(1, 1).name;
    if linked {
        state.reduce(now, peering::Input::Linked(peer.clone()));
    }
    for first in (0..10_000).step_by(500) {
        let facts = (first..first + 500).map(|index| peering::ExpiringFact {
            fact: leaving(index),
            expiry: time::Time::MAX,
        });
        let message = peering::Message::Facts(facts.collect());
        let from = peer.clone();
        state.reduce(now, peering::Input::Message { from, message });
    }
    let count = (0..10_000)
        .filter(|index| state.has_fact(&leaving(*index)))
        .count();
    assert_eq!(count, if linked { peering::MAX_FACTS } else { 0 });
    // An expiry beyond the maximum is clamped, so a peer's facts expire after a day.
    state.reduce(
        now.after(Duration::from_secs(25 * 3600)),
        peering::Input::Tick,
    );
    assert!((0..10_000).all(|index| !state.has_fact(&leaving(index))));
}
