//! Choice of the upstream for an attempt.

use std::sync;

use guavausher_core::declaration;
use guavausher_core::name;
use guavausher_core::routing;
use guavausher_core::time;
use rstest::rstest;

const NOW: time::Time = time::Time::from_millis(1_000);

fn name(text: &str) -> name::Name {
    name::Name::from(text)
}

fn upstream(index: u32, version: &str) -> declaration::Upstream {
    declaration::Upstream {
        name: name::Name::from(format!("engine-{index}")),
        service: name("verse-scribe"),
        version: name(version),
        address: ([127, 0, 0, 1], 9000 + index as u16).into(),
        domain: name("tolgoit"),
        class: name("gpu-small"),
        market: declaration::Market::Reclaimable,
        slots: 4,
    }
}

fn declaration(count: u32) -> declaration::Declaration {
    declaration::Declaration {
        domains: vec![declaration::Domain {
            name: name("tolgoit"),
            region: name("ulaanbaatar"),
        }],
        services: vec![declaration::Service {
            name: name("verse-scribe"),
            kind: declaration::Kind::Model,
            version: name("v1"),
            fencing: true,
            deduplicates: false,
        }],
        upstreams: (0..count).map(|index| upstream(index, "v1")).collect(),
        ..declaration::Declaration::default()
    }
}

fn fleet(count: u32) -> routing::Fleet {
    let mut fleet = routing::Fleet::new(name("tolgoit"), 7);
    fleet.declare(NOW, &declaration(count));
    fleet
}

fn query(blocks: &[u64]) -> routing::Query {
    routing::Query {
        service: name("verse-scribe"),
        version: None,
        workspace: name("monks"),
        priority: declaration::Priority::Quick,
        blocks: sync::Arc::from(blocks),
        prompt: blocks.len() as u32 * routing::BLOCK_TOKENS,
        output: 100,
        excluded: Vec::new(),
        packed: false,
        sticky: None,
    }
}

fn load(incarnation: u64, running: u32, at: time::Time) -> routing::Load {
    routing::Load {
        incarnation,
        queue: 0,
        running,
        slots: 4,
        at,
    }
}

/// Returns a hash chain whose members differ in all bits.
fn chain(seed: u64, length: u64) -> Vec<u64> {
    (0..length)
        .map(|index| (seed * 1_000 + index + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15))
        .collect()
}

#[test]
fn choose_prefers_cached() {
    let mut fleet = fleet(20);
    let query = query(&chain(1, 64));
    let first = fleet.choose(NOW, &query).expect("a usable upstream");
    fleet.start(NOW, 1, &first, &query);
    fleet.first_token(NOW, 1);
    fleet.end(
        NOW,
        1,
        routing::Outcome::Finished {
            prompt: 1024,
            cached: 0,
        },
    );
    for _ in 0..20 {
        assert_eq!(
            fleet
                .choose(NOW, &query)
                .expect("a usable upstream")
                .upstream,
            first.upstream
        );
    }
}

#[rstest]
#[case::same_incarnation(0, false)]
#[case::higher_incarnation(1, true)]
fn mark_leaving_excludes_incarnation(#[case] incarnation: u64, #[case] accepting: bool) {
    let mut fleet = fleet(1);
    fleet.mark_leaving(&name("engine-0"), 0);
    fleet.adopt_incarnation(NOW, &name("engine-0"), incarnation);
    fleet.apply_load(NOW, &name("engine-0"), load(incarnation, 0, NOW));
    assert_eq!(fleet.choose(NOW, &query(&[])).is_ok(), accepting);
}

#[test]
fn choose_exhausted_when_full() {
    let mut fleet = fleet(2);
    let mut attempts = 0;
    let exhausted = loop {
        match fleet.choose(NOW, &query(&[])) {
            Ok(choice) => fleet.start(NOW, attempts, &choice, &query(&[])),
            Err(exhausted) => break exhausted,
        }
        attempts += 1;
        assert!(attempts < 100, "unbounded dispatch");
    };
    assert!(attempts >= 8, "only {attempts} dispatched to 8 slots");
    assert!(exhausted.retry_at > NOW);
}

