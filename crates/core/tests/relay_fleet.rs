//! Simulated fleets of 75 to 1,000 instances: what spreads to whom, how soon, and at what cost.

mod relay_support;

use std::net;
use std::time::Duration;

use guavausher_core::relay::route::RetryPolicy;
use guavausher_core::relay::{effect, event, group, member, state, subject, watch_timing};
use relay_support::fleet::{Fleet, Network, STEP, Sent};
use relay_support::{Instance, START, engine, engines, manifest, name, new_request, refused};
use rstest::rstest;

/// A tenth of all messages is lost, and some arrive twice.
const LOSSY: Network = Network {
    lost: 100,
    duplicated: 20,
};
/// Time in which all instances discover each other: the large deployment holds an instance to its
/// bounds after it (`contactMs`).
const CONNECT_TIME: Duration = Duration::from_secs(5);
/// In the large deployment, the part of the drain bound that is left once a silent store is
/// detected.
const PROPAGATION_TIME: Duration = Duration::from_millis(2_200);
/// Bytes that an instance may send in a second for control to other failure domains.
const MAX_FAR_BYTES: u64 = 2_048;

/// Returns the part of a drain bound in seconds that is left once a silent store is detected.
fn propagation_time(drain: u32) -> Duration {
    let drain = Duration::from_secs(u64::from(drain));
    drain - watch_timing::WatchTiming::for_bound(drain).timeout()
}

fn connected(size: usize, domains: usize, net: Network) -> Fleet {
    let mut fleet = Fleet::new(size, domains, net);
    fleet.run_for(CONNECT_TIME);
    fleet
}

#[rstest]
#[case::grown(75, 3)]
#[case::large(295, 5)]
#[case::target(379, 5)]
fn instances_counts_the_whole_fleet(#[case] size: usize, #[case] domains: usize) {
    assert_all_known(&connected(size, domains, LOSSY));
}

fn assert_all_known(fleet: &Fleet) {
    for state in fleet.states() {
        let peers = &state.peers;
        assert_eq!(peers.instances(), fleet.size(), "{}", state.own.name);
        let share = peers.reachable_share(fleet.now());
        // An instance that is unreachable for a moment lowers it a little.
        assert!((0.95..=1.0).contains(&share), "{} {share}", state.own.name);
    }
}

/// The cost between failure domains was 430 KB per second and instance in the large deployment.
#[rstest]
#[case::large(295, 5)]
fn outgoing_sends_little_between_domains(#[case] size: usize, #[case] domains: usize) {
    let mut fleet = connected(size, domains, Network::default());
    fleet.take_sent();
    fleet.run_for(Duration::from_secs(3));
    let sent = fleet.take_sent();
    let far: u64 = sent.iter().map(|s| s.far_bytes).sum();
    let mean = far / size as u64 / 3;
    assert!(mean <= MAX_FAR_BYTES, "{mean} bytes a second");
}

/// There are twice as many groups as failure domains: an instance sends no more than in the
/// largest undivided fleet.
#[test]
fn outgoing_in_a_fleet_of_a_thousand_costs_no_more_than_in_one_group() {
    let mut small = connected(group::MAX_SIZE, 5, Network::default());
    let mut large = connected(1_000, 5, LOSSY);
    for fleet in [&mut small, &mut large] {
        fleet.take_sent();
        fleet.run_for(Duration::from_secs(1));
    }
    let mean = |sent: &[Sent], bytes: fn(&Sent) -> u64| {
        sent.iter().map(bytes).sum::<u64>() / sent.len() as u64
    };
    let (small, sent) = (small.take_sent(), large.take_sent());
    let bytes = |sent| mean(sent, |s| s.bytes);
    assert!(
        bytes(&sent) <= bytes(&small),
        "{} and {}",
        bytes(&small),
        bytes(&sent)
    );
    assert!(mean(&sent, |s| s.far_bytes) <= MAX_FAR_BYTES);
    assert_all_known(&large);
    assert_agreed(&large);
    large.set_position(7, 5);
    large.run_for(PROPAGATION_TIME);
    assert_eq!(large.behind(5), 0);
}

