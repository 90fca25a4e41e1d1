//! Orders with fencing tokens.

use std::time::Duration;

use guavausher_core::control;
use rstest::rstest;

use crate::simulation;

const SETTLED: Duration = Duration::from_secs(8);
const TAKEOVER: Duration = Duration::from_secs(20);

#[rstest]
#[case::fencing(true)]
#[case::without_fencing(false)]
fn reduce_orders_declared_versions_once(#[case] fencing: bool) {
    let mut simulation = simulation::Simulation::new(&simulation::declare(fencing, None));
    simulation.idle(SETTLED);
    simulation.idle(SETTLED);
    for (name, engine) in &simulation.engines {
        assert_eq!(engine.orders.len(), 1, "{name}");
        assert_eq!(format!("engine-{}", engine.version), *name);
    }
}

#[rstest]
#[case::fencing(true, control::Outcome::Fenced)]
#[case::without_fencing(false, control::Outcome::Accepted)]
fn reduce_survives_order_of_paused_holder(
    #[case] fencing: bool,
    #[case] outcome: control::Outcome,
) {
    let mut simulation = simulation::Simulation::new(&simulation::declare(fencing, None));
    simulation.hold_orders = true;
    simulation.idle(SETTLED);
    let old = simulation.held_orders.remove(0);
    simulation.hold_orders = false;
    let holder = simulation.holder().unwrap();
    simulation.paused[holder] = true;
    simulation.idle(TAKEOVER);
    let new = simulation.engines[old.upstream.as_str()]
        .orders
        .last()
        .cloned();
    assert!(
        new.unwrap().fencing_token > old.fencing_token,
        "the next holder has a higher token"
    );
    assert_eq!(simulation.deliver(&old), outcome);
    let engine = &simulation.engines[old.upstream.as_str()];
    assert_eq!(
        engine.version,
        old.version.as_str(),
        "a repeated order leads to the same version"
    );
}

#[test]
fn reduce_orders_nothing_without_lease() {
    let mut simulation = simulation::Simulation::new(&simulation::declare(true, None));
    simulation.down = true;
    simulation.idle(TAKEOVER);
    assert!(
        simulation
            .engines
            .values()
            .all(|engine| engine.orders.is_empty())
    );
}

#[test]
fn reduce_waits_before_orders_without_fencing() {
    let mut simulation = simulation::Simulation::new(&simulation::declare(false, None));
    while simulation.holder().is_none() {
        simulation.step(&[]);
    }
    let acquired = simulation.now;
    while simulation
        .engines
        .values()
        .all(|engine| engine.orders.is_empty())
    {
        simulation.step(&[]);
    }
    assert!(acquired.until(simulation.now) >= Duration::from_secs(2));
}
