//! How a process notices that it is behind.

use std::time::Duration;

use guavausher_core::time;
use guavausher_relay::event_loop;

fn at(millis: u64) -> time::Time {
    time::Time::from_micros(millis * 1_000)
}

#[test]
fn record_timer_names_busiest_kind_of_event() {
    let event_loop = event_loop::EventLoop::default();
    event_loop.record_event("digest", Duration::from_millis(40));
    event_loop.record_event("crash-report", Duration::from_millis(300));
    event_loop.record_event("digest", Duration::from_millis(20));
    let report = event_loop.record_timer(at(5_600), at(5_000)).unwrap();
    let expected = event_loop::Report {
        lag: Duration::from_millis(600),
        busy: Duration::from_millis(360),
        busiest: "crash-report",
        busiest_time: Duration::from_millis(300),
    };
    assert_eq!(report, expected);
    assert_eq!(event_loop.lag(), Duration::from_millis(600));
}

#[test]
fn record_timer_silent_when_on_time() {
    let event_loop = event_loop::EventLoop::default();
    assert_eq!(event_loop.record_timer(at(5_010), at(5_000)), None);
    assert_eq!(event_loop.lag(), Duration::from_millis(10));
}

#[test]
fn record_timer_reports_once_a_second() {
    let event_loop = event_loop::EventLoop::default();
    assert!(event_loop.record_timer(at(5_600), at(5_000)).is_some());
    assert!(event_loop.record_timer(at(6_200), at(5_700)).is_none());
    assert!(event_loop.record_timer(at(6_700), at(6_300)).is_some());
}
