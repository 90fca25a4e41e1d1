//! Delivery of aggregated reports and forwarded bytes through the links.

use std::sync;
use std::time::Duration;

use guavausher_core::fact;
use guavausher_core::name;
use guavausher_core::peering;
use guavausher_core::time;
use rstest::rstest;

use crate::fleet;

const RELIABLE: fleet::Faults = fleet::Faults {
    lost: 0,
    duplicated: 0,
    jitter: 2,
};
const DUPLICATED: fleet::Faults = fleet::Faults {
    lost: 0,
    duplicated: 500,
    jitter: 0,
};
const SETTLE: Duration = Duration::from_secs(10);

fn settled_fleet(size: usize, seed: u64, faults: fleet::Faults) -> fleet::Fleet {
    let domains = if size > 9 { 9 } else { 3 };
    let mut fleet = fleet::Fleet::new(size, domains, seed, faults);
    fleet.run(SETTLE);
    fleet
}

fn holder(entry: usize, fencing: u64) -> fact::Fact {
    fact::Fact::Holder {
        service: name::Name::from("verse-scribe"),
        holder: name::Name::from(format!("entry-{entry}")),
        fencing,
    }
}

fn add_fact(fleet: &mut fleet::Fleet, index: usize, fact: fact::Fact) {
    let expiry = fleet.now.after(Duration::from_secs(600));
    fleet.input(index, peering::Input::AddFact { fact, expiry });
}

fn report(version: &str, requests: u64, errors: u64) -> peering::Report {
    let names = ["verse-scribe", version, "verses"].map(name::Name::from);
    let [service, version, route] = names;
    peering::Report {
        requests,
        errors,
        ..peering::Report::empty(service, version, route)
    }
}

fn report_all(fleet: &mut fleet::Fleet) {
    for index in 0..fleet.nodes.len() {
        let reports = vec![report("v1", 10, 0), report("v2", 3, 1)];
        fleet.input(index, peering::Input::Report(reports));
    }
}

fn received_counts(fleet: &fleet::Fleet, index: usize, version: &str) -> (u64, u64) {
    let reports = fleet.nodes[index].reports.iter();
    let of_version = reports.filter(|report| report.version.as_str() == version);
    of_version.fold((0, 0), |(requests, errors), report| {
        (requests + report.requests, errors + report.errors)
    })
}

#[rstest]
#[case::small(9, 31, RELIABLE)]
#[case::small_duplicated(9, 32, DUPLICATED)]
#[case::large(380, 33, RELIABLE)]
#[case::large_duplicated(380, 34, DUPLICATED)]
fn reports_arrive_once(#[case] size: usize, #[case] seed: u64, #[case] faults: fleet::Faults) {
    let mut fleet = settled_fleet(size, seed, faults);
    add_fact(&mut fleet, 0, holder(5, 1));
    fleet.run(Duration::from_secs(2));
    report_all(&mut fleet);
    fleet.run(Duration::from_secs(4));
    let all = size as u64;
    assert_eq!(received_counts(&fleet, 5, "v1"), (10 * all, 0));
    assert_eq!(received_counts(&fleet, 5, "v2"), (3 * all, all));
    let elsewhere = (0..size).filter(|index| *index != 5);
    assert!(
        elsewhere
            .into_iter()
            .all(|index| fleet.nodes[index].reports.is_empty())
    );
}

#[test]
fn reports_aggregated_at_each_hop() {
    let mut fleet = settled_fleet(380, 35, RELIABLE);
    add_fact(&mut fleet, 0, holder(5, 1));
    fleet.run(Duration::from_secs(2));
    for node in &mut fleet.nodes {
        node.sent.clear();
    }
    report_all(&mut fleet);
    fleet.run(Duration::from_secs(4));
    for node in &fleet.nodes {
        let sent = node.sent.get("reports").copied().unwrap_or(0);
        assert!(sent <= 4, "{sent} messages from {}", node.member.name);
    }
}