/// From the first instance that knows of a change to the last one.
#[rstest]
#[case::small(9, 3, 2)]
#[case::grown(75, 3, 3)]
#[case::lakeshore(87, 3, 3)]
#[case::large(295, 5, 4)]
fn readers_ahead_spreads_a_change_in_time(
    #[case] size: usize,
    #[case] domains: usize,
    #[case] drain: u32,
) {
    let mut fleet = connected(size, domains, LOSSY);
    fleet.set_position(7, 5);
    fleet.run_for(propagation_time(drain));
    assert_eq!(fleet.behind(5), 0);
}

/// An engine that says it leaves gets nothing from any instance once all know it, without a list.
#[rstest]
#[case::small(9, 3, 2)]
#[case::grown(75, 3, 3)]
#[case::lakeshore(87, 3, 3)]
#[case::large(295, 5, 4)]
fn departures_spread_in_time(#[case] size: usize, #[case] domains: usize, #[case] drain: u32) {
    let mut fleet = connected(size, domains, LOSSY);
    let notice = event::Event::EngineNotice {
        engine: relay_support::name("e0"),
        incarnation: 1,
        notice: event::Notice::Leaving,
    };
    let now = fleet.now();
    fleet.instance(7).apply(now, notice);
    fleet.run_for(propagation_time(drain));
    let now = fleet.now();
    for state in fleet.states() {
        let mut available = state.fleet.available(now);
        assert!(
            available.all(|engine| engine.name.as_str() != "e0"),
            "{}",
            state.own.name
        );
    }
}

#[rstest]
#[case::large(295, 5)]
#[case::target(379, 5)]
fn readers_ahead_spreads_a_change_while_a_third_is_dead(
    #[case] size: usize,
    #[case] domains: usize,
) {
    let mut fleet = connected(size, domains, LOSSY);
    fleet.kill(|index| index % 3 == 1);
    // Until the dead ones are detected as unreachable.
    fleet.run_for(Duration::from_secs(3));
    fleet.set_position(6, 5);
    fleet.run_for(PROPAGATION_TIME);
    assert_eq!(fleet.behind(5), 0);
}

/// Each of 295 instances that started at once watched the store itself until it had discovered the
/// others.
#[rstest]
#[case::grown(75, 3)]
#[case::large(295, 5)]
fn should_watch_store_selects_few(#[case] size: usize, #[case] domains: usize) {
    let mut fleet = Fleet::new(size, domains, LOSSY);
    for restart in [false, true] {
        if restart {
            fleet.restart();
        }
        let mut most = 0;
        for _ in 0..(4_000 / STEP) {
            fleet.step();
            fleet.update_watchers();
            most = most.max(fleet.watchers());
        }
        // Three in each failure domain, which learn of each other later than within the domain.
        assert!(most <= 2 * 3 * domains, "{most} at once");
        assert!((3..=4).contains(&fleet.watchers()), "{}", fleet.watchers());
    }
}

#[test]
fn should_watch_store_replaces_lost_watchers() {
    let mut fleet = Fleet::new(295, 5, LOSSY);
    for _ in 0..(4_000 / STEP) {
        fleet.step();
        fleet.update_watchers();
    }
    let watching: Vec<_> = fleet.states().map(|state| state.watching).collect();
    fleet.kill(|index| watching[index]);
    assert_eq!(fleet.watchers(), 0);
    let mut steps = 0;
    while fleet.watchers() == 0 {
        fleet.step();
        fleet.update_watchers();
        steps += 1;
    }
    // Silence of 1.2 s, a message, and one promotion delay.
    assert!(steps * STEP <= 2_000, "{} ms", steps * STEP);
}

/// Three instances compete for the leases, and all agree on them.
#[rstest]
#[case::large(295, 5)]
#[case::target(379, 5)]
fn candidate_rank_is_agreed_on(#[case] size: usize, #[case] domains: usize) {
    assert_agreed(&connected(size, domains, LOSSY));
}

fn assert_agreed(fleet: &Fleet) {
    let now = fleet.now();
    let ranks = fleet.states().filter_map(|state| state.candidate_rank(now));
    let mut ranks: Vec<_> = ranks.collect();
    ranks.sort_unstable();
    assert_eq!(ranks, [0, 1, 2]);
}

