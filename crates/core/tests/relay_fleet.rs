//! Fleets of 75 to 1,000 instances: who knows what, how soon, and at what cost.

mod relay_support;

use std::net;
use std::time::Duration;

use guavausher_core::relay::route::Repeat;
use guavausher_core::relay::{effect, event, group, member, state};
use relay_support::fleet::{Fleet, Net, STEP, Sent};
use relay_support::{Instance, START, ask, engine, engines, manifest, name, refused};
use rstest::rstest;

/// A tenth of all messages is lost, and some come twice.
const BAD: Net = Net {
    lost: 100,
    doubled: 20,
};
/// Time in which all hear of each other: that after which the large deployment holds an instance to its
/// bounds (`contactMs`).
const MEETING: Duration = Duration::from_secs(5);
/// Time within which work must stop at an engine that leaves, in the large deployment, and the part of
/// it that is not spent until a store that does not answer is noticed.
const NEWS: Duration = Duration::from_millis(2_200);
/// What an instance may send in a second for control to other failure domains.
const FAR_BYTES: u64 = 2_048;

fn met(size: usize, domains: usize, net: Net) -> Fleet {
    let mut fleet = Fleet::new(size, domains, net);
    fleet.play_for(MEETING);
    fleet
}

#[rstest]
#[case::grown(75, 3)]
#[case::large(295, 5)]
#[case::target(379, 5)]
fn fleet_is_known_to_all_of_its_members(#[case] size: usize, #[case] domains: usize) {
    assert_known(&met(size, domains, BAD));
}

fn assert_known(fleet: &Fleet) {
    for state in fleet.states() {
        let peers = &state.peers;
        assert_eq!(peers.instances(), fleet.size(), "{}", state.own.name);
        let part = peers.reachable_share(fleet.now());
        // An instance that is out of sight for a moment lowers it a little.
        assert!((0.95..=1.0).contains(&part), "{} {part}", state.own.name);
    }
}

/// The cost between failure domains was 430 KB a second and instance in the large deployment.
#[rstest]
#[case::large(295, 5)]
fn fleet_spends_little_between_domains(#[case] size: usize, #[case] domains: usize) {
    let mut fleet = met(size, domains, Net::default());
    fleet.take_sent();
    fleet.play_for(Duration::from_secs(3));
    let sent = fleet.take_sent();
    let far: u64 = sent.iter().map(|s| s.far_bytes).sum();
    let mean = far / size as u64 / 3;
    assert!(mean <= FAR_BYTES, "{mean} bytes a second");
}

