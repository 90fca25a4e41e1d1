//! Tests of the split of requests between two versions at one entry.

use guavausher_core::name;
use guavausher_core::rollout;
use guavausher_core::time;
use proptest::prelude::*;
use rstest::rstest;

const GENERATION: u64 = 7;

fn service() -> name::Name {
    name::Name::from("verse-scribe")
}

fn version(text: &str) -> name::Name {
    name::Name::from(text)
}

fn status(phase: rollout::Phase, share: u32) -> rollout::Status {
    rollout::Status {
        format: rollout::FORMAT,
        operation: name::Name::default(),
        service: service(),
        from: version("v1"),
        to: version("v2"),
        share,
        limit: share,
        phase,
        next: time::Time::MAX,
        settle: time::Time::MAX,
        deadline: time::Time::from_millis(10_000),
        generation: GENERATION,
        reason: String::new(),
    }
}

fn count_new(split: &mut rollout::Split, requests: u32) -> u32 {
    let chosen = (0..requests).map(|_| split.choose(&service(), &version("v1")));
    chosen
        .map(|chosen| u32::from(chosen == version("v2")))
        .sum()
}

#[rstest]
#[case::canary(rollout::Phase::Canary, 50, 5)]
#[case::ramp(rollout::Phase::Ramp, 900, 90)]
#[case::done(rollout::Phase::Done, 1_000, 100)]
#[case::rolled_back(rollout::Phase::RolledBack, 0, 0)]
fn choose_follows_phase(#[case] phase: rollout::Phase, #[case] share: u32, #[case] want: u32) {
    let mut split = rollout::Split::new();
    split.adopt(&[status(phase, share)]);
    assert_eq!(count_new(&mut split, 100), want);
}

#[rstest]
#[case::same(GENERATION, 0)]
#[case::later(GENERATION + 1, 0)]
#[case::earlier(GENERATION - 1, 50)]
fn halt_stops_version(#[case] generation: u64, #[case] want: u32) {
    let mut split = rollout::Split::new();
    split.adopt(&[status(rollout::Phase::Ramp, 500)]);
    split.halt(&service(), &version("v2"), generation);
    split.adopt(&[status(rollout::Phase::Ramp, 500)]);
    assert_eq!(count_new(&mut split, 100), want);
}

#[rstest]
#[case::before_deadline(rollout::Phase::Ramp, 9_999, 50)]
#[case::at_deadline(rollout::Phase::Ramp, 10_000, 0)]
#[case::already_done(rollout::Phase::Done, 10_000, 100)]
fn expire_stops_undecided(#[case] phase: rollout::Phase, #[case] now: u64, #[case] want: u32) {
    let mut split = rollout::Split::new();
    split.adopt(&[status(phase, 500)]);
    split.expire(time::Time::from_millis(now));
    assert_eq!(count_new(&mut split, 100), want);
}

#[test]
fn choose_returns_declared_outside_rollout() {
    let mut split = rollout::Split::new();
    split.adopt(&[status(rollout::Phase::Done, 1_000)]);
    assert_eq!(split.choose(&service(), &version("v9")), version("v9"));
    split.adopt(&[]);
    assert_eq!(split.choose(&service(), &version("v1")), version("v1"));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    #[test]
    fn choose_follows_share(steps in prop::collection::vec((1..=1_000_u32, 1..200_u32), 1..8)) {
        let mut split = rollout::Split::new();
        let (mut moved, mut allowed) = (0, 0);
        for (share, requests) in steps {
            split.adopt(&[status(rollout::Phase::Ramp, share)]);
            for _ in 0..requests {
                moved += count_new(&mut split, 1);
                allowed += share;
                prop_assert!(moved * rollout::FULL_SHARE <= allowed);
                prop_assert!((moved + 1) * rollout::FULL_SHARE > allowed);
            }
        }
    }
}
