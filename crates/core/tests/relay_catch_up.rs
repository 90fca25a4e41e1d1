//! Sources from which instances that are behind fetch changes.

mod relay_support;

use std::collections;
use std::time::Duration;

use guavausher_core::relay::{catch_up, peers, position, revision};
use guavausher_core::time;
use relay_support::{Instance, START, at, name};
use rstest::rstest;

const KIND: usize = 0;
const STORE_DELAY: Duration = Duration::from_millis(250);

fn position(revision: u64) -> position::Position {
    position::Position {
        revision: revision::Revision::from_packed(revision),
        content_hash: revision,
    }
}

/// Returns the view of an instance whose peers have read up to these revisions.
fn peers_at(now: time::Time, revisions: &[u64]) -> peers::Peers {
    let mut peers = relay_support::no_peers();
    for (index, revision) in (1..).zip(revisions) {
        let instance = Instance::new(index);
        peers.apply_digest(now, instance.state.digest(now, vec![position(*revision)]));
    }
    peers
}

fn view(peers: &peers::Peers, own: u64, store: bool) -> catch_up::View<'_> {
    catch_up::View {
        peers,
        kind: KIND,
        own: position(own),
        store_available: store,
    }
}

fn source_name(source: Option<catch_up::Source>) -> Option<String> {
    match source? {
        catch_up::Source::Peer { name, .. } => Some(name.to_string()),
        catch_up::Source::Store => Some(String::from("store")),
    }
}

/// All instances that were behind queried the peer furthest ahead, whose link could not carry the
/// load, so requests to an engine that left stopped too late at 75 instances.
#[test]
fn next_source_spreads_the_instances_that_are_behind() {
    let peers = peers_at(START, &[9; 12]);
    let mut asked: collections::BTreeMap<String, usize> = collections::BTreeMap::new();
    for index in 0..72 {
        let mut own = catch_up::CatchUp::new(&name(&format!("own-{index}")), STORE_DELAY);
        let source = source_name(own.next_source(START, view(&peers, 5, false), true)).unwrap();
        *asked.entry(source).or_default() += 1;
    }
    assert!(asked.len() >= 10, "{asked:?}");
    // Six each on average.
    assert!(asked.values().all(|count| *count <= 18), "{asked:?}");
}

#[test]
fn next_source_prefers_peers_further_ahead() {
    let peers = peers_at(START, &[6, 6, 9, 9]);
    let further = (0..100).filter(|index| {
        let mut own = catch_up::CatchUp::new(&name(&format!("own-{index}")), STORE_DELAY);
        let source = source_name(own.next_source(START, view(&peers, 5, false), true)).unwrap();
        ["front-3", "front-4"].contains(&source.as_str())
    });
    // Two of four are sampled and the one further ahead is queried: three quarters on average.
    assert!(further.count() > 60);
}

#[test]
fn next_source_queries_the_store_after_a_slow_peer() {
    let peers = peers_at(START, &[9, 9, 9]);
    let mut own = catch_up::CatchUp::new(&name("own"), STORE_DELAY);
    let first = source_name(own.next_source(START, view(&peers, 5, true), true)).unwrap();
    assert_ne!(first, "store");
    assert_eq!(own.next_source(at(200), view(&peers, 5, true), true), None);
    let second = source_name(own.next_source(at(250), view(&peers, 5, true), true));
    assert_eq!(second.as_deref(), Some("store"));
    let third = source_name(own.next_source(at(500), view(&peers, 5, true), true)).unwrap();
    assert!(third != first && third != "store");
    assert_eq!(
        own.next_source(at(750), view(&peers, 5, true), true),
        None,
        "at most three queries"
    );
}

#[test]
fn next_source_avoids_a_failed_peer() {
    let peers = peers_at(START, &[9, 9]);
    let mut own = catch_up::CatchUp::new(&name("own"), STORE_DELAY);
    let first = own
        .next_source(START, view(&peers, 5, false), true)
        .unwrap();
    own.record_result(at(10), &first, false);
    let second = own
        .next_source(at(10), view(&peers, 5, false), true)
        .unwrap();
    assert_ne!(first, second);
    own.record_result(at(20), &second, false);
    // With no other peer left, those that failed are queried again.
    assert!(
        own.next_source(at(20), view(&peers, 5, false), true)
            .is_some()
    );
}

#[test]
fn next_source_drops_a_query_that_never_ends() {
    let mut own = catch_up::CatchUp::new(&name("own"), STORE_DELAY);
    for millis in [0, 250, 500] {
        let peers = peers_at(at(millis), &[9, 9, 9, 9]);
        assert!(
            own.next_source(at(millis), view(&peers, 5, false), true)
                .is_some()
        );
    }
    let peers = peers_at(at(2_000), &[9, 9, 9, 9]);
    assert_eq!(
        own.next_source(at(1_900), view(&peers, 5, false), true),
        None
    );
    assert!(
        own.next_source(at(2_000), view(&peers, 5, false), true)
            .is_some()
    );
}

#[rstest]
#[case::on_peers_at_once(true, 0, true)]
#[case::on_the_store_too_early(false, 200, false)]
#[case::on_the_store_late(false, 250, true)]
fn next_source_waits_for_the_store_watch(
    #[case] relies_on_peers: bool,
    #[case] after: u64,
    #[case] queries: bool,
) {
    let peers = peers_at(at(0), &[9]);
    let mut own = catch_up::CatchUp::new(&name("own"), STORE_DELAY);
    let first = own.next_source(START, view(&peers, 5, false), relies_on_peers);
    let later = own.next_source(at(after), view(&peers, 5, false), relies_on_peers);
    assert_eq!(first.or(later).is_some(), queries);
}

/// A process that has just listed has a higher revision than all others, and all of them fetched
/// its list although its content was the same.
#[test]
fn next_source_skips_peers_with_the_same_content() {
    let mut peers = relay_support::no_peers();
    let newcomer = Instance::new(1);
    let same = position::Position {
        revision: revision::Revision::from_packed(9),
        content_hash: 5,
    };
    peers.apply_digest(START, newcomer.state.digest(START, vec![same]));
    let mut own = catch_up::CatchUp::new(&name("own"), STORE_DELAY);
    assert_eq!(own.next_source(START, view(&peers, 5, true), true), None);
    let confirmed = peers.confirmed_revision(START, KIND, position(5));
    assert_eq!(confirmed, revision::Revision::from_packed(9));
}

#[test]
fn behind_for_measures_since_detection() {
    let peers = peers_at(START, &[9]);
    let mut own = catch_up::CatchUp::new(&name("own"), STORE_DELAY);
    assert_eq!(own.behind_for(START), None);
    own.next_source(START, view(&peers, 5, false), true);
    assert_eq!(own.behind_for(at(300)), Some(Duration::from_millis(300)));
    own.next_source(at(400), view(&peers, 9, false), true);
    assert_eq!(own.behind_for(at(400)), None);
}
