//! Orders with fencing numbers.

use std::time::Duration;

use guavausher_core::control;
use rstest::rstest;

use crate::world;

const SETTLED: Duration = Duration::from_secs(8);
const TAKEOVER: Duration = Duration::from_secs(20);

#[rstest]
#[case::fencing(true)]
#[case::ignoring(false)]
fn reduce_orders_declared_versions_once(#[case] fencing: bool) {
    let mut world = world::World::new(&world::declare(fencing, None));
    world.idle(SETTLED);
    world.idle(SETTLED);
    for (name, engine) in &world.engines {
        assert_eq!(engine.orders.len(), 1, "{name}");
        assert_eq!(format!("engine-{}", engine.version), *name);
    }
}

#[rstest]
#[case::fencing(true, control::Outcome::Fenced)]
#[case::ignoring(false, control::Outcome::Taken)]
fn reduce_survives_order_of_paused_holder(
    #[case] fencing: bool,
    #[case] outcome: control::Outcome,
) {
    let mut world = world::World::new(&world::declare(fencing, None));
    world.hold_orders = true;
    world.idle(SETTLED);
    let old = world.held_orders.remove(0);
    world.hold_orders = false;
    let holder = world.holder().unwrap();
    world.paused[holder] = true;
    world.idle(TAKEOVER);
    let new = world.engines[old.upstream.as_str()].orders.last().cloned();
    assert!(
        new.unwrap().fence > old.fence,
        "the successor has a higher number"
    );
    assert_eq!(world.deliver(&old), outcome);
    let engine = &world.engines[old.upstream.as_str()];
    assert_eq!(
        engine.version,
        old.version.as_str(),
        "orders are convergent"
    );
}

#[test]
fn reduce_orders_nothing_without_lease() {
    let mut world = world::World::new(&world::declare(true, None));
    world.down = true;
    world.idle(TAKEOVER);
    assert!(
        world
            .engines
            .values()
            .all(|engine| engine.orders.is_empty())
    );
}

#[test]
fn reduce_waits_before_unchecked_upstreams() {
    let mut world = world::World::new(&world::declare(false, None));
    while world.holder().is_none() {
        world.step(&[]);
    }
    let acquired = world.now;
    while world
        .engines
        .values()
        .all(|engine| engine.orders.is_empty())
    {
        world.step(&[]);
    }
    assert!(acquired.until(world.now) >= Duration::from_secs(2));
}
