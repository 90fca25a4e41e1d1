//! Tests of the monitor of one entry with good and bad new versions.

use guavausher_core::name;
use guavausher_core::rollout;
use guavausher_core::time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Microseconds in a millisecond.
const MILLI: u64 = 1_000;
/// Time between two requests, in milliseconds.
const REQUEST_GAP_MS: u64 = 20;
/// Every tenth request runs on the new version.
const NEW_VERSION_INTERVAL: u64 = 10;
const REQUESTS: u64 = 20_000;

fn status() -> rollout::Status {
    rollout::Status {
        format: rollout::FORMAT,
        operation: name::Name::default(),
        service: name::Name::from("verse-scribe"),
        from: name::Name::from("v1"),
        to: name::Name::from("v2"),
        share: 100,
        limit: 100,
        phase: rollout::Phase::Canary,
        next: time::Time::MAX,
        settle: time::Time::MAX,
        deadline: time::Time::MAX,
        generation: 7,
        reason: String::new(),
    }
}

#[derive(Clone, Copy)]
struct Request {
    index: u64,
    is_new: bool,
    is_chant: bool,
}

fn good_sample(rng: &mut SmallRng) -> rollout::Sample {
    rollout::Sample {
        failed: rng.random_bool(0.005),
        first_token: rng.random_range(60 * MILLI..180 * MILLI),
        expected: 0,
        gap: rng.random_range(20 * MILLI..30 * MILLI),
        loaded: rng.random_bool(0.2),
    }
}

/// Records the requests and returns the index of the one after which the monitor halted.
fn run(mut spoil: impl FnMut(&Request, &mut rollout::Sample)) -> Option<u64> {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut monitor = rollout::Monitor::new();
    monitor.adopt(&[status()]);
    for index in 0..REQUESTS {
        let request = Request {
            index,
            is_new: index.is_multiple_of(NEW_VERSION_INTERVAL),
            is_chant: rng.random_bool(0.2),
        };
        let mut sample = good_sample(&mut rng);
        spoil(&request, &mut sample);
        let version = name::Name::from(if request.is_new { "v2" } else { "v1" });
        let route = name::Name::from(if request.is_chant { "chant" } else { "verse" });
        let now = time::Time::from_millis(1 + index * REQUEST_GAP_MS);
        monitor.record(now, &status().service, &version, &route, sample);
        let facts = monitor.detect_regressions(now);
        if !facts.is_empty() {
            assert_eq!(facts, [status().halt_fact()]);
            return Some(index);
        }
    }
    None
}

#[rstest]
#[case::errors_at_once(0, 2_000, |_: &Request, s: &mut rollout::Sample| s.failed = true)]
#[case::slow_at_once(0, 2_000, |_: &Request, s: &mut rollout::Sample| s.first_token *= 3)]
#[case::stalls_at_once(0, 2_000, |_: &Request, s: &mut rollout::Sample| s.gap *= 2)]
#[case::errors_later(15_000, 2_000, |_: &Request, s: &mut rollout::Sample| s.failed = true)]
#[case::slow_later(15_000, 2_000, |_: &Request, s: &mut rollout::Sample| s.first_token *= 3)]
#[case::one_route(0, 4_000, |r: &Request, s: &mut rollout::Sample| s.failed |= r.is_chant)]
#[case::under_load(0, 4_000, |_: &Request, s: &mut rollout::Sample| s.failed |= s.loaded)]
#[case::some_errors(0, 8_000, |r: &Request, s: &mut rollout::Sample| s.failed |= r.index.is_multiple_of(70))]
fn detect_regressions_finds_bad_version(
    #[case] onset: u64,
    #[case] limit: u64,
    #[case] spoil: fn(&Request, &mut rollout::Sample),
) {
    let found = run(|request, sample| {
        if request.is_new && request.index >= onset {
            spoil(request, sample);
        }
    });
    let found = found.expect("a bad version is found");
    assert!((onset..onset + limit).contains(&found), "{found}");
}

#[rstest]
#[case::good(|_: &Request, _: &mut rollout::Sample| {})]
#[case::both_fail(|r: &Request, s: &mut rollout::Sample| s.failed |= r.index.is_multiple_of(11))]
#[case::both_slow_later(|r: &Request, s: &mut rollout::Sample| s.first_token *= 1 + r.index / 15_000)]
#[case::cold_cache(|r: &Request, s: &mut rollout::Sample| if r.is_new {
    s.expected = s.first_token;
    s.first_token *= 2;
})]
#[case::one_upstream_crashes(|r: &Request, s: &mut rollout::Sample| {
    s.failed |= r.is_new && (5_000..5_040).contains(&r.index);
})]
fn detect_regressions_passes_good_version(#[case] spoil: fn(&Request, &mut rollout::Sample)) {
    assert_eq!(run(spoil), None);
}

#[test]
fn detect_regressions_tolerates_single_burst() {
    let mut monitor = rollout::Monitor::new();
    monitor.adopt(&[status()]);
    let now = time::Time::from_millis(1);
    let sample = rollout::Sample {
        failed: true,
        ..rollout::Sample::default()
    };
    let route = name::Name::from("verse");
    for _ in 0..64 {
        monitor.record(now, &status().service, &status().to, &route, sample);
    }
    assert_eq!(monitor.detect_regressions(time::Time::from_millis(600)), []);
}

#[test]
fn drain_groups_by_version_route_and_load() {
    let mut monitor = rollout::Monitor::new();
    monitor.adopt(&[status()]);
    let now = time::Time::from_millis(1);
    let sample = rollout::Sample {
        failed: true,
        loaded: true,
        ..rollout::Sample::default()
    };
    let route = name::Name::from("verse");
    for version in ["v1", "v2", "v2", "v3"] {
        let version = name::Name::from(version);
        monitor.record(now, &status().service, &version, &route, sample);
    }
    monitor.detect_regressions(time::Time::from_millis(600));
    let reports = monitor.drain();
    let totals: Vec<_> = reports
        .iter()
        .map(|r| (r.version.as_str(), r.requests, r.errors))
        .collect();
    assert_eq!(totals, [("v1", 1, 1), ("v2", 2, 2)]);
    assert!(
        reports
            .iter()
            .all(|report| report.route.as_str() == "verse under load")
    );
    assert!(monitor.drain().is_empty());
}