/// Counts arrived 2.8 s late at the lease holder, which had fixed them one second after the end of
/// the window. Now it waits 2.5 s in a divided fleet; a report is due 10 s after the end.
#[rstest]
#[case::large(295, 5)]
#[case::target(379, 5)]
fn process_reports_reach_the_candidates_before_they_are_due(
    #[case] size: usize,
    #[case] domains: usize,
) {
    let mut fleet = connected(size, domains, LOSSY);
    for index in 0..size {
        let instance = fleet.instance(index);
        let now = relay_support::at(CONNECT_TIME.as_millis() as u64);
        let window = instance.state.window(now);
        instance.state.usage_counts.record(window, &name("ward"));
    }
    let window = fleet.states().next().unwrap().window(fleet.now());
    fleet.run_for(Duration::from_millis(2_500));
    let now = fleet.now();
    let mut candidates = 0;
    for state in fleet
        .states()
        .filter(|state| state.candidate_rank(now).is_some())
    {
        candidates += 1;
        let begun = state.usage_counts.started(window);
        let counted = begun.get(&name("ward")).copied().unwrap_or(0);
        // The tolerance of a report is one in twenty.
        assert!(counted as usize * 20 >= size * 19, "{counted} of {size}");
        assert!(counted as usize <= size);
    }
    assert_eq!(candidates, 3);
}

/// An isolated domain and the rest together use no more than the caps.
#[test]
fn reachable_share_adds_up_to_one_in_a_partition() {
    let mut fleet = connected(295, 5, LOSSY);
    fleet.partition(Some(2));
    fleet.run_for(Duration::from_secs(4));
    let now = fleet.now();
    let shares = |is_isolated: bool| {
        let states = fleet.states();
        let side = states.filter(|s| (s.own.domain == name("d2")) == is_isolated);
        side.map(|s| s.peers.reachable_share(now))
            .fold(0.0, f64::max)
    };
    let (isolated, rest) = (shares(true), shares(false));
    assert!(isolated + rest <= 1.01, "{isolated} and {rest}");
    assert!(isolated >= 0.15 && rest >= 0.7, "{isolated} and {rest}");
    fleet.partition(None);
    fleet.run_for(Duration::from_secs(2));
    for state in fleet.states() {
        assert_eq!(state.peers.instances(), 295);
        assert!(state.peers.reachable_share(fleet.now()) > 0.95);
    }
}

/// Callers of one workspace request six times its cap at all instances; what these admit together
/// stays within the cap.
#[rstest]
#[case::grown(75, 3, 8_000.0)]
#[case::large(295, 5, 8_000.0)]
#[case::large_small_cap(295, 5, 2_000.0)]
fn caps_hold_across_groups(#[case] size: usize, #[case] domains: usize, #[case] rate: f64) {
    let mut fleet = connected(size, domains, LOSSY);
    fleet.apply_all(&manifest(2, rate, None));
    let mut admitted = Vec::new();
    let mut ids = 0;
    for step in 0..400_u64 {
        fleet.step();
        let factor = if step < 60 { 0.8 } else { 6.0 };
        let requests = (factor * rate / 100.0 / 1_000.0 * STEP as f64).max(1.0) as u64;
        let mut units = 0;
        for _ in 0..requests {
            ids += 1;
            units += submit(&mut fleet, ids);
        }
        admitted.push(units);
    }
    let window = (8_000 / STEP) as usize;
    let most: u32 = admitted
        .windows(window)
        .map(|w| w.iter().sum())
        .max()
        .unwrap();
    let allowed = (8.0 * rate + rate) * 1.1;
    assert!(f64::from(most) <= allowed, "{most} {allowed}");
    let overloaded: u32 = admitted[60..].iter().sum();
    let expected = rate * 340.0 * STEP as f64 / 1_000.0;
    assert!(
        f64::from(overloaded) >= 0.9 * expected,
        "{overloaded} {expected}"
    );
}

/// What either side of a partition used of a cap is charged to the other side once it has healed.
#[test]
fn caps_hold_around_a_partition_of_a_domain() {
    let rate = 8_000.0;
    let mut fleet = connected(140, 2, LOSSY);
    fleet.apply_all(&manifest(2, rate, None));
    let (mut ids, mut admitted) = (0, Vec::new());
    for step in 0..(20_000 / STEP) {
        fleet.partition((40..160).contains(&step).then_some(1));
        fleet.step();
        let requests = (6.0 * rate / 100.0 / 1_000.0 * STEP as f64) as u64;
        let units = (0..requests).map(|_| {
            ids += 1;
            submit(&mut fleet, ids)
        });
        admitted.push(units.sum::<u32>());
    }
    let window = (8_000 / STEP) as usize;
    let sums = admitted.windows(window).map(|w| w.iter().sum::<u32>());
    let most = sums.max().unwrap();
    let allowed = (8.0 * rate + rate) * 1.1;
    assert!(f64::from(most) <= allowed, "{most} {allowed}");
}

