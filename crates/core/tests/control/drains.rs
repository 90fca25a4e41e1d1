//! Drains and the facts that controllers publish repeatedly.

use std::time::Duration;

use guavausher_core::fact;
use guavausher_core::name;
use guavausher_core::store;

use crate::simulation;

const SETTLED: Duration = Duration::from_secs(8);

fn leaving(simulation: &simulation::Simulation) -> Vec<u64> {
    let incarnation = |fact: &fact::Fact| match fact {
        fact::Fact::Leaving { incarnation, .. } => Some(*incarnation),
        _ => None,
    };
    simulation
        .facts
        .iter()
        .filter_map(|(_, fact)| incarnation(fact))
        .collect()
}

#[test]
fn reduce_publishes_drain_of_current_incarnation() {
    let mut simulation = simulation::Simulation::new(&simulation::declare(true, None));
    simulation.instances = vec![store::Instance {
        name: name::Name::from("engine-v1"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9_500)),
        domain: name::Name::from("tolgoit"),
        kind: name::Name::from("upstream"),
        leaving: false,
        incarnation: 5,
    }];
    simulation.idle(SETTLED);
    assert!(leaving(&simulation).is_empty());
    simulation.put("drain/engine-v1", "{}");
    simulation.put("drain/unknown", "{}");
    simulation.idle(Duration::from_secs(2));
    assert_eq!(leaving(&simulation).last(), Some(&5));
    simulation.instances[0].incarnation = 6;
    simulation.idle(Duration::from_secs(45));
    assert_eq!(leaving(&simulation).last(), Some(&6));
}

#[test]
fn reduce_publishes_holder_with_fencing_token() {
    let mut simulation = simulation::Simulation::new(&simulation::declare(true, None));
    simulation.idle(SETTLED);
    let owner = simulation::member(simulation.holder().unwrap()).name;
    let is_published = |fact: &fact::Fact| matches!(fact, fact::Fact::Holder { holder, fencing, .. } if *holder == owner && *fencing > 0);
    assert!(simulation.facts.iter().any(|(_, fact)| is_published(fact)));
}
