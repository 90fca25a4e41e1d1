//! Planner of the instances of a service.

use std::time::Duration;

use guavausher_core::declaration;
use guavausher_core::name;
use guavausher_core::placement;
use guavausher_core::time;
use rstest::rstest;

const NOW: time::Time = time::Time::from_millis(1_000);
const DOMAINS: [&str; 3] = ["altan-ulgii", "bayanzurkh", "tolgoit"];
const DEMAND: placement::Demand = placement::Demand {
    slots: 72,
    starts: 100,
};

fn name(text: &str) -> name::Name {
    name::Name::from(text)
}

fn class(domain: &str, market: declaration::Market, price: u64) -> declaration::Class {
    declaration::Class {
        name: name("gpu-small"),
        domain: name(domain),
        market,
        price,
    }
}

fn declaration(reclaimable: u64) -> declaration::Declaration {
    let classes = DOMAINS.iter().flat_map(|domain| {
        [
            class(domain, declaration::Market::OnDemand, 1_000),
            class(domain, declaration::Market::Reclaimable, reclaimable),
        ]
    });
    declaration::Declaration {
        classes: classes.collect(),
        upstreams: vec![declaration::Upstream {
            name: name("engine-0"),
            service: name("verse-scribe"),
            version: name("v1"),
            address: ([127, 0, 0, 1], 9000).into(),
            domain: name(DOMAINS[0]),
            class: name("gpu-small"),
            market: declaration::Market::OnDemand,
            slots: 8,
        }],
        ..declaration::Declaration::default()
    }
}

fn planner() -> placement::Planner {
    placement::Planner::new(name("verse-scribe"))
}

fn total(allocations: &[placement::Allocation]) -> u32 {
    allocations.iter().map(|allocation| allocation.count).sum()
}

fn of_market(allocations: &[placement::Allocation], market: declaration::Market) -> u32 {
    let fitting = allocations
        .iter()
        .filter(|allocation| allocation.offer.market == market);
    fitting.map(|allocation| allocation.count).sum()
}

fn later(seconds: u64) -> time::Time {
    NOW.after(Duration::from_secs(seconds))
}

#[test]
fn plan_survives_loss_of_any_domain() {
    let allocations = planner().plan(NOW, &declaration(350), &DEMAND);
    for domain in DOMAINS {
        let left: u32 = allocations
            .iter()
            .filter(|allocation| allocation.offer.domain != name(domain))
            .map(|allocation| allocation.count * 8)
            .sum();
        assert!(
            left * 9 / 10 >= DEMAND.slots,
            "{left} slots left without {domain}"
        );
    }
    assert_eq!(of_market(&allocations, declaration::Market::OnDemand), 0);
}

#[test]
fn plan_falls_back_after_refused_start() {
    let mut planner = planner();
    let first = planner.plan(NOW, &declaration(350), &DEMAND);
    for allocation in first
        .iter()
        .filter(|allocation| allocation.offer.domain == name(DOMAINS[0]))
    {
        for _ in 0..allocation.count {
            planner.record_refusal(NOW, &allocation.offer);
        }
    }
    let allocations = planner.plan(NOW, &declaration(350), &DEMAND);
    assert_eq!(total(&allocations), total(&first));
    assert_eq!(
        of_market(&allocations, declaration::Market::OnDemand),
        total(&first) / 3
    );
}

#[test]
fn plan_keeps_running_when_start_refused() {
    let mut planner = planner();
    let first = planner.plan(NOW, &declaration(350), &DEMAND);
    planner.record_refusal(NOW, &first[0].offer);
    let allocations = planner.plan(NOW, &declaration(350), &DEMAND);
    let kept = of_market(&allocations, declaration::Market::Reclaimable);
    assert_eq!(kept, total(&first) - 1);
}

#[test]
fn plan_limits_starts() {
    let mut planner = planner();
    let slow = placement::Demand {
        starts: 2,
        ..DEMAND
    };
    assert_eq!(total(&planner.plan(NOW, &declaration(350), &slow)), 2);
    assert_eq!(total(&planner.plan(NOW, &declaration(350), &slow)), 4);
}

#[rstest]
#[case::too_early(300, false)]
#[case::lasting(700, true)]
fn plan_switches_to_lasting_lower_price(#[case] seconds: u64, #[case] switched: bool) {
    let mut planner = planner();
    planner.plan(NOW, &declaration(2_000), &DEMAND);
    planner.plan(later(1), &declaration(350), &DEMAND);
    let allocations = planner.plan(later(1 + seconds), &declaration(350), &DEMAND);
    assert_eq!(
        of_market(&allocations, declaration::Market::Reclaimable) > 0,
        switched
    );
    assert!(
        of_market(&allocations, declaration::Market::OnDemand) > 0,
        "instances of the old offer stopped too early"
    );
    planner.plan(later(2_000), &declaration(350), &DEMAND);
    let allocations = planner.plan(later(4_000), &declaration(350), &DEMAND);
    assert_eq!(of_market(&allocations, declaration::Market::OnDemand), 0);
}

#[test]
fn plan_ignores_alternating_price() {
    let mut planner = planner();
    let first = planner.plan(NOW, &declaration(2_000), &DEMAND);
    for round in 1..20 {
        let price = if round % 2 == 0 { 2_000 } else { 350 };
        assert_eq!(
            planner.plan(later(round * 400), &declaration(price), &DEMAND),
            first
        );
    }
}

#[test]
fn plan_delays_shrinking() {
    let mut planner = planner();
    let full = total(&planner.plan(NOW, &declaration(350), &DEMAND));
    let less = placement::Demand {
        slots: 24,
        ..DEMAND
    };
    assert_eq!(
        total(&planner.plan(later(10), &declaration(350), &less)),
        full
    );
    assert!(total(&planner.plan(later(400), &declaration(350), &less)) < full);
}

#[test]
fn plan_avoids_often_reclaimed_offers() {
    let mut planner = planner();
    let allocations = planner.plan(NOW, &declaration(800), &DEMAND);
    for allocation in &allocations {
        planner.record_reclaim(NOW, &allocation.offer, allocation.count, allocation.count);
    }
    let allocations = planner.plan(NOW, &declaration(800), &DEMAND);
    assert_eq!(of_market(&allocations, declaration::Market::Reclaimable), 0);
}
