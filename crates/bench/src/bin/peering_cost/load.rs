//! The phases of one measurement.

use std::fmt;
use std::time::{Duration, Instant};

use guavausher_core::fact;
use guavausher_core::name;
use guavausher_core::peering;

use super::{fleet, meter, model};

const SPAN: Duration = Duration::from_secs(140);
const SECOND: Duration = Duration::from_secs(1);
const SETTLE: Duration = Duration::from_secs(20);
const FACT_LIFE: Duration = Duration::from_secs(600);

/// What happens in one phase.
#[derive(Clone, Copy, Debug)]
struct Phase {
    /// Seconds between two changes of the configuration.
    change: u64,
    /// Seconds between two upstreams that leave.
    leave: u64,
    /// Whether every node reports on a rollout each second.
    rollout: bool,
}

/// A busy day: 2,500 changes, each of 770 upstreams reclaimed four times, rollouts all the time.
const DAY: Phase = Phase {
    change: 35,
    leave: 28,
    rollout: true,
};
/// The worst minutes: a change each ten seconds and an upstream reclaimed each second.
const STORM: Phase = Phase {
    change: 10,
    leave: 1,
    rollout: true,
};

/// One row of the table.
#[derive(Debug)]
pub struct Row {
    size: usize,
    links: Spread,
    rest: Cost,
    day: Cost,
    storm: Cost,
    fact: Duration,
    change: Duration,
    plan: Duration,
    watches: usize,
}

#[derive(Clone, Copy, Debug)]
struct Spread {
    mean: f64,
    most: f64,
}

#[derive(Clone, Copy, Debug)]
struct Cost {
    bytes: Spread,
    wire: Spread,
    core: Spread,
}

impl Row {
    /// The columns.
    pub const HEAD: &str = "\
nodes | links | rest: B/s | with TCP/IP | core % | day: B/s | with TCP/IP | core % | \
storm: B/s | with TCP/IP | core % | fact ms | change ms | list ms | watches   (mean/most a node)";
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:5} | {:.1}/{:.0}",
            self.size, self.links.mean, self.links.most
        )?;
        for cost in [self.rest, self.day, self.storm] {
            write!(f, " | {:.0}/{:.0}", cost.bytes.mean, cost.bytes.most)?;
            write!(f, " | {:.0}/{:.0}", cost.wire.mean, cost.wire.most)?;
            write!(f, " | {:.4}/{:.4}", cost.core.mean, cost.core.most)?;
        }
        let millis = |time: Duration| time.as_secs_f64() * 1000.0;
        write!(
            f,
            " | {:.1} | {:.1}",
            millis(self.fact),
            millis(self.change)
        )?;
        write!(f, " | {:.2} | {}", millis(self.plan), self.watches)
    }
}

/// Measures a fleet of one size.
pub fn measure(size: usize, seed: u64) -> Row {
    let mut fleet = fleet::Fleet::new(size, seed);
    fleet.run(SETTLE, |_| false);
    let watches = fleet.nodes.iter().map(|node| node.watches.len()).sum();
    let links = spread(&fleet, |node| node.state.linked_peers().count() as f64);
    change(&mut fleet, 1);
    fleet.run(SETTLE, |_| false);
    fleet.reset();
    fleet.run(SPAN, |_| false);
    let rest = cost(&fleet, SPAN);
    let fact = time_fact(&mut fleet);
    let change = time_change(&mut fleet, 2);
    let day = run(&mut fleet, DAY, 1_000);
    let storm = run(&mut fleet, STORM, 2_000);
    Row {
        size,
        links,
        rest,
        day,
        storm,
        fact,
        change,
        plan: time_list(&mut fleet),
        watches,
    }
}

