//! Rate limits that engines state, kept by all instances together.

mod relay_support;

use std::collections;
use std::net;
use std::time::Duration;

use guavausher_core::relay::route::RetryPolicy;
use guavausher_core::relay::{effect, engine, event, rate_limit, request, state};
use guavausher_core::{refusal, time, verdict};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use relay_support::fleet::{Fleet, Network};
use relay_support::limits::Simulation;
use relay_support::{Instance, at, manifest_with_cold_rate, name, new_request, refused};
use rstest::rstest;

/// Time after which all instances must keep to a limit (`contactMs` of the large deployment).
const NOTICE_TIME: Duration = Duration::from_secs(4);
/// Length of the window in which requests are counted against a limit.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests beyond the limit that are tolerated in a window.
const SLACK: f64 = 5.0;
/// Requests per second that the two limited engines take.
const LIMITS: [f64; 2] = [2.0, 3.0];

/// Number of instances, failure domains and engines, and requests per second of all callers.
#[derive(Clone, Copy, Debug)]
struct Size(usize, usize, usize, f64);

const SMALL: Size = Size(9, 3, 9, 80.0);
const GROWN: Size = Size(75, 3, 20, 220.0);
const LARGE: Size = Size(295, 5, 40, 550.0);

impl Size {
    /// Returns a span of simulated time, which is cut for the large fleet since it is simulated
    /// about as slowly as time passes.
    fn span(self, seconds: u64) -> Duration {
        let span = Duration::from_secs(seconds);
        if self.0 > 128 { span * 6 / 10 } else { span }
    }
}

fn simulation(size: Size) -> Simulation {
    let Size(instances, domains, engines, load) = size;
    let mut simulation = Simulation::new(instances, domains, engines, load);
    simulation.run_for(Duration::from_secs(2));
    for (engine, limit) in LIMITS.into_iter().enumerate() {
        simulation.limit(engine, Some(limit));
    }
    simulation
}

/// The limit itself and no share of it beyond, although the deployments tolerate half as much
/// again.
fn allowed(limit: f64) -> f64 {
    limit * WINDOW.as_secs_f64() + SLACK
}

fn assert_limits_kept(simulation: &Simulation, limits: &[f64], since: Duration) {
    for (engine, limit) in limits.iter().enumerate() {
        let most = simulation.most_arrivals(engine, since, WINDOW);
        assert!(
            most as f64 <= allowed(*limit),
            "{most} requests at limit {limit}"
        );
    }
}

/// An engine that took 2 requests a second from all instances got 20 in 4 s from nine instances.
#[rstest]
#[case::small(SMALL)]
#[case::grown(GROWN)]
#[case::large(LARGE)]
fn limited_engine_kept_to_its_limit_by_all_instances(#[case] size: Size) {
    let mut simulation = simulation(size);
    simulation.run_for(NOTICE_TIME);
    let since = simulation.elapsed();
    let span = size.span(20);
    simulation.run_for(span);
    assert_limits_kept(&simulation, &LIMITS, since);
    for (engine, limit) in LIMITS.into_iter().enumerate() {
        let used = simulation.arrivals(engine, since) as f64 / span.as_secs_f64();
        assert!(
            used >= limit * 2.0 / 3.0,
            "{used} requests a second of {limit}"
        );
    }
    assert_eq!(simulation.refused, 0);
}

#[rstest]
#[case::small(SMALL)]
#[case::grown(GROWN)]
#[case::large(LARGE)]
fn limited_engine_kept_to_its_limit_while_instances_restart(#[case] size: Size) {
    let mut simulation = simulation(size);
    simulation.run_for(NOTICE_TIME);
    simulation.restarts = true;
    let since = simulation.elapsed();
    simulation.run_for(size.span(20));
    assert_limits_kept(&simulation, &LIMITS, since);
}

#[rstest]
#[case::small(SMALL)]
#[case::grown(GROWN)]
#[case::large(LARGE)]
fn limited_engine_kept_to_its_limit_around_a_partition(#[case] size: Size) {
    let mut simulation = simulation(size);
    simulation.run_for(NOTICE_TIME);
    let since = simulation.elapsed();
    for partitioned in [Some(1), None, Some(0), None] {
        simulation.fleet.partition(partitioned);
        simulation.run_for(size.span(6));
    }
    assert_limits_kept(&simulation, &LIMITS, since);
}