#[rstest]
#[case::errors(report("v2", 8, 1), 1_200)]
#[case::slow(peering::Report { slow: 4, ..report("v2", 8, 0) }, 1_200)]
#[case::few_errors(report("v2", 80, 1), 2_700)]
#[case::calm(peering::Report { slow: 1, ..report("v2", 8, 0) }, 2_700)]
fn reports_urgent_arrive_sooner(#[case] report: peering::Report, #[case] limit: u64) {
    let mut fleet = settled_fleet(380, 41, RELIABLE);
    add_fact(&mut fleet, 0, holder(5, 1));
    fleet.run(Duration::from_secs(2));
    // Adds the report at different times relative to the send slots.
    for offset in 0..5 {
        fleet.input(374, peering::Input::Report(vec![report.clone()]));
        let arrived = |fleet: &fleet::Fleet| !fleet.nodes[5].reports.is_empty();
        let took = fleet.run_for(SETTLE, arrived).unwrap();
        assert!(took <= limit, "{took} ms");
        fleet.nodes[5].reports.clear();
        fleet.run(Duration::from_millis(1_000 + offset * 370));
    }
}

#[test]
fn reports_wait_for_a_holder() {
    let mut fleet = settled_fleet(9, 36, RELIABLE);
    report_all(&mut fleet);
    fleet.run(SETTLE);
    add_fact(&mut fleet, 0, holder(5, 1));
    fleet.run(SETTLE);
    assert_eq!(received_counts(&fleet, 5, "v1"), (90, 0));
}

#[rstest]
#[case::newer_first([(5, 2), (7, 1)])]
#[case::newer_last([(7, 1), (5, 2)])]
fn reports_follow_the_newest_holder(#[case] holders: [(usize, u64); 2]) {
    let mut fleet = settled_fleet(9, 37, RELIABLE);
    for (entry, fencing) in holders {
        add_fact(&mut fleet, 0, holder(entry, fencing));
        fleet.run(Duration::from_secs(1));
    }
    report_all(&mut fleet);
    fleet.run(Duration::from_secs(4));
    assert_eq!(received_counts(&fleet, 5, "v1"), (90, 0));
    assert!(fleet.nodes[7].reports.is_empty());
}

#[rstest]
#[case::small(9, 38)]
#[case::large(380, 39)]
fn forward_reaches_its_node(#[case] size: usize, #[case] seed: u64) {
    let mut fleet = settled_fleet(size, seed, RELIABLE);
    for index in 0..size - 1 {
        let to = name::Name::from(format!("entry-{}", size - 1));
        let body = sync::Arc::from(&b"ask"[..]);
        fleet.input(index, peering::Input::Forward { to, body });
    }
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.nodes[size - 1].delivered.len(), size - 1);
}

#[test]
fn leaf_receives_reports_of_its_entry() {
    let now = time::Time::from_millis(5_000);
    let entry_member = fleet::member(0, 1);
    let leaf_member = peering::Member {
        name: name::Name::from("controller-0"),
        ..fleet::member(1, 1)
    };
    let mut entry = peering::Peering::new(entry_member.clone(), 1);
    let mut leaf = peering::Peering::leaf(leaf_member.clone(), &entry_member, 2);
    entry.reduce(now, peering::Input::Members(vec![entry_member.clone()]));
    let mut outputs = leaf.reduce(now, peering::Input::Tick);
    let dials = |output: &peering::Output| matches!(output, peering::Output::Link(member) if member.name == entry_member.name);
    assert!(outputs.iter().any(dials));
    outputs = leaf.reduce(now, peering::Input::Linked(entry_member.name.clone()));
    entry.reduce(now, peering::Input::Linked(leaf_member.name.clone()));
    deliver(&mut entry, &leaf_member.name, now, outputs);
    let fact = holder(0, 1);
    let expiry = now.after(Duration::from_secs(60));
    entry.reduce(
        now,
        peering::Input::AddFact {
            fact: fact.clone(),
            expiry,
        },
    );
    let report = report("v2", 4, 2);
    entry.reduce(now, peering::Input::Report(vec![report.clone()]));
    let later = now.after(Duration::from_secs(3));
    let outputs = entry.reduce(later, peering::Input::Tick);
    let arrived = deliver(&mut leaf, &entry_member.name, later, outputs);
    assert!(arrived.contains(&peering::Output::Reports(vec![report])));
    let watches = |output: &peering::Output| matches!(output, peering::Output::Watch { .. });
    assert!(!arrived.iter().any(watches));
}

fn deliver(
    to: &mut peering::Peering,
    from: &name::Name,
    now: time::Time,
    outputs: Vec<peering::Output>,
) -> Vec<peering::Output> {
    let mut results = Vec::new();
    for output in outputs {
        if let peering::Output::Send { message, .. } = output {
            let from = from.clone();
            results.extend(to.reduce(now, peering::Input::Message { from, message }));
        }
    }
    results
}
