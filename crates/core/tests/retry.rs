//! Retry budgets and backoff.

use std::time::Duration;

use guavausher_core::name;
use guavausher_core::retry;
use guavausher_core::time;
use rstest::rstest;

#[rstest]
#[case::slow(200, 300)]
#[case::usual(20, 3_000)]
#[case::fast(1, 60_000)]
fn spend_bounds_amplification(#[case] gap_millis: u64, #[case] requests: u64) {
    let service = name::Name::from("guava-model");
    let mut budget = retry::Budget::new();
    let mut sent = 0;
    for request in 0..requests {
        let now = time::Time::from_millis(1_000_000 + request * gap_millis);
        budget.record(now, &service);
        sent += 1;
        while budget.spend(now, &service) {
            sent += 1;
        }
    }
    assert!(
        sent as f64 / requests as f64 <= 1.1,
        "{sent} sent for {requests}"
    );
}

#[test]
fn spend_limits_quiet_service() {
    let service = name::Name::from("guava-model");
    let now = time::Time::from_millis(1_000_000);
    let mut budget = retry::Budget::new();
    assert!(
        !budget.spend(now, &service),
        "a retry is allowed before any request"
    );
    budget.record(now, &service);
    let allowed = (0..100).filter(|_| budget.spend(now, &service)).count();
    assert_eq!(allowed, 8);
    (0..19).for_each(|_| budget.record(now, &service));
    assert!(
        budget.spend(now, &service),
        "twenty requests allow one retry"
    );
    assert!(!budget.spend(now, &service));
}

#[test]
fn record_caps_credit() {
    let service = name::Name::from("guava-model");
    let now = time::Time::from_millis(1_000_000);
    let mut budget = retry::Budget::new();
    (0..10_000).for_each(|_| budget.record(now, &service));
    let allowed = (0..100).filter(|_| budget.spend(now, &service)).count();
    assert_eq!(allowed, 16);
}

#[rstest]
#[case::first(0, 20)]
#[case::third(2, 80)]
#[case::capped(40, 2_000)]
fn backoff_stays_in_bounds(#[case] attempt: u32, #[case] bound_millis: u64) {
    let bound = Duration::from_millis(bound_millis);
    let delays: Vec<_> = (0..100).map(|seed| retry::backoff(seed, attempt)).collect();
    assert!(
        delays
            .iter()
            .all(|&delay| bound / 2 <= delay && delay <= bound)
    );
    assert!(delays.iter().any(|&delay| delay != delays[0]), "no jitter");
}