#[rstest]
#[case::small(SMALL)]
#[case::grown(GROWN)]
#[case::large(LARGE)]
fn limited_engine_kept_to_its_limit_after_a_change(#[case] size: Size) {
    let mut simulation = simulation(size);
    simulation.run_for(NOTICE_TIME);
    for limits in [[8.0, 1.0], [1.0, 12.0], LIMITS] {
        for (engine, limit) in limits.into_iter().enumerate() {
            simulation.limit(engine, Some(limit));
        }
        simulation.run_for(NOTICE_TIME);
        let since = simulation.elapsed();
        simulation.run_for(size.span(8));
        assert_limits_kept(&simulation, &limits, since);
    }
}

/// An engine whose limit has ended, or that has started again without one, is used like the others.
#[rstest]
#[case::end_small(SMALL, |simulation: &mut Simulation| simulation.limit(0, None))]
#[case::end_grown(GROWN, |simulation: &mut Simulation| simulation.limit(0, None))]
#[case::restart_small(SMALL, |simulation: &mut Simulation| simulation.restart_engine(0))]
#[case::restart_grown(GROWN, |simulation: &mut Simulation| simulation.restart_engine(0))]
fn limited_engine_used_again_without_its_limit(
    #[case] size: Size,
    #[case] lift: fn(&mut Simulation),
) {
    let mut simulation = simulation(size);
    simulation.run_for(NOTICE_TIME);
    lift(&mut simulation);
    simulation.run_for(NOTICE_TIME);
    let since = simulation.elapsed();
    simulation.run_for(WINDOW);
    let arrivals = simulation.arrivals(0, since) as f64;
    assert!(arrivals >= 2.0 * allowed(LIMITS[0]), "{arrivals} requests");
    assert_limits_kept(&simulation, &[f64::INFINITY, LIMITS[1]], since);
}

/// An idle engine that has just started got 30 requests in a second from 22 instances, although it
/// takes 13 while it is cold, and crashed.
#[rstest]
#[case::small(Size(9, 3, 4, 60.0))]
#[case::grown(Size(75, 3, 12, 220.0))]
fn cold_engine_kept_to_its_rate_by_all_instances(#[case] size: Size) {
    const COLD_RATE: f64 = 13.0;
    /// Requests beyond the rate that are tolerated in a second (`coldSlack`).
    const SLACK: f64 = 5.0;
    const COLD_TIME: Duration = Duration::from_secs(4);
    let Size(instances, domains, engines, load) = size;
    let mut simulation = Simulation::new(instances, domains, engines, load);
    let rate = rate_limit::Rate::from_per_second(COLD_RATE);
    simulation.fleet.apply_all(&manifest_with_cold_rate(rate));
    simulation.run_for(Duration::from_secs(2));
    let since = simulation.elapsed();
    simulation.restart_engine(0);
    simulation.cool(0, COLD_TIME);
    simulation.run_for(COLD_TIME);
    let most = simulation.most_arrivals(0, since, Duration::from_secs(1)) as f64;
    assert!(most <= COLD_RATE + SLACK, "{most} requests in a second");
    assert!(simulation.arrivals(0, since) > 0);
}

/// The senders of an engine may have no callers for a while; others send in their place, and in the
/// end the limit is forgotten.
#[test]
fn limit_expires_without_requests() {
    let mut simulation = simulation(SMALL);
    simulation.run_for(NOTICE_TIME);
    simulation.set_load(0.0);
    let is_limited = |simulation: &Simulation| {
        let now = simulation.fleet.now();
        let is_limited = |state: &state::State| {
            let mut engines = state.fleet.all();
            engines.any(|engine| state.fleet.rate_limit(now, engine).is_some())
        };
        simulation.fleet.states().any(is_limited)
    };
    simulation.run_for(Duration::from_secs(50));
    assert!(is_limited(&simulation));
    simulation.run_for(Duration::from_secs(20));
    assert!(!is_limited(&simulation));
}