/// Requests of a workspace with few callers within its cap are not refused.
#[rstest]
#[case::grown(75, 3)]
#[case::large(295, 5)]
fn caps_leave_headroom_in_a_large_fleet(#[case] size: usize, #[case] domains: usize) {
    let rate = 8_000.0;
    let mut fleet = connected(size, domains, LOSSY);
    fleet.apply_all(&manifest(2, rate, None));
    let (mut ids, mut admitted) = (0, 0);
    for step in 0..300_u64 {
        fleet.step();
        for _ in 0..if step / 20 % 2 == 0 { 4 } else { 2 } {
            ids += 1;
            admitted += submit(&mut fleet, ids);
        }
    }
    let submitted = ids as u32 * 100;
    assert!(
        admitted >= submitted / 100 * 98,
        "{admitted} of {submitted}"
    );
}

/// Once the fleet is divided, the load from another group arrives as a sum and must not be counted
/// from its members as well.
#[test]
fn take_regrouped_drops_the_load_of_moved_members() {
    let mut own = Instance::serving(1, 1);
    let mut other = Instance::of(state::Identity {
        domain: name("b"),
        ..Instance::new(2).state.own
    });
    other.apply(START, manifest(1, 0.0, None));
    other.apply(START, engines(vec![engine(0)]));
    other.send(START, new_request(1, START, RetryPolicy::Stream, 1));
    own.receive(START, other.digest(START));
    assert_eq!(running_at_engine(&mut own, 1), 1);
    let members = (0..=group::MAX_SIZE as u16).map(|index| member::Member {
        name: name(&format!("m{index}")),
        domain: name(if index % 2 == 0 { "a" } else { "b" }),
        address: net::SocketAddr::from(([127, 0, 0, 2], 20_000 + index)),
    });
    own.state.peers.add_listed(START, members);
    own.apply(START, event::Event::Tick);
    assert_eq!(own.state.peers.group_peers().count(), 0);
    assert_eq!(running_at_engine(&mut own, 2), 0);
}

/// Returns the requests of all instances at the engine to which a request of this id is sent.
fn running_at_engine(instance: &mut Instance, id: u64) -> u32 {
    let arrived = event::Event::Arrived(new_request(id, START, RetryPolicy::Stream, 1));
    let effects = instance.apply(START, arrived);
    let running = effects.iter().find_map(|effect| match effect {
        effect::Effect::Send { dispatch, .. } => Some(dispatch.choice.running),
        _ => None,
    });
    instance.signal(START, id, event::Signal::Whole { status: 200 });
    running.unwrap()
}

/// Engine crashes that three instances saw block the request at all others in time.
#[test]
fn suspects_reach_all_instances() {
    const CRASHER: subject::Subject = subject::Subject::Request(77);
    let mut fleet = connected(295, 5, LOSSY);
    let now = fleet.now();
    for index in [3, 50, 290] {
        let engine = name(&format!("e{index}"));
        let state = &mut fleet.instance(index).state;
        state.suspects.record_crash(now, CRASHER, &engine, 1, now);
    }
    fleet.run_for(Duration::from_secs(3));
    let now = fleet.now();
    let blocked = fleet
        .states()
        .filter(|s| s.suspects.is_blocked(now, CRASHER));
    assert_eq!(blocked.count(), 295);
}

fn submit(fleet: &mut Fleet, id: u64) -> u32 {
    let (now, size) = (fleet.now(), fleet.size() as u64);
    let index = id.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29) % size;
    let instance = fleet.instance(index as usize);
    let arrived = event::Event::Arrived(new_request(id, now, RetryPolicy::Stream, 1));
    if refused(&instance.apply(now, arrived)).is_some() {
        return 0;
    }
    instance.signal(now, id, event::Signal::Whole { status: 200 });
    100
}