fn run(fleet: &mut fleet::Fleet, phase: Phase, first: u64) -> Cost {
    let holder = fact::Fact::Holder {
        service: name::Name::from("verse-scribe"),
        holder: name::Name::from("entry-5"),
        fencing: first,
    };
    learn(fleet, 5, holder);
    fleet.run(SETTLE, |_| false);
    fleet.reset();
    for second in 0..SPAN.as_secs() {
        if second % phase.leave == 0 {
            let index = second as usize * 7 % fleet.nodes.len();
            learn(fleet, index, leaving(first + second));
        }
        if second % phase.change == 0 {
            change(fleet, first + second);
        }
        report(fleet, phase.rollout);
    }
    cost(fleet, SPAN)
}

/// Passes one second, in which every node reports at a moment of its own.
fn report(fleet: &mut fleet::Fleet, rollout: bool) {
    let end = fleet.now.after(SECOND);
    let mut order: Vec<_> = (0..fleet.nodes.len())
        .map(|index| (Duration::from_millis(index as u64 * 379 % 1_000), index))
        .collect();
    order.sort_unstable();
    let start = fleet.now;
    for (offset, index) in order.into_iter().filter(|_| rollout) {
        let wait = fleet.now.until(start.after(offset));
        fleet.run(wait, |_| false);
        let seed = fleet.now.as_micros() / 1_000_000 + index as u64;
        fleet.input(index, peering::Input::Report(model::reports(seed)));
    }
    let rest = fleet.now.until(end);
    fleet.run(rest, |_| false);
}

fn time_fact(fleet: &mut fleet::Fleet) -> Duration {
    let start = fleet.now;
    let fact = leaving(9_999);
    learn(fleet, 0, fact.clone());
    let known = |node: &fleet::Node| node.state.has_fact(&fact);
    fleet.run(SPAN, |fleet| fleet.nodes.iter().all(known));
    start.until(fleet.now)
}

fn time_change(fleet: &mut fleet::Fleet, generation: u64) -> Duration {
    let start = fleet.now;
    change(fleet, generation);
    let topic = peering::Topic::Config;
    let held = |node: &fleet::Node| node.state.generation(topic) == generation;
    fleet.run(SPAN, |fleet| fleet.nodes.iter().all(held));
    start.until(fleet.now)
}

/// Returns the time that one node takes for a new list.
fn time_list(fleet: &mut fleet::Fleet) -> Duration {
    let mut list: Vec<_> = fleet.nodes.iter().map(|node| node.member.clone()).collect();
    list.pop();
    let start = Instant::now();
    fleet.input(0, peering::Input::Members(list));
    start.elapsed()
}

/// One watcher reads the new generation; the others get it over the links.
fn change(fleet: &mut fleet::Fleet, generation: u64) {
    let topic = peering::Topic::Config;
    let watches = |node: &fleet::Node| node.watches.contains(&topic);
    if let Some(index) = fleet.nodes.iter().position(watches) {
        let document = model::config(generation);
        fleet.input(index, peering::Input::Publish(document));
    }
}

fn learn(fleet: &mut fleet::Fleet, index: usize, fact: fact::Fact) {
    let expiry = fleet.now.after(FACT_LIFE);
    fleet.input(index, peering::Input::AddFact { fact, expiry });
}

fn leaving(incarnation: u64) -> fact::Fact {
    fact::Fact::Leaving {
        upstream: name::Name::from("verse-scribe-417"),
        incarnation,
    }
}

fn cost(fleet: &fleet::Fleet, span: Duration) -> Cost {
    let seconds = span.as_secs_f64();
    let of =
        |count: fn(&meter::Meter) -> f64| spread(fleet, move |node| count(&node.meter) / seconds);
    Cost {
        bytes: of(|meter| meter.bytes as f64),
        wire: of(|meter| meter.wire as f64),
        core: of(|meter| meter.busy.as_secs_f64() * 100.0),
    }
}

fn spread(fleet: &fleet::Fleet, count: impl Fn(&fleet::Node) -> f64) -> Spread {
    let counts: Vec<_> = fleet.nodes.iter().map(count).collect();
    Spread {
        mean: counts.iter().sum::<f64>() / counts.len() as f64,
        most: counts.iter().copied().fold(0.0, f64::max),
    }
}
