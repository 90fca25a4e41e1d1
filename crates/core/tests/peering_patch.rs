//! Documents rebuilt from patches.

use std::sync;

use guavausher_core::peering;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn document(generation: u64, body: &[u8]) -> peering::Document {
    peering::Document {
        topic: peering::Topic::Config,
        generation,
        body: sync::Arc::from(body),
    }
}

fn upstreams(count: usize, changed: Option<usize>) -> Vec<u8> {
    let line = |index: usize| {
        let class = if changed == Some(index) {
            "gpu-large"
        } else {
            "gpu-small"
        };
        format!("verse-scribe-{index} 10.0.0.{index}:8000 {class} altan-ulgii reclaimable 16\n")
    };
    (0..count).map(line).collect::<String>().into_bytes()
}

#[rstest]
#[case::changed(upstreams(770, None), upstreams(770, Some(400)), 200)]
#[case::added(upstreams(770, None), upstreams(771, None), 200)]
#[case::removed(upstreams(771, None), upstreams(770, None), 200)]
#[case::same(upstreams(770, None), upstreams(770, None), 200)]
#[case::emptied(upstreams(770, None), Vec::new(), 200)]
#[case::from_empty(Vec::new(), upstreams(2, None), 200)]
fn patch_is_small(#[case] old: Vec<u8>, #[case] new: Vec<u8>, #[case] limit: usize) {
    let (base, target) = (document(1, &old), document(2, &new));
    let patch = peering::Patch::between(&base, &target);
    assert!(patch.size() <= limit, "{} bytes", patch.size());
    assert_eq!(patch.apply(&base), Some(target));
}

#[rstest]
#[case::other_generation(document(3, b"base"))]
#[case::other_body(document(1, b"another base that is long enough to copy from"))]
#[case::other_upstream(document(1, &upstreams(5, Some(4))))]
#[case::short_body(document(1, b""))]
fn patch_refuses_base(#[case] held: peering::Document) {
    let base = document(1, &upstreams(5, None));
    let target = document(2, &upstreams(5, Some(2)));
    let patch = peering::Patch::between(&base, &target);
    assert_eq!(patch.apply(&held), None);
}

#[test]
fn patch_refuses_oversized_body() {
    let base = document(1, &vec![7; 1 << 20]);
    let target = document(2, &vec![7; 1 << 20]);
    let mut patch = peering::Patch::between(&base, &target);
    patch.steps = vec![
        peering::Step::Copy {
            start: 0,
            length: 1 << 20
        };
        3
    ];
    assert_eq!(patch.apply(&base), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn patch_rebuilds_any_body(
        base in proptest::collection::vec(0_u8..4, 0..600),
        target in proptest::collection::vec(0_u8..4, 0..600),
        kept in 0_usize..600,
    ) {
        let kept = &base[..kept.min(base.len())];
        let target: Vec<_> = target.iter().chain(kept).copied().collect();
        let (base, target) = (document(1, &base), document(2, &target));
        let patch = peering::Patch::between(&base, &target);
        prop_assert_eq!(patch.apply(&base), Some(target));
    }
}
