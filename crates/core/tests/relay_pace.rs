//! How soon a store that has fallen silent is noticed.

use std::time::Duration;

use guavausher_core::relay::watch_timing;
use rstest::rstest;

/// From the notice of those that follow the store until all others know what it says: their heartbeat,
/// a look at it, a list, the heartbeat with the news, a look at that, and the fetch.
const TAKE_OVER: Duration = Duration::from_millis(300 + 100 + 100 + 300 + 100 + 100);

/// DRAIN on the own day leaving-while-the-store-is-silent: all three instances that follow the store lost
/// it at once, and said for three seconds that they still heard from it.
#[rstest]
#[case::half(1_900)]
#[case::small(2_000)]
#[case::grown(3_000)]
#[case::long(10_000)]
fn pace_notices_silence_early_enough_for_work_to_stop(#[case] drain: u64) {
    let drain = Duration::from_millis(drain);
    let timing = watch_timing::WatchTiming::for_drain(drain);
    assert!(timing.timeout() + TAKE_OVER < drain, "{timing:?}");
    assert!(!timing.wait.is_zero());
}

#[test]
fn pace_is_never_slower_than_usual() {
    let timing = watch_timing::WatchTiming::for_drain(Duration::from_secs(60));
    assert!(timing.timeout() <= watch_timing::WatchTiming::SLOWEST.timeout());
}
