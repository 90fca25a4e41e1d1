//! Rollouts through kills, pauses, outages and lost replies.

use std::time::Duration;

use guavausher_core::declaration;
use guavausher_core::fact;
use guavausher_core::name;
use guavausher_core::peering;
use guavausher_core::rollout;
use rstest::rstest;

use crate::simulation;

const DEADLINE: u64 = 121_000;

fn declared() -> declaration::Declaration {
    simulation::declare(true, Some(simulation::at(DEADLINE)))
}

fn report(version: &str, requests: u64, errors: u64) -> peering::Report {
    peering::Report {
        requests,
        errors,
        loaded: requests,
        ..peering::Report::empty(
            name::Name::from(simulation::SERVICE),
            name::Name::from(version),
            name::Name::from("verse"),
        )
    }
}

/// Reports of 250 ms in which the new version fails `percent` of its requests.
fn reports(percent: u64) -> [peering::Report; 2] {
    [report("v1", 100, 0), report("v2", 10, percent / 10)]
}

fn run(simulation: &mut simulation::Simulation, until: u64, percent: u64) {
    while simulation.now < simulation::at(until) {
        simulation.step(&reports(percent));
    }
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Kill,
    KillAndRestart,
    Pause,
    Outage,
    LostReplies,
}

fn inject(simulation: &mut simulation::Simulation, fault: Fault) {
    let holder = simulation.holder().expect("a holder");
    match fault {
        Fault::None => {}
        Fault::Kill => simulation.nodes[holder] = None,
        Fault::KillAndRestart => simulation.start(holder, &declared()),
        Fault::Pause => simulation.paused[holder] = true,
        Fault::Outage => simulation.down = true,
        Fault::LostReplies => simulation.lose_every = 2,
    }
}

fn clear_faults(simulation: &mut simulation::Simulation) {
    simulation.paused = [false; simulation::NODES];
    simulation.down = false;
    simulation.lose_every = 0;
}

#[rstest]
fn reduce_ends_by_deadline(
    #[values(
        Fault::None,
        Fault::Kill,
        Fault::KillAndRestart,
        Fault::Pause,
        Fault::Outage,
        Fault::LostReplies
    )]
    fault: Fault,
    #[values(20_000, 60_000, 85_000)] when: u64,
    #[values((0, rollout::Phase::Done), (60, rollout::Phase::RolledBack))] end: (
        u64,
        rollout::Phase,
    ),
) {
    let (percent, phase) = end;
    let mut simulation = simulation::Simulation::new(&declared());
    run(&mut simulation, when, 0);
    inject(&mut simulation, fault);
    run(&mut simulation, when + 20_000, percent);
    clear_faults(&mut simulation);
    run(&mut simulation, DEADLINE - 1_000, percent);
    let status = simulation.status().expect("a rollout");
    assert_eq!(status.phase, phase, "{}", status.reason);
    assert!(
        simulation
            .audits()
            .iter()
            .any(|audit| audit.detail.contains(phase.as_str()))
    );
}

#[test]
fn reduce_halts_while_store_is_down() {
    let mut simulation = simulation::Simulation::new(&declared());
    run(&mut simulation, 60_000, 0);
    simulation.down = true;
    run(&mut simulation, 64_000, 100);
    let halted = |fact: &fact::Fact| matches!(fact, fact::Fact::Halted { .. });
    let found = simulation.facts.iter().find(|(_, fact)| halted(fact));
    let (when, _) = found.expect("a halt is published");
    assert!(
        *when <= simulation::at(60_000).after(Duration::from_secs(3)),
        "{when:?}"
    );
    assert_ne!(
        simulation.status().unwrap().phase,
        rollout::Phase::RolledBack
    );
    run(&mut simulation, 75_000, 0);
    simulation.down = false;
    run(&mut simulation, 95_000, 0);
    assert_eq!(
        simulation.status().unwrap().phase,
        rollout::Phase::RolledBack
    );
}

#[test]
fn reduce_rolls_back_after_outage_past_deadline() {
    let mut simulation = simulation::Simulation::new(&declared());
    run(&mut simulation, 60_000, 0);
    simulation.down = true;
    run(&mut simulation, DEADLINE + 30_000, 0);
    simulation.down = false;
    run(&mut simulation, DEADLINE + 60_000, 0);
    assert_eq!(
        simulation.status().unwrap().phase,
        rollout::Phase::RolledBack
    );
}

#[test]
fn reduce_keeps_rollback_after_restart() {
    let mut simulation = simulation::Simulation::new(&declared());
    run(&mut simulation, 40_000, 60);
    let before = simulation.status().unwrap();
    assert_eq!(before.phase, rollout::Phase::RolledBack);
    let holder = simulation.holder().unwrap();
    simulation.start(holder, &declared());
    run(&mut simulation, 80_000, 0);
    assert_eq!(simulation.status().unwrap(), before);
}

#[test]
fn reduce_records_each_step_once() {
    let mut simulation = simulation::Simulation::new(&declared());
    simulation.lose_every = 3;
    run(&mut simulation, DEADLINE, 0);
    let details: Vec<_> = simulation
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
    let mut simulation = simulation::Simulation::new(&declared());
    for index in 0..simulation::NODES {
        let shard = guavausher_core::lease::shard(&name::Name::from(simulation::SERVICE));
        let members: Vec<_> = (0..simulation::NODES).map(simulation::member).collect();
        let first = &guavausher_core::lease::candidates(&members, shard)[0];
        simulation.paused[index] = simulation::member(index).name == *first;
    }
    let shards = |simulation: &simulation::Simulation| -> usize {
        let nodes = simulation.nodes.iter().flatten();
        nodes.map(|node| node.shards(simulation.now).len()).sum()
    };
    while shards(&simulation) == 0 {
        assert!(simulation.status().is_none());
        simulation.step(&[]);
    }
    while simulation.holder().is_none() {
        assert!(simulation.status().is_none(), "decided without the lease");
        simulation.step(&[]);
    }
    simulation.step(&[]);
    assert!(simulation.status().is_some());
}
