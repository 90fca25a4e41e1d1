//! Rollouts through kills, pauses, outages and lost answers.

use std::time::Duration;

use guavausher_core::declaration;
use guavausher_core::fact;
use guavausher_core::name;
use guavausher_core::peering;
use guavausher_core::rollout;
use rstest::rstest;

use crate::world;

const DEADLINE: u64 = 121_000;

fn declared() -> declaration::Declaration {
    world::declare(true, Some(world::at(DEADLINE)))
}

fn report(version: &str, requests: u64, errors: u64) -> peering::Report {
    peering::Report {
        requests,
        errors,
        loaded: requests,
        ..peering::Report::empty(
            name::Name::from(world::SERVICE),
            name::Name::from(version),
            name::Name::from("verse"),
        )
    }
}

/// Sums of a quarter of a second in which the new version fails this share of requests.
fn sums(percent: u64) -> [peering::Report; 2] {
    [report("v1", 100, 0), report("v2", 10, percent / 10)]
}

fn run(world: &mut world::World, until: u64, percent: u64) {
    while world.now < world::at(until) {
        world.step(&sums(percent));
    }
}

#[derive(Clone, Copy, Debug)]
enum Trouble {
    None,
    Kill,
    KillAndRestart,
    Pause,
    Outage,
    LostAnswers,
}

fn strike(world: &mut world::World, trouble: Trouble) {
    let holder = world.holder().expect("a holder");
    match trouble {
        Trouble::None => {}
        Trouble::Kill => world.nodes[holder] = None,
        Trouble::KillAndRestart => world.start(holder, &declared()),
        Trouble::Pause => world.paused[holder] = true,
        Trouble::Outage => world.down = true,
        Trouble::LostAnswers => world.lose_every = 2,
    }
}

fn relieve(world: &mut world::World) {
    world.paused = [false; world::NODES];
    world.down = false;
    world.lose_every = 0;
}

#[rstest]
fn reduce_ends_by_deadline(
    #[values(
        Trouble::None,
        Trouble::Kill,
        Trouble::KillAndRestart,
        Trouble::Pause,
        Trouble::Outage,
        Trouble::LostAnswers
    )]
    trouble: Trouble,
    #[values(20_000, 60_000, 85_000)] when: u64,
    #[values((0, rollout::Phase::Done), (60, rollout::Phase::TakenBack))] end: (
        u64,
        rollout::Phase,
    ),
) {
    let (percent, phase) = end;
    let mut world = world::World::new(&declared());
    run(&mut world, when, 0);
    strike(&mut world, trouble);
    run(&mut world, when + 20_000, percent);
    relieve(&mut world);
    run(&mut world, DEADLINE - 1_000, percent);
    let status = world.status().expect("a rollout");
    assert_eq!(status.phase, phase, "{}", status.reason);
    assert!(
        world
            .audits()
            .iter()
            .any(|audit| audit.detail.contains(phase.as_str()))
    );
}

#[test]
fn reduce_halts_while_store_is_down() {
    let mut world = world::World::new(&declared());
    run(&mut world, 60_000, 0);
    world.down = true;
    run(&mut world, 64_000, 100);
    let halted = |fact: &fact::Fact| matches!(fact, fact::Fact::Halted { .. });
    let found = world.facts.iter().find(|(_, fact)| halted(fact));
    let (when, _) = found.expect("a halt is stated");
    assert!(
        *when <= world::at(60_000).after(Duration::from_secs(3)),
        "{when:?}"
    );
    assert_ne!(world.status().unwrap().phase, rollout::Phase::TakenBack);
    run(&mut world, 75_000, 0);
    world.down = false;
    run(&mut world, 95_000, 0);
    assert_eq!(world.status().unwrap().phase, rollout::Phase::TakenBack);
}

#[test]
fn reduce_takes_back_after_outage_over_deadline() {
    let mut world = world::World::new(&declared());
    run(&mut world, 60_000, 0);
    world.down = true;
    run(&mut world, DEADLINE + 30_000, 0);
    world.down = false;
    run(&mut world, DEADLINE + 60_000, 0);
    assert_eq!(world.status().unwrap().phase, rollout::Phase::TakenBack);
}

#[test]
fn reduce_keeps_taken_back_over_new_generation() {
    let mut world = world::World::new(&declared());
    run(&mut world, 40_000, 60);
    let before = world.status().unwrap();
    assert_eq!(before.phase, rollout::Phase::TakenBack);
    let holder = world.holder().unwrap();
    world.start(holder, &declared());
    run(&mut world, 80_000, 0);
    assert_eq!(world.status().unwrap(), before);
}

#[test]
fn reduce_records_each_step_once() {
    let mut world = world::World::new(&declared());
    world.lose_every = 3;
    run(&mut world, DEADLINE, 0);
    let details: Vec<_> = world
        .audits()
        .into_iter()
        .map(|audit| audit.detail)
        .collect();
    let steps: std::collections::BTreeSet<_> = details.iter().collect();
    assert_eq!(details.len(), steps.len(), "{details:#?}");
    assert_eq!(details.len(), 6, "{details:#?}");
}

#[test]
fn reduce_decides_only_with_lease_of_service() {
    let mut world = world::World::new(&declared());
    for index in 0..world::NODES {
        let shard = guavausher_core::lease::shard(&name::Name::from(world::SERVICE));
        let members: Vec<_> = (0..world::NODES).map(world::member).collect();
        let first = &guavausher_core::lease::candidates(&members, shard)[0];
        world.paused[index] = world::member(index).name == *first;
    }
    let shards = |world: &world::World| -> usize {
        let nodes = world.nodes.iter().flatten();
        nodes.map(|node| node.shards(world.now).len()).sum()
    };
    while shards(&world) == 0 {
        assert!(world.status().is_none());
        world.step(&[]);
    }
    while world.holder().is_none() {
        assert!(world.status().is_none(), "decided without the lease");
        world.step(&[]);
    }
    world.step(&[]);
    assert!(world.status().is_some());
}