/// A sender whose requests all fare better elsewhere still finds out that a limit has ended.
#[test]
fn limited_engine_probed_though_others_are_faster() {
    let mut instance = Instance::serving(0, 2);
    let part = request::Part { id: 7, tokens: 900 };
    let mut send = |id: u64| {
        let now = at(id * 100);
        let request = request::Request {
            parts: vec![part, part],
            ..new_request(id, now, RetryPolicy::Stream, 2)
        };
        let engine = instance.send(now, request);
        instance.signal(now, id, event::Signal::First);
        instance.signal(now, id, event::Signal::Whole { status: 200 });
        if id == 0 {
            let other = if engine == name("e0") { "e1" } else { "e0" };
            instance.apply(now, limit_notice(other, Some(2.0)));
        }
        engine
    };
    // The prefix is cached at the first engine.
    let cached = send(0);
    let probes = (1..100).filter(|id| send(*id) != cached).count();
    assert!((3..=5).contains(&probes), "{probes} in 10 s");
}

/// A process that has just started does not know yet who else sends.
#[test]
fn limited_engine_not_sent_a_full_part_by_a_new_process() {
    let mut instance = Instance::serving(0, 2);
    let others = (1..9).map(|index| net::SocketAddr::from(([127, 0, 0, 1], 8_000 + index)));
    instance.state.peers.add_unverified(at(0), others);
    instance.apply(at(0), limit_notice("e0", Some(3.0)));
    let mut sent_at = Vec::new();
    for id in 0..200 {
        let now = at(id * 50);
        let request = new_request(id, now, RetryPolicy::Stream, 2);
        if instance.send(now, request) == name("e0") {
            sent_at.push(now);
        }
        instance.signal(now, id, event::Signal::First);
        instance.signal(now, id, event::Signal::Whole { status: 200 });
    }
    // A ninth of the limit for ten seconds, and nothing before the others can have been heard.
    assert!(sent_at.len() <= 4, "{sent_at:?}");
    assert!(sent_at.first().is_none_or(|first| *first >= at(1_500)));
}

/// Instances that the engine has not answered since learn of its limit from others.
#[rstest]
#[case::nine(9, 3)]
#[case::large(295, 5)]
fn limit_known_at_all_instances(#[case] size: usize, #[case] domains: usize) {
    let mut fleet = Fleet::new(
        size,
        domains,
        Network {
            lost: 100,
            duplicated: 50,
        },
    );
    fleet.run_for(Duration::from_secs(6));
    let now = fleet.now();
    fleet.instance(4).apply(now, limit_notice("e0", Some(2.0)));
    fleet.run_for(Duration::from_secs(3));
    let now = fleet.now();
    let is_unaware = |state: &&state::State| {
        let engine = state.fleet.all().find(|e| e.name == name("e0")).unwrap();
        state.fleet.rate_limit(now, engine).is_none()
    };
    assert_eq!(fleet.states().filter(is_unaware).count(), 0);
}

/// What the limits leave no room for is refused at once, and no queue builds.
#[test]
fn request_beyond_the_limits_of_all_engines_is_refused_at_once() {
    let mut instance = Instance::serving(0, 1);
    instance.apply(at(0), limit_notice("e0", Some(2.0)));
    let (mut sent, mut refusals) = (0, 0);
    for id in 0..1_000 {
        let now = at(id * 10);
        let arrived = event::Event::Arrived(new_request(id, now, RetryPolicy::Stream, 2));
        match refused(&instance.apply(now, arrived)) {
            None => sent += 1,
            Some(refusal) => {
                refusals += 1;
                assert_eq!(refusal.code, refusal::Code::Overloaded);
                assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
                assert!(refusal.retry_at.unwrap() > now);
            }
        }
        instance.signal(now, id, event::Signal::First);
        instance.signal(now, id, event::Signal::Whole { status: 200 });
    }
    assert!((15..=21).contains(&sent), "{sent} sent in 10 s");
    assert_eq!(sent + refusals, 1_000);
}

fn limit_notice(engine: &str, limit: Option<f64>) -> event::Event {
    limit_notice_at(engine, 1, limit, at(0))
}