#[test]
fn choose_skips_excluded() {
    let mut fleet = fleet(2);
    let mut query = query(&[]);
    query.excluded = vec![name("engine-0")];
    for _ in 0..20 {
        assert_eq!(
            fleet
                .choose(NOW, &query)
                .expect("a usable upstream")
                .upstream,
            name("engine-1")
        );
    }
}

#[test]
fn choose_uses_ejected_when_most_are() {
    let mut fleet = fleet(3);
    for attempt in 0..30 {
        let Ok(choice) = fleet.choose(NOW, &query(&[])) else {
            panic!("attempt {attempt} found an empty pool");
        };
        fleet.start(NOW, attempt, &choice, &query(&[]));
        fleet.end(NOW, attempt, routing::Outcome::Failed);
    }
}

#[test]
fn choose_keeps_sticky() {
    let mut fleet = fleet(20);
    let mut query = query(&[]);
    query.sticky = Some(name("engine-13"));
    assert_eq!(
        fleet
            .choose(NOW, &query)
            .expect("a usable upstream")
            .upstream,
        name("engine-13")
    );
}

#[test]
fn choose_unknown_service_exhausted() {
    let mut fleet = fleet(2);
    let mut query = query(&[]);
    query.service = name("kiosk-desk");
    assert!(fleet.choose(NOW, &query).is_err());
}

#[test]
fn declare_keeps_unchanged_upstreams() {
    let mut fleet = fleet(20);
    let query = query(&chain(2, 64));
    let first = fleet.choose(NOW, &query).expect("a usable upstream");
    fleet.start(NOW, 1, &first, &query);
    fleet.first_token(NOW, 1);
    fleet.mark_leaving(&name("engine-3"), 0);
    let mut smaller = declaration(20);
    smaller
        .upstreams
        .retain(|upstream| upstream.name != name("engine-0"));
    fleet.declare(NOW, &smaller);
    let mut only = query.clone();
    only.excluded = (0..20)
        .filter(|&i| i != 3)
        .map(|i| name(&format!("engine-{i}")))
        .collect();
    assert!(fleet.choose(NOW, &only).is_err(), "leaving mark lost");
    fleet.end(NOW, 1, routing::Outcome::Cancelled);
}

#[test]
fn apply_load_adds_own_dispatches() {
    let mut fleet = fleet(2);
    let mut only = query(&[]);
    only.excluded = vec![name("engine-1")];
    let later = time::Time::from_millis(2_000);
    for attempt in 0..4 {
        let choice = fleet.choose(later, &only).expect("a usable upstream");
        fleet.start(later, attempt, &choice, &only);
    }
    fleet.apply_load(later, &name("engine-0"), load(0, 0, NOW));
    let choice = fleet.choose(later, &query(&[])).expect("a usable upstream");
    assert_eq!(choice.upstream, name("engine-1"));
}

#[rstest]
#[case::changed(true, true)]
#[case::removed_and_redeclared(true, false)]
#[case::before_declared(false, true)]
fn mark_leaving_survives_declaration(#[case] declared_first: bool, #[case] stays_declared: bool) {
    let mut fleet = routing::Fleet::new(name("tolgoit"), 7);
    if declared_first {
        fleet.declare(NOW, &declaration(1));
    }
    fleet.mark_leaving(&name("engine-0"), 0);
    if !stays_declared {
        fleet.declare(NOW, &declaration(0));
    }
    let mut changed = declaration(1);
    changed.upstreams[0].slots = 9;
    fleet.declare(NOW, &changed);
    assert!(fleet.choose(NOW, &query(&[])).is_err(), "leaving mark lost");
    fleet.adopt_incarnation(NOW, &name("engine-0"), 1);
    assert!(fleet.choose(NOW, &query(&[])).is_ok());
}

