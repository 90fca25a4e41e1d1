//! Drains and the facts that controllers state again.

use std::time::Duration;

use guavausher_core::fact;
use guavausher_core::name;
use guavausher_core::store;

use crate::world;

const SETTLED: Duration = Duration::from_secs(8);

fn leaving(world: &world::World) -> Vec<u64> {
    let incarnation = |fact: &fact::Fact| match fact {
        fact::Fact::Leaving { incarnation, .. } => Some(*incarnation),
        _ => None,
    };
    world
        .facts
        .iter()
        .filter_map(|(_, fact)| incarnation(fact))
        .collect()
}

#[test]
fn reduce_states_drain_of_present_incarnation() {
    let mut world = world::World::new(&world::declare(true, None));
    world.instances = vec![store::Instance {
        name: name::Name::from("engine-v1"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9_500)),
        domain: name::Name::from("tolgoit"),
        kind: name::Name::from("upstream"),
        leaving: false,
        incarnation: 5,
    }];
    world.idle(SETTLED);
    assert!(leaving(&world).is_empty());
    world.put("drain/engine-v1", "{}");
    world.put("drain/unknown", "{}");
    world.idle(Duration::from_secs(2));
    assert_eq!(leaving(&world).last(), Some(&5));
    world.instances[0].incarnation = 6;
    world.idle(Duration::from_secs(45));
    assert_eq!(leaving(&world).last(), Some(&6));
}

#[test]
fn reduce_states_holder_with_fencing_number() {
    let mut world = world::World::new(&world::declare(true, None));
    world.idle(SETTLED);
    let owner = world::member(world.holder().unwrap()).name;
    let is_stated = |fact: &fact::Fact| matches!(fact, fact::Fact::Holder { holder, fencing, .. } if *holder == owner && *fencing > 0);
    assert!(world.facts.iter().any(|(_, fact)| is_stated(fact)));
}