fn limit_notice_at(
    engine: &str,
    incarnation: u64,
    limit: Option<f64>,
    now: time::Time,
) -> event::Event {
    event::Event::EngineNotice {
        engine: name(engine),
        incarnation,
        notice: event::Notice::Limit(rate_limit::Statement {
            rate: limit.and_then(rate_limit::Rate::from_per_second),
            earliest: now,
            latest: now,
        }),
    }
}

#[derive(Clone, Debug)]
enum Step {
    Request,
    Break(u64),
    Limit(usize, u32),
    End(usize),
    Restart(usize),
    Disappear(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let engine = 0_usize..3;
    prop_oneof![
        8 => Just(Step::Request),
        2 => (0_u64..80).prop_map(Step::Break),
        3 => (engine.clone(), 1_u32..20).prop_map(|(engine, rate)| Step::Limit(engine, rate)),
        1 => engine.clone().prop_map(Step::End),
        1 => engine.clone().prop_map(Step::Restart),
        1 => engine.prop_map(Step::Disappear),
        4 => (1_u64..400).prop_map(Step::Wait),
    ]
}

/// What an engine last stated, and when it was last sent a request since it has a limit.
#[derive(Clone, Copy, Debug, Default)]
struct Limited {
    rate: Option<u32>,
    sent_at: Option<u64>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 120, failure_persistence: None, rng_seed: RngSeed::Fixed(32), ..ProptestConfig::default() })]

    /// Whatever the order of statements, lists, incarnations and retries: the only instance spaces
    /// its requests to an incarnation by the limit that this stated last.
    #[test]
    fn limits_kept_in_any_order(steps in prop::collection::vec(step(), 1..150)) {
        let mut instance = Instance::serving(0, 3);
        let mut incarnations = [1_u64; 3];
        let mut limits = collections::BTreeMap::<(usize, u64), Limited>::new();
        let (mut now, mut id) = (0, 0);
        for step in steps {
            let mut effects = Vec::new();
            match step {
                Step::Request => {
                    id += 1;
                    let request = new_request(id, at(now), RetryPolicy::ResumableStream, 3);
                    effects = instance.apply(at(now), event::Event::Arrived(request));
                }
                Step::Break(request) => {
                    let signal = event::Signal::Broken { unanswered: true };
                    effects = instance.signal(at(now), request, signal);
                }
                Step::Limit(index, rate) => {
                    limits.entry((index, incarnations[index])).or_default().rate = Some(rate);
                    let limit = Some(f64::from(rate));
                    let notice = limit_notice_at(&format!("e{index}"), incarnations[index], limit, at(now));
                    instance.apply(at(now), notice);
                }
                Step::End(index) => {
                    limits.remove(&(index, incarnations[index]));
                    let notice = limit_notice_at(&format!("e{index}"), incarnations[index], None, at(now));
                    instance.apply(at(now), notice);
                }
                Step::Restart(index) => incarnations[index] += 1,
                Step::Disappear(index) => {
                    let others = (0..3).filter(|other| *other != index);
                    let list = others.map(|other| engine::Engine {
                        incarnation: incarnations[other],
                        ..relay_support::engine(other)
                    });
                    instance.apply(at(now), relay_support::engines(list.collect()));
                }
                Step::Wait(span) => now += span,
            }
            if matches!(step, Step::Restart(_) | Step::Wait(_)) {
                let list = (0..3).map(|index| engine::Engine {
                    incarnation: incarnations[index],
                    ..relay_support::engine(index)
                });
                instance.apply(at(now), relay_support::engines(list.collect()));
            }
            for effect in &effects {
                let effect::Effect::Send { dispatch, .. } = effect else { continue };
                let index: usize = dispatch.choice.engine[1..].parse().unwrap();
                let Some(limited) = limits.get_mut(&(index, dispatch.choice.incarnation)) else { continue };
                let Some(rate) = limited.rate else { continue };
                if let Some(sent_at) = limited.sent_at.replace(now) {
                    let gap = (now - sent_at) as f64 / 1_000.0;
                    prop_assert!(gap * f64::from(rate) >= 0.999, "{gap} s at {rate} a second");
                }
            }
        }
    }
}
