//! How soon a silent store is detected.

use std::time::Duration;

use guavausher_core::relay::watch_timing;
use rstest::rstest;

/// Time from the detection by the store watchers until all other instances know the store's
/// content: their heartbeat, a check of it, a list, the heartbeat with the change, a check of
/// that, and the fetch.
const PROMOTION_TIME: Duration = Duration::from_millis(300 + 100 + 100 + 300 + 100 + 100);

/// In a run in which engines left while the store was silent, all three store watchers lost the
/// store at once and reported for three seconds that they still watched it, so requests stopped
/// too late.
#[rstest]
#[case::half(1_900)]
#[case::small(2_000)]
#[case::grown(3_000)]
#[case::long(10_000)]
fn for_bound_detects_silence_early_enough(#[case] drain: u64) {
    let drain = Duration::from_millis(drain);
    let timing = watch_timing::WatchTiming::for_bound(drain);
    assert!(timing.timeout() + PROMOTION_TIME < drain, "{timing:?}");
    assert!(!timing.wait.is_zero());
}

#[test]
fn for_bound_is_never_slower_than_slowest() {
    let timing = watch_timing::WatchTiming::for_bound(Duration::from_secs(60));
    assert!(timing.timeout() <= watch_timing::WatchTiming::SLOWEST.timeout());
}