#[test]
fn choose_prefers_cheap_when_equal() {
    let mut declaration = declaration(20);
    for upstream in &mut declaration.upstreams[1..] {
        upstream.class = name("gpu-large");
    }
    let class = |text: &str, price| declaration::Class {
        name: name(text),
        domain: name("tolgoit"),
        market: declaration::Market::Reclaimable,
        price,
    };
    declaration.classes = vec![class("gpu-small", 100), class("gpu-large", 800)];
    declaration.upstreams.truncate(2);
    let mut fleet = routing::Fleet::new(name("tolgoit"), 7);
    fleet.declare(NOW, &declaration);
    let picks = (0..50).filter(|_| {
        let choice = fleet.choose(NOW, &query(&[])).expect("a usable upstream");
        choice.upstream == name("engine-0")
    });
    assert!(picks.count() >= 40, "price ignored");
}

#[test]
fn choose_avoids_reclaimed_domain() {
    let mut two_domains = declaration(8);
    for upstream in &mut two_domains.upstreams[..4] {
        upstream.domain = name("altan-ulgii");
    }
    let mut fleet = routing::Fleet::new(name("tolgoit"), 7);
    fleet.declare(NOW, &two_domains);
    assert!(fleet.choose(NOW, &query(&[])).is_ok());
    for index in 0..3 {
        fleet.mark_leaving(&name(&format!("engine-{index}")), 0);
    }
    let picks = (0..50).filter(|_| {
        let choice = fleet.choose(NOW, &query(&[])).expect("a usable upstream");
        choice.upstream == name("engine-3")
    });
    assert!(
        picks.count() <= 2,
        "the reclaimed domain still gets requests"
    );
}

#[test]
fn wake_returns_future_time() {
    let mut fleet = fleet(1);
    assert_eq!(fleet.wake(), None);
    let choice = fleet.choose(NOW, &query(&[])).expect("a usable upstream");
    fleet.start(NOW, 1, &choice, &query(&[]));
    fleet.end(NOW, 1, routing::Outcome::Refused);
    assert!(fleet.wake().is_some_and(|at| at > NOW));
    let later = time::Time::from_millis(60_000);
    assert!(fleet.choose(later, &query(&[])).is_ok());
    assert_eq!(fleet.wake(), None);
}

#[test]
fn capacity_follows_load_of_others() {
    let mut fleet = fleet(10);
    let service = name("verse-scribe");
    let free = fleet.capacity(NOW, &service);
    let mut now = NOW;
    for _ in 0..100 {
        now = now.after(std::time::Duration::from_millis(100));
        for index in 0..10 {
            fleet.apply_load(now, &name(&format!("engine-{index}")), load(0, 4, now));
        }
        fleet.capacity(now, &service);
    }
    let full = fleet.capacity(now, &service);
    assert!(
        full <= 4 && free >= 10,
        "{free} slots free, {full} when others fill them"
    );
    assert!(full >= 1, "a node must be able to start");
}

#[test]
fn is_failing_requires_many_upstreams() {
    let mut fleet = fleet(10);
    let service = name("verse-scribe");
    let mut tried = query(&[]);
    for attempt in 0..5 {
        assert!(!fleet.is_failing(&service), "failing after {attempt} of 10");
        let choice = fleet.choose(NOW, &tried).expect("a usable upstream");
        tried.excluded.push(choice.upstream.clone());
        fleet.start(NOW, attempt, &choice, &tried);
        fleet.end(NOW, attempt, routing::Outcome::Failed);
    }
    assert!(fleet.is_failing(&service));
}

#[test]
fn capacity_allows_burst_when_idle() {
    let mut fleet = fleet(3);
    let service = name("verse-scribe");
    let mut now = NOW;
    for _ in 0..100 {
        now = now.after(std::time::Duration::from_millis(100));
        fleet.capacity(now, &service);
    }
    assert!(
        fleet.capacity(now, &service) >= 3,
        "{}",
        fleet.capacity(now, &service)
    );
}

#[rstest]
#[case::latency_only(0, 100, 0)]
#[case::even(50, 50, 20)]
#[case::cost_first(70, 30, 46)]
#[case::cost_only(100, 0, 400)]
fn weights_follow_policy(#[case] cost: u32, #[case] latency: u32, #[case] millis: u128) {
    let policy = declaration::Policy {
        cost,
        latency,
        ..declaration::Policy::default()
    };
    assert_eq!(routing::Weights::of(&policy).price.as_millis(), millis);
}
