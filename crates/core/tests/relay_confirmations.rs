//! Changes reach all instances in time, whatever happens to those that watch the store.

mod relay_support;

use std::time::Duration;

use guavausher_core::relay::{confirmation, group, position, revision, state, store_check};
use relay_support::fleet::{Fleet, Network};
use relay_support::{START, at, name};
use rstest::rstest;

/// A tenth of all messages is lost, and some arrive twice.
const LOSSY: Network = Network {
    lost: 100,
    duplicated: 20,
};
/// Time in which all instances discover each other and some of them watch the store.
const CONNECT_TIME: Duration = Duration::from_secs(8);
const KIND: usize = 0;
const BOUND: Duration = Duration::from_secs(2);

fn following(size: usize, domains: usize, bound: Duration) -> Fleet {
    let mut fleet = Fleet::new(size, domains, LOSSY);
    fleet.read_store(bound);
    fleet.run_for(CONNECT_TIME);
    assert_eq!(fleet.behind(1), 0);
    fleet
}

/// What befalls the instances that watch the store, right before a change.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// The store is silent to them.
    Cut,
    /// The store is silent to them and to those that would take their place.
    CutWithTheirSuccessors,
    /// They stop without a word.
    Killed,
    /// They stop, and the store is silent to those that would take their place.
    KilledAndTheirSuccessorsCut,
}

/// Guards against a change that reaches the last instance late, since the steps until others watch
/// the store add up to more than the bound (CONFIG, DRAIN).
#[rstest]
fn change_in_force_in_time_though_those_that_watch_are_lost(
    #[values((9, 3, 2), (69, 3, 3), (87, 3, 3), (295, 5, 4))] shape: (usize, usize, u64),
    #[values(
        Trouble::Cut,
        Trouble::CutWithTheirSuccessors,
        Trouble::Killed,
        Trouble::KilledAndTheirSuccessorsCut
    )]
    trouble: Trouble,
    #[values(0, 250)] moment: u64,
) {
    let (size, domains, bound) = shape;
    let bound = Duration::from_secs(bound);
    let mut fleet = following(size, domains, bound);
    fleet.run_for(Duration::from_millis(moment));
    lose_watchers(&mut fleet, trouble);
    let changed = fleet.change_store();
    fleet.run_for(bound);
    // An instance that the store turns away owes the change as well.
    assert_eq!(fleet.behind(changed), 0);
}

fn lose_watchers(fleet: &mut Fleet, trouble: Trouble) {
    let watching: Vec<_> = fleet.states().map(|state| state.watching).collect();
    if matches!(
        trouble,
        Trouble::Killed | Trouble::KilledAndTheirSuccessorsCut
    ) {
        fleet.kill(|index| watching[index]);
    }
    let cuts_most = matches!(
        trouble,
        Trouble::CutWithTheirSuccessors | Trouble::KilledAndTheirSuccessorsCut
    );
    // The first in rank take the place of those that watch.
    let mut ranks: Vec<_> = fleet.states().map(rank).collect();
    ranks.sort_unstable();
    let last = ranks[ranks.len() * 2 / 3];
    fleet.cut_from_store(|state| state.watching || (cuts_most && rank(state) < last));
}

fn rank(state: &state::State) -> u64 {
    group::selection_key(&state.own.name)
}

/// Guards against a fleet that reads the store more often for confirmations than to follow it.
#[rstest]
#[case::small(9, 3, 2)]
#[case::diagne(69, 3, 3)]
#[case::lakeshore(87, 3, 3)]
#[case::large(295, 5, 4)]
fn store_read_for_confirmations_by_few(
    #[case] size: usize,
    #[case] domains: usize,
    #[case] bound: u64,
) {
    const SECONDS: u64 = 10;
    /// Replies to a watch that finds no change, of three instances in ten seconds.
    const MAX_READS: u64 = 40;
    let mut fleet = following(size, domains, Duration::from_secs(bound));
    let before = fleet.store_reads();
    fleet.run_for(Duration::from_secs(SECONDS));
    let reads = fleet.store_reads() - before;
    assert!(reads <= MAX_READS, "{reads}");
}

/// What the messages carry in addition stays within the budget between failure domains.
#[test]
fn append_to_costs_little_between_domains() {
    const SECONDS: u64 = 3;
    /// Bytes that an instance may send in a second for control to other failure domains.
    const MAX_FAR_BYTES: u64 = 2_048;
    let mut fleet = following(295, 5, Duration::from_secs(4));
    fleet.take_sent();
    fleet.run_for(Duration::from_secs(SECONDS));
    let far: u64 = fleet.take_sent().iter().map(|sent| sent.far_bytes).sum();
    let mean = far / fleet.size() as u64 / SECONDS;
    assert!(mean <= MAX_FAR_BYTES, "{mean} bytes a second");
}

/// The share of the bound at which a first read is due, with the spread of the instances.
#[rstest]
#[case::confirmed(Some(790), false)]
#[case::unconfirmed(Some(900), true)]
#[case::never_confirmed(None, false)]
fn is_due_after_a_share_of_the_bound(#[case] age_ms: Option<u64>, #[case] is_due: bool) {
    let mut check = store_check::StoreCheck::new(&name("own"));
    let age = age_ms.map(Duration::from_millis);
    assert_eq!(check.is_due(START, age, BOUND), is_due);
}

#[test]
fn is_due_again_after_growing_delays() {
    let mut check = store_check::StoreCheck::new(&name("own"));
    let due = (0..10_000).step_by(50).filter(|millis| {
        let age = Some(Duration::from_millis(1_000 + millis));
        check.is_due(at(*millis), age, BOUND)
    });
    let due: Vec<_> = due.collect();
    assert_eq!(due, [0, 250, 750, 1_750, 3_750, 5_750, 7_750, 9_750]);
}

#[test]
fn is_due_without_any_confirmation_since_the_first_objects() {
    let mut check = store_check::StoreCheck::new(&name("own"));
    assert!(!check.is_due(START, None, BOUND));
    assert!(check.is_due(at(900), None, BOUND));
}

/// A clock that is ahead by two seconds would confirm everything for as long.
#[rstest]
#[case::exact(0, Some(0))]
#[case::a_little_ahead(300_000, Some(0))]
#[case::far_ahead(2_000_000, None)]
fn age_of_a_confirmation_from_a_clock_ahead(#[case] ahead: u64, #[case] age: Option<u64>) {
    let now = 1_800_000_000_000_000;
    let mut confirmations = confirmation::Confirmations::default();
    confirmations.record(now, KIND, now + ahead);
    let known = confirmations.age(now, KIND);
    assert_eq!(known.map(|age| age.as_micros() as u64), age);
}

/// Builds that know no confirmations send and read the positions alone.
#[test]
fn append_to_leaves_the_positions_as_they_are() {
    let position = position::Position {
        revision: revision::Revision::from_packed(7),
        content_hash: 9,
    };
    let mut confirmations = confirmation::Confirmations::default();
    assert_eq!(confirmations.append_to(&[position]), [position]);
    confirmations.record(1_000, KIND, 500);
    let all = confirmations.append_to(&[position]);
    assert_eq!(all[0], position);
    assert_eq!(confirmation::decode(&all, KIND), Some(500));
    assert_eq!(confirmation::decode(&[position], KIND), None);
}
