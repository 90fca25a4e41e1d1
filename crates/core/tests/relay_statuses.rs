//! The status of rollouts as the lease holder writes it.

mod relay_support;

use std::time::Duration;

use guavausher_core::relay::event::{self, Signal};
use guavausher_core::relay::{engine, rollouts, route};
use guavausher_core::time;
use relay_support::holder::Holder;
use relay_support::{EPOCH, Instance, START, at, engine, engines, name, new_request, sent};
use rstest::rstest;

/// Time after which the entry of an engine that has ended is removed, in milliseconds.
const ENTRY_KEPT: u64 = 3_600;

fn rollout(stage: rollouts::Stage, deadline: u64) -> event::Event {
    event::Event::Rollouts(vec![rollouts::Order {
        service: name("model"),
        target: name("v2"),
        duration: Duration::from_secs(12),
        stage,
        deadline_micros: Some(EPOCH + deadline * 1_000),
        revision: 1,
    }])
}

/// Returns two engines of each of the versions.
fn of_versions(versions: &[&str]) -> Vec<engine::Engine> {
    let mut list: Vec<_> = (0..2 * versions.len()).map(engine).collect();
    for (engine, version) in list.iter_mut().zip(versions.iter().flat_map(|v| [v, v])) {
        engine.name = name(&format!("{version}-{}", engine.name));
        engine.version = name(version);
    }
    list
}

/// A process that has just started, its lease included, after the deadline of a rollout.
fn restarted() -> (Instance, Holder) {
    let mut instance = Instance::serving(1, 0);
    instance.apply(START, engines(of_versions(&["v1", "v2"])));
    instance.apply(START, rollout(rollouts::Stage::Running, 0));
    (instance, Holder::new("front-1"))
}

/// Sends a request, which is responded to if the version of its engine is one that runs.
fn serve(instance: &mut Instance, now: time::Time, id: u64, running: &str) {
    let request = new_request(id, now, route::RetryPolicy::Stream, 1);
    let effects = instance.apply(now, event::Event::Arrived(request));
    let Some(engine) = sent(&effects) else {
        return;
    };
    if !engine.starts_with(running) {
        instance.signal(now, id, Signal::Unsent);
        return;
    }
    instance.signal(now, id, Signal::First);
    instance.signal(now, id, Signal::Whole { status: 200 });
}

/// Guards against a final status after which no engine is left: all processes ended around a return
/// of the store, whose copy has the rollout as running and the engines that have ended since. The
/// platform drains the new engines at `rolled_back`, and stops the old ones at `completed` (RECOVER).
#[rstest]
#[case::completed_before("v2", rollouts::Stage::Completed)]
#[case::rolled_back_before("v1", rollouts::Stage::RolledBack)]
fn final_status_after_a_return_leaves_the_engines_that_run(
    #[case] running: &str,
    #[case] stage: rollouts::Stage,
    #[values(5, 20)] steps: u64,
) {
    let (mut instance, mut holder) = restarted();
    for step in 0..200 {
        let now = at(step * 100);
        if step * 100 == ENTRY_KEPT {
            instance.apply(now, engines(of_versions(&[running])));
        }
        if step.is_multiple_of(steps) {
            serve(&mut instance, now, step, running);
        }
        holder.tick(now, &mut instance);
    }
    let is_final = |update: &&rollouts::StatusUpdate| {
        use rollouts::Stage::{Completed, RolledBack};
        matches!(update.stage, Completed | RolledBack)
    };
    let stages: Vec<_> = holder.updates.iter().filter(is_final).collect();
    assert!(!stages.is_empty(), "decided in the end");
    assert!(stages.iter().all(|u| u.stage == stage), "{stages:?}");
}

/// With both versions there, a holder that has just started rolls back once an engine of the old one
/// has responded, although the deadline has passed already.
#[test]
fn rolled_back_by_a_new_holder_once_an_old_engine_has_responded() {
    let (mut instance, mut holder) = restarted();
    for step in 0..10 {
        holder.tick(at(step * 100), &mut instance);
    }
    assert!(holder.updates.is_empty());
    serve(&mut instance, at(1_000), 1, "v1");
    for step in 11..20 {
        holder.tick(at(step * 100), &mut instance);
    }
    let last = holder.updates.last().map(|update| update.stage);
    assert_eq!(last, Some(rollouts::Stage::RolledBack));
}

/// A completed version that fails is rolled back while engines of another version are there. Without
/// them the status stays, since the platform drains the engines of a version that is rolled back.
#[rstest]
#[case::other_version_has_engines(true)]
#[case::no_other_version_has_engines(false)]
fn completed_version_that_fails_is_rolled_back_to_engines_only(#[case] has_others: bool) {
    let mut instance = Instance::serving(1, 2);
    let mut holder = Holder::new("front-1");
    let mut both: Vec<_> = (0..4).map(engine).collect();
    both[2].version = name("v2");
    both[3].version = name("v2");
    let both = both.split_off(if has_others { 0 } else { 2 });
    instance.apply(START, engines(both));
    instance.apply(START, rollout(rollouts::Stage::Completed, 12_000));
    for _ in 0..20 {
        let (model, r) = (name("model"), name("r"));
        let rollouts = &mut instance.state.rollouts;
        rollouts.record_response(&model, &r, &name("v2"), false);
    }
    for step in 0..60 {
        holder.tick(at(step * 100), &mut instance);
    }
    let stages: Vec<_> = holder.updates.iter().map(|u| u.stage).collect();
    assert_eq!(stages.contains(&rollouts::Stage::RolledBack), has_others);
    assert_eq!(stages.is_empty(), !has_others);
}