/// Twice as many groups as failure domains: what one instance sends does not grow beyond what it sends
/// in the largest fleet that is not divided.
#[test]
fn fleet_of_a_thousand_costs_an_instance_no_more_than_one_group() {
    let mut small = met(group::MAX_SIZE, 5, Net::default());
    let mut large = met(1_000, 5, BAD);
    for fleet in [&mut small, &mut large] {
        fleet.take_sent();
        fleet.play_for(Duration::from_secs(1));
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
    assert!(mean(&sent, |s| s.far_bytes) <= FAR_BYTES);
    assert_known(&large);
    assert_agreed(&large);
    large.tell(7, 5);
    large.play_for(NEWS);
    assert_eq!(large.behind(5), 0);
}

#[rstest]
#[case::grown(75, 3)]
#[case::large(295, 5)]
fn news_reaches_all_in_time(#[case] size: usize, #[case] domains: usize) {
    let mut fleet = met(size, domains, BAD);
    fleet.tell(7, 5);
    fleet.play_for(NEWS);
    assert_eq!(fleet.behind(5), 0);
}

#[rstest]
#[case::large(295, 5)]
#[case::target(379, 5)]
fn news_reaches_all_while_a_third_is_dead(#[case] size: usize, #[case] domains: usize) {
    let mut fleet = met(size, domains, BAD);
    fleet.kill(|index| index % 3 == 1);
    // Until the dead ones are missed.
    fleet.play_for(Duration::from_secs(3));
    fleet.tell(6, 5);
    fleet.play_for(NEWS);
    assert_eq!(fleet.behind(5), 0);
}

/// Each of 295 that started at once followed the store itself until it heard of the others.
#[rstest]
#[case::grown(75, 3)]
#[case::large(295, 5)]
fn few_follow_the_store(#[case] size: usize, #[case] domains: usize) {
    let mut fleet = Fleet::new(size, domains, BAD);
    for restart in [false, true] {
        if restart {
            fleet.restart();
        }
        let mut most = 0;
        for _ in 0..(4_000 / STEP) {
            fleet.play();
            fleet.feed();
            most = most.max(fleet.feeders());
        }
        // Three in each failure domain, who know of each other later than of their neighbours.
        assert!(most <= 2 * 3 * domains, "{most} at once");
        assert!((3..=4).contains(&fleet.feeders()), "{}", fleet.feeders());
    }
}

#[test]
fn followers_of_the_store_are_replaced() {
    let mut fleet = Fleet::new(295, 5, BAD);
    for _ in 0..(4_000 / STEP) {
        fleet.play();
        fleet.feed();
    }
    let fed: Vec<_> = fleet.states().map(|state| state.watching).collect();
    fleet.kill(|index| fed[index]);
    assert_eq!(fleet.feeders(), 0);
    let mut steps = 0;
    while fleet.feeders() == 0 {
        fleet.play();
        fleet.feed();
        steps += 1;
    }
    // Silence of 1.2 s, a message, and a step of those that take over.
    assert!(steps * STEP <= 2_000, "{} ms", steps * STEP);
}

/// Three compete for the duties, and all agree on them.
#[rstest]
#[case::large(295, 5)]
#[case::target(379, 5)]
fn candidates_are_agreed_on(#[case] size: usize, #[case] domains: usize) {
    assert_agreed(&met(size, domains, BAD));
}

fn assert_agreed(fleet: &Fleet) {
    let now = fleet.now();
    let turns = fleet.states().filter_map(|state| state.candidate_rank(now));
    let mut turns: Vec<_> = turns.collect();
    turns.sort_unstable();
    assert_eq!(turns, [0, 1, 2]);
}

/// Counts came 2.8 s late to the holder of the duties, which fixed them a second after the window's end.
/// Now it waits 2.5 s in a divided fleet; a report is due 10 s after the end.
#[rstest]
#[case::large(295, 5)]
#[case::target(379, 5)]
fn counts_reach_the_candidates_before_they_are_due(#[case] size: usize, #[case] domains: usize) {
    let mut fleet = met(size, domains, BAD);
    for index in 0..size {
        let instance = fleet.instance(index);
        let now = relay_support::at(MEETING.as_millis() as u64);
        let window = instance.state.window(now);
        instance.state.usage_counts.record(window, &name("ward"));
    }
    let window = fleet.states().next().unwrap().window(fleet.now());
    fleet.play_for(Duration::from_millis(2_500));
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

/// A domain that is cut off and the rest together use no more than the caps.
#[test]
fn parts_of_a_cut_fleet_add_up_to_one() {
    let mut fleet = met(295, 5, BAD);
    fleet.cut(Some(2));
    fleet.play_for(Duration::from_secs(4));
    let now = fleet.now();
    let parts = |is_cut: bool| {
        let states = fleet.states();
        let side = states.filter(|s| (s.own.domain == name("d2")) == is_cut);
        side.map(|s| s.peers.reachable_share(now))
            .fold(0.0, f64::max)
    };
    let (cut, rest) = (parts(true), parts(false));
    assert!(cut + rest <= 1.01, "{cut} and {rest}");
    assert!(cut >= 0.15 && rest >= 0.7, "{cut} and {rest}");
    fleet.cut(None);
    fleet.play_for(Duration::from_secs(2));
    for state in fleet.states() {
        assert_eq!(state.peers.instances(), 295);
        assert!(state.peers.reachable_share(fleet.now()) > 0.95);
    }
}

/// Callers of one workspace ask six times its cap everywhere; what all admit stays inside the cap.
#[rstest]
#[case::grown(75, 3, 8_000.0)]
#[case::large(295, 5, 8_000.0)]
#[case::large_small_cap(295, 5, 2_000.0)]
fn cap_is_kept_by_groups(#[case] size: usize, #[case] domains: usize, #[case] rate: f64) {
    let mut fleet = met(size, domains, BAD);
    fleet.apply_all(&manifest(2, rate, None));
    let mut admitted = Vec::new();
    let mut ids = 0;
    for step in 0..400_u64 {
        fleet.play();
        let factor = if step < 60 { 0.8 } else { 6.0 };
        let callers = (factor * rate / 100.0 / 1_000.0 * STEP as f64).max(1.0) as u64;
        let mut units = 0;
        for _ in 0..callers {
            ids += 1;
            units += offer(&mut fleet, ids);
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
    let hot: u32 = admitted[60..].iter().sum();
    let owed = rate * 340.0 * STEP as f64 / 1_000.0;
    assert!(f64::from(hot) >= 0.9 * owed, "{hot} {owed}");
}

/// What either side of a cut used of a cap in the meantime is charged to the other once it has healed.
#[test]
fn cap_is_kept_around_a_cut_of_a_domain() {
    let rate = 8_000.0;
    let mut fleet = met(140, 2, BAD);
    fleet.apply_all(&manifest(2, rate, None));
    let (mut ids, mut admitted) = (0, Vec::new());
    for step in 0..(20_000 / STEP) {
        fleet.cut((40..160).contains(&step).then_some(1));
        fleet.play();
        let callers = (6.0 * rate / 100.0 / 1_000.0 * STEP as f64) as u64;
        let units = (0..callers).map(|_| {
            ids += 1;
            offer(&mut fleet, ids)
        });
        admitted.push(units.sum::<u32>());
    }
    let window = (8_000 / STEP) as usize;
    let sums = admitted.windows(window).map(|w| w.iter().sum::<u32>());
    let most = sums.max().unwrap();
    let allowed = (8.0 * rate + rate) * 1.1;
    assert!(f64::from(most) <= allowed, "{most} {allowed}");
}

/// What a workspace with few callers sends within its cap is not refused.
#[rstest]
#[case::grown(75, 3)]
#[case::large(295, 5)]
fn cap_leaves_room_in_a_large_fleet(#[case] size: usize, #[case] domains: usize) {
    let rate = 8_000.0;
    let mut fleet = met(size, domains, BAD);
    fleet.apply_all(&manifest(2, rate, None));
    let (mut ids, mut admitted) = (0, 0);
    for step in 0..300_u64 {
        fleet.play();
        for _ in 0..if step / 20 % 2 == 0 { 4 } else { 2 } {
            ids += 1;
            admitted += offer(&mut fleet, ids);
        }
    }
    let asked = ids as u32 * 100;
    assert!(admitted >= asked / 100 * 98, "{admitted} of {asked}");
}

/// Once the fleet is divided, the work of another group comes as a sum and not from its members as well.
#[test]
fn division_forgets_the_work_of_members_that_went_to_other_groups() {
    let mut own = Instance::serving(1, 1);
    let mut other = Instance::of(state::Identity {
        domain: name("b"),
        ..Instance::new(2).state.own
    });
    other.apply(START, manifest(1, 0.0, None));
    other.apply(START, engines(vec![engine(0)]));
    other.send(START, ask(1, START, Repeat::Stream, 1));
    own.hear(START, other.digest(START));
    assert_eq!(work_at_the_engine(&mut own, 1), 1);
    let members = (0..=group::MAX_SIZE as u16).map(|index| member::Member {
        name: name(&format!("m{index}")),
        domain: name(if index % 2 == 0 { "a" } else { "b" }),
        address: net::SocketAddr::from(([127, 0, 0, 2], 20_000 + index)),
    });
    own.state.peers.add_listed(START, members);
    own.apply(START, event::Event::Tick);
    assert_eq!(own.state.peers.group_peers().count(), 0);
    assert_eq!(work_at_the_engine(&mut own, 2), 0);
}

/// Returns the requests of all at the engine that a request of this id is sent to.
fn work_at_the_engine(instance: &mut Instance, id: u64) -> u32 {
    let arrived = event::Event::Arrived(ask(id, START, Repeat::Stream, 1));
    let effects = instance.apply(START, arrived);
    let running = effects.iter().find_map(|effect| match effect {
        effect::Effect::Send { dispatch, .. } => Some(dispatch.choice.running),
        _ => None,
    });
    instance.signal(START, id, event::Signal::Whole { status: 200 });
    running.unwrap()
}

/// Ends of engines that three instances saw block the request at all others in time.
#[test]
fn crashes_are_known_everywhere() {
    let mut fleet = met(295, 5, BAD);
    let now = fleet.now();
    for index in [3, 50, 290] {
        let engine = name(&format!("e{index}"));
        let state = &mut fleet.instance(index).state;
        state.suspects.ended(now, 77, &engine, 1);
    }
    fleet.play_for(Duration::from_secs(3));
    let now = fleet.now();
    let blocked = fleet.states().filter(|s| s.suspects.is_blocked(now, 77));
    assert_eq!(blocked.count(), 295);
}

fn offer(fleet: &mut Fleet, id: u64) -> u32 {
    let (now, size) = (fleet.now(), fleet.size() as u64);
    let place = id.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29) % size;
    let instance = fleet.instance(place as usize);
    let arrived = event::Event::Arrived(ask(id, now, Repeat::Stream, 1));
    if refused(&instance.apply(now, arrived)).is_some() {
        return 0;
    }
    instance.signal(now, id, event::Signal::Whole { status: 200 });
    100
}
