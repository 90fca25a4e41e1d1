//! What messages of peers cost an instance: in proportion to what they change, not to what the
//! fleet knows.

mod relay_support;

use guavausher_core::relay::{crash_report, digest, engine, event, load, subject};
use guavausher_core::time;
use relay_support::{Instance, at, engine, engines, manifest, name};
use rstest::rstest;

/// Factor by which the cost of one change may grow from the smallest fleet to the largest one: the
/// depth of a tree, but no scan of the fleet.
const MAX_GROWTH: u64 = 2;

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
struct Size {
    peers: usize,
    engines: usize,
}

const SMALL: Size = Size {
    peers: 9,
    engines: 18,
};
const MEDIUM: Size = Size {
    peers: 75,
    engines: 89,
};
const LARGE: Size = Size {
    peers: 295,
    engines: 166,
};

/// Failure domains of the engines.
const DOMAINS: usize = 3;
/// Suspects in one report.
const SUSPECTS: usize = 16;

fn domain_engine(index: usize) -> engine::Engine {
    engine::Engine {
        domain: name(&format!("d{}", index % DOMAINS)),
        ..engine(index)
    }
}

fn serving(size: Size) -> Instance {
    let mut instance = Instance::new(0);
    instance.apply(at(0), manifest(1, 0.0, None));
    let list = (0..size.engines).map(domain_engine).collect();
    instance.apply(at(0), engines(list));
    for index in 1..size.peers {
        let digest = peer_digest(index, size, 1);
        instance.apply(at(0), event::Event::Digest(digest));
    }
    instance
}

/// A digest with the loads of four engines.
fn peer_digest(index: usize, size: Size, running: u32) -> digest::Digest {
    let peer = Instance::new(index as u16);
    let loads = (0..4).map(|engine| digest::EngineLoad {
        engine: name(&format!("e{}", (index + engine) % size.engines)),
        load: load::Load {
            running,
            ..load::Load::default()
        },
    });
    digest::Digest {
        loads: loads.collect(),
        ..peer.digest(at(0))
    }
}

/// Returns the report of a peer that has seen requests end at some of the engines that crash, one
/// after another in all failure domains.
fn peer_report(index: usize, now: time::Time, size: Size) -> crash_report::CrashReport {
    let crashed = size.engines / 2;
    let suspects = (0..SUSPECTS).map(|place| {
        let number = index * SUSPECTS + place;
        let engine = number % crashed;
        let crash = crash_report::Crash {
            id: crash_report::crash_id(&name(&format!("e{engine}")), 1),
            age_ms: at(5 * engine as u64).until(now).as_millis() as u64,
            is_cleared: false,
        };
        crash_report::Suspect {
            subject: subject::Subject::Request(number as u64),
            crashes: vec![crash],
            remaining_ms: 600_000,
        }
    });
    crash_report::CrashReport {
        sender: name(&format!("front-{index}")),
        suspects: suspects.collect(),
    }
}

/// Returns the allocations for each suspect of a storm of crashes, which all peers report within a
/// second.
fn storm_cost(size: Size) -> u64 {
    let mut instance = serving(size);
    let begin = 5 * size.engines as u64;
    let interval = 1_000_000 / size.peers as u64;
    let time =
        |index: usize| at(begin).after(std::time::Duration::from_micros(interval) * index as u32);
    let reports: Vec<_> = (1..size.peers)
        .map(|index| (time(index), peer_report(index, time(index), size)))
        .collect();
    let mut tick_at = at(begin);
    let measured = allocation_counter::measure(|| {
        for (now, report) in reports {
            while tick_at <= now {
                instance.apply(tick_at, event::Event::Tick);
                tick_at = tick_at.after(std::time::Duration::from_millis(100));
            }
            instance.apply(now, event::Event::CrashReport(report));
        }
    });
    let changes = (SUSPECTS * (size.peers - 1)) as u64;
    println!(
        "{size:?}: {} allocations for {changes} suspects",
        measured.count_total
    );
    measured.count_total / changes
}

/// Guards against fronts that fall behind while engines crash, and so learn late which engines leave
/// and which manifest is in force (CONFIG, DRAIN).
#[rstest]
fn crash_reports_cost_no_more_in_a_large_fleet(#[values(MEDIUM, LARGE)] size: Size) {
    let (small, large) = (storm_cost(SMALL), storm_cost(size));
    assert!(
        large <= MAX_GROWTH * small,
        "{large} allocations for each suspect, {small} in the smallest fleet"
    );
}

/// Returns the allocations of one event.
fn cost(instance: &mut Instance, now: time::Time, event: event::Event) -> u64 {
    let measured = allocation_counter::measure(|| {
        instance.apply(now, event);
    });
    measured.count_total
}

#[rstest]
fn digest_costs_no_more_in_a_large_fleet(#[values(MEDIUM, LARGE)] size: Size) {
    let digest_cost = |size: Size| {
        let mut instance = serving(size);
        let digest = peer_digest(3, size, 2);
        cost(&mut instance, at(200), event::Event::Digest(digest))
    };
    let (small, large) = (digest_cost(SMALL), digest_cost(size));
    assert!(
        large <= MAX_GROWTH * small,
        "{large} allocations, {small} in the smallest fleet"
    );
}

#[rstest]
fn heartbeat_costs_no_more_in_a_large_fleet(#[values(MEDIUM, LARGE)] size: Size) {
    let heartbeat_cost = |size: Size| {
        let mut instance = serving(size);
        let heartbeat = peer_digest(3, size, 1).heartbeat;
        cost(&mut instance, at(200), event::Event::Heartbeat(heartbeat))
    };
    let (small, large) = (heartbeat_cost(SMALL), heartbeat_cost(size));
    assert!(
        large <= MAX_GROWTH * small.max(1),
        "{large} allocations, {small} in the smallest fleet"
    );
}
