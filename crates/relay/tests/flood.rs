//! Sampling of the log lines of refused requests.

use std::time::Duration;

use guavausher_core::name;
use guavausher_core::time;
use guavausher_relay::log_sampling;

#[test]
fn admit_many_refusals_samples_and_counts_all() {
    let sampler = log_sampling::LogSampler::default();
    let workspace = name::Name::from("ward");
    let start = time::Time::from_millis(1_000);
    let (mut lines, mut counted) = (0, 0);
    for step in 0..5_000 {
        let now = start.after(Duration::from_millis(step));
        if let Some(stands_for) = sampler.admit(now, &workspace) {
            lines += 1;
            counted += stands_for;
        }
    }
    assert!(lines <= 50, "ten a second for five seconds: {lines}");
    let later = start.after(Duration::from_secs(10));
    counted += sampler.admit(later, &workspace).unwrap();
    assert_eq!(counted, 5_001);
}

#[test]
fn admit_keeps_workspaces_apart() {
    let sampler = log_sampling::LogSampler::default();
    let now = time::Time::from_millis(1_000);
    for _ in 0..100 {
        sampler.admit(now, &name::Name::from("loud"));
    }
    assert_eq!(sampler.admit(now, &name::Name::from("quiet")), Some(1));
}
