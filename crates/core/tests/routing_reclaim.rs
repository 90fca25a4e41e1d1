//! Migration plans for the streams of a reclaimed upstream.

use std::time::Duration;

use guavausher_core::declaration;
use guavausher_core::routing::reclaim;
use guavausher_core::time;
use rstest::rstest;

const NOW: time::Time = time::Time::from_millis(1_000);
const RECLAIM_AT: time::Time = time::Time::from_millis(11_000);

fn speeds(transfer_millis: Option<u64>) -> reclaim::Speeds {
    reclaim::Speeds {
        gap: Duration::from_millis(40),
        prefill: Duration::from_millis(50),
        transfer: transfer_millis.map(Duration::from_millis),
    }
}

fn stream(attempt: u64, kv_tokens: u32, remaining: u32) -> reclaim::Stream {
    reclaim::Stream {
        attempt,
        priority: declaration::Priority::Long,
        kv_tokens,
        remaining,
    }
}

#[rstest]
#[case::completes_in_time(100, Some(1), reclaim::Action::Finish)]
#[case::fast_export(1_000, Some(1), reclaim::Action::Export)]
#[case::slow_export(1_000, Some(60), reclaim::Action::Recompute)]
#[case::no_export(1_000, None, reclaim::Action::Recompute)]
fn plan_selects_fastest_action(
    #[case] remaining: u32,
    #[case] transfer: Option<u64>,
    #[case] action: reclaim::Action,
) {
    let steps = reclaim::plan(
        NOW,
        RECLAIM_AT,
        &[stream(1, 2_000, remaining)],
        &speeds(transfer),
    );
    let actions: Vec<_> = steps.iter().map(|step| step.action).collect();
    assert_eq!(actions, [action]);
}

#[rstest]
#[case::seconds(11_000)]
#[case::one_second(2_000)]
#[case::none(1_000)]
fn plan_schedules_every_stream_in_time(#[case] reclaim_millis: u64) {
    let reclaim_at = time::Time::from_millis(reclaim_millis);
    let streams: Vec<_> = (0..50)
        .map(|id| stream(id, 3_000, 10 * id as u32))
        .collect();
    let steps = reclaim::plan(NOW, reclaim_at, &streams, &speeds(Some(30)));
    let mut attempts: Vec<_> = steps.iter().map(|step| step.attempt).collect();
    attempts.sort_unstable();
    assert_eq!(attempts, (0..50).collect::<Vec<_>>());
    assert!(steps.iter().all(|step| step.at <= reclaim_at));
}

#[test]
fn plan_paces_recomputation() {
    let streams: Vec<_> = (0..40).map(|id| stream(id, 3_000, 5_000)).collect();
    let steps = reclaim::plan(NOW, RECLAIM_AT, &streams, &speeds(None));
    let early = steps
        .iter()
        .filter(|step| step.at < time::Time::from_millis(3_000));
    assert!(early.count() <= 10, "migrations are not spread");
}

#[test]
fn plan_moves_quick_first() {
    let mut streams: Vec<_> = (0..10).map(|id| stream(id, 3_000, 5_000)).collect();
    streams[7].priority = declaration::Priority::Quick;
    let steps = reclaim::plan(NOW, RECLAIM_AT, &streams, &speeds(None));
    assert_eq!(steps[0].attempt, 7);
}
