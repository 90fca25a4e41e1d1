//! Promises to callers, kept by real entry processes under failure.

mod fleet;

use std::collections;
use std::thread;
use std::time::Duration;

use fleet::{Fleet, Plan, fault, wait_for};
use rstest::rstest;

const PROMPT: &str = "a verse for grandmother";

/// Each fault of the service or the store during one order, then a resend elsewhere.
#[rstest]
#[case::none("", "", 200, 200, 1)]
#[case::store_loses_an_answer("", r#"{"lose_next":1}"#, 200, 200, 1)]
#[case::store_loses_two_answers("", r#"{"lose_next":2}"#, 200, 200, 1)]
#[case::service_dies_before_the_body(r#"{"reset_at":"before_body"}"#, "", 502, 409, 0)]
#[case::service_dies_after_the_run(r#"{"reset_at":"after_headers"}"#, "", 502, 409, 1)]
#[case::service_answers_another_attempt(r#"{"wrong_attempt":true}"#, "", 502, 409, 1)]
#[case::service_errs(r#"{"error_rate":1000}"#, "", 502, 409, 1)]
fn order_runs_at_most_once(
    #[case] service: &str,
    #[case] platform: &str,
    #[case] first: u16,
    #[case] again: u16,
    #[case] runs: u64,
) {
    let fleet = Fleet::start(&Plan::default());
    if !service.is_empty() {
        fault(&fleet.services[0], service);
    }
    if !platform.is_empty() {
        fault(&fleet.platform, platform);
    }
    let answer = fleet.order(0, "k");
    assert_eq!(answer.status, first, "{}", answer.body);
    assert_eq!(
        answer.verdict(),
        if first == 200 { "ran" } else { "may-have-run" }
    );
    fault(
        &fleet.services[0],
        r#"{"reset_at":null,"wrong_attempt":false,"error_rate":0}"#,
    );
    let resent = fleet.order(1, "k");
    assert_eq!(resent.status, again, "{}", resent.body);
    if again == 200 {
        assert_eq!(resent.body, answer.body);
    }
    assert_eq!(fleet.runs("k"), runs);
}

#[test]
fn order_refused_by_leaving_service_may_be_sent_again() {
    let fleet = Fleet::start(&Plan::default());
    fault(&fleet.services[0], r#"{"leave":true}"#);
    let answer = fleet.order(0, "k");
    assert_eq!(
        (answer.status, answer.verdict()),
        (503, "not-run"),
        "{}",
        answer.body
    );
    assert!(answer.header("retry-after").is_some());
    assert_eq!(fleet.runs("k"), 0);
    fault(&fleet.services[0], r#"{"leave":false}"#);
    wait_for("the resend runs", || fleet.order(1, "k").status == 200);
    assert_eq!(fleet.runs("k"), 1);
}

#[test]
fn order_resent_at_once_through_every_entry_runs_once() {
    let fleet = Fleet::start(&Plan::default());
    for round in 0..5 {
        let key = format!("k{round}");
        let answers: Vec<_> = thread::scope(|scope| {
            let send = |number: usize| {
                let (fleet, key) = (&fleet, &key);
                scope.spawn(move || fleet.order(number % 3, key))
            };
            let sent: Vec<_> = (0..12).map(send).collect();
            sent.into_iter()
                .map(|t| t.join().expect("an answer"))
                .collect()
        });
        assert!(answers.iter().any(|a| a.status == 200));
        for answer in &answers {
            assert!(
                matches!(answer.status, 200 | 409),
                "{} {}",
                answer.status,
                answer.body
            );
            assert!(answer.status == 200 || answer.header("retry-after").is_some());
        }
        assert_eq!(fleet.runs(&key), 1);
    }
}

/// The entry is frozen while its claim is being written and wakes after the order's deadline.
#[test]
fn order_of_entry_paused_past_its_deadline_is_not_dispatched_late() {
    let fleet = Fleet::start(&Plan::default());
    fault(&fleet.platform, r#"{"delay_ms":700}"#);
    thread::scope(|scope| {
        let writes = || {
            let calls = fleet::get(fleet.platform.address(), "/standin/calls").expect("calls");
            let calls: serde_json::Value = serde_json::from_str(&calls.body).expect("json");
            calls["write"].as_u64().expect("writes")
        };
        let requests = || fleet.entries[0].metric("requests_total").expect("requests");
        let (before, taken) = (writes(), requests());
        let first = scope.spawn(|| fleet.order(0, "k"));
        // Another entry's write says nothing of this one, which must have read the order.
        wait_for("the claim is on its way", || {
            requests() > taken && writes() > before
        });
        fleet.entries[0].signal("-STOP");
        fault(&fleet.platform, r#"{"delay_ms":0}"#);
        thread::sleep(Duration::from_secs(6));
        fleet.entries[0].signal("-CONT");
        let answer = first.join().expect("an answer");
        assert_eq!(answer.verdict(), "not-run", "{}", answer.body);
    });
    assert_eq!(fleet.runs("k"), 0, "said to be not run, and truly not run");
    wait_for("the order can be sent again", || {
        fleet.order(1, "k").status == 200
    });
    assert_eq!(fleet.runs("k"), 1);
}

/// What is reclaimed while an accepted order runs, with notice or without.
#[rstest]
#[case::notice_to_the_upstream(|fleet: &Fleet| fleet.notice("kiosk-0"), true)]
#[case::notice_to_the_entry(|fleet: &Fleet| fleet.entries[0].signal("-TERM"), true)]
#[case::notice_to_both(|fleet: &Fleet| { fleet.notice("kiosk-0"); fleet.entries[0].signal("-TERM") }, true)]
#[case::entry_killed(|fleet: &Fleet| fleet.entries[0].signal("-KILL"), false)]
#[case::entry_killed_after_notice(
    |fleet: &Fleet| { fleet.entries[0].signal("-TERM"); fleet.entries[0].signal("-KILL") },
    false
)]
fn order_runs_on_through_reclaim(#[case] reclaim: fn(&Fleet), #[case] answered: bool) {
    let fleet = Fleet::start(&Plan {
        run_ms: 1_500,
        ..Plan::default()
    });
    thread::scope(|scope| {
        let caller = fleet.entries[0].caller;
        let first = scope.spawn(move || fleet::order_at(caller, "k"));
        wait_for("the order runs", || fleet.runs("k") == 1);
        reclaim(&fleet);
        let answer = first.join().expect("the caller ends");
        let whole = answer.is_ok_and(|a| a.status == 200);
        assert_eq!(whole, answered);
    });
    let again = fleet.order(1, "k");
    let expected = if answered { 200 } else { 409 };
    assert_eq!(again.status, expected, "{}", again.body);
    assert_eq!(
        again.verdict(),
        if answered { "ran" } else { "may-have-run" }
    );
    assert_eq!(fleet.runs("k"), 1);
}

#[test]
fn order_in_store_outage_is_refused_while_streams_go_on() {
    let fleet = Fleet::start(&Plan::default());
    fault(&fleet.platform, r#"{"fail":true}"#);
    let answer = fleet.order(0, "k");
    assert_eq!(
        (answer.status, answer.verdict()),
        (503, "not-run"),
        "{}",
        answer.body
    );
    assert!(answer.header("retry-after").is_some());
    assert!(fleet.verse(1, PROMPT, 20).is_whole(0, 20));
    assert_eq!(fleet.runs("k"), 0);
    fault(&fleet.platform, r#"{"fail":false}"#);
    wait_for("orders go on", || fleet.order(2, "k").status == 200);
    assert_eq!(fleet.runs("k"), 1);
}

/// Every engine shows the fault on its first tokens; the caller gets the whole answer once.
#[rstest]
#[case::doubled(r#"{"duplicate_tokens":true}"#)]
#[case::truncated(r#"{"truncate_at":7}"#)]
#[case::reset_after_headers(r#"{"reset_at":"after_headers"}"#)]
#[case::reset_midway(r#"{"reset_at":{"token":5}}"#)]
#[case::crossed(r#"{"wrong_attempt":true}"#)]
#[case::erring(r#"{"error_rate":1000}"#)]
#[case::frozen(r#"{"freeze":true}"#)]
fn stream_is_whole_beside_one_faulty_engine(#[case] faults: &str) {
    let fleet = Fleet::start(&Plan::default());
    fault(&fleet.engines[0], faults);
    for number in 0..12 {
        let verse = fleet.verse(number % 3, &format!("{PROMPT} {number}"), 40);
        assert!(verse.is_whole(0, 40), "{verse:?}");
    }
}

#[test]
fn stream_survives_the_death_of_its_engine() {
    let mut fleet = Fleet::start(&Plan {
        token_ms: 10,
        ..Plan::default()
    });
    let dying = fleet.engines.remove(0);
    thread::scope(|scope| {
        let streams: Vec<_> = (0..12)
            .map(|number| {
                let fleet = &fleet;
                scope.spawn(move || fleet.verse(number % 3, &format!("{PROMPT} {number}"), 200))
            })
            .collect();
        thread::sleep(Duration::from_millis(600));
        dying.shutdown();
        for stream in streams {
            let verse = stream.join().expect("a stream");
            assert!(verse.is_whole(0, 200), "{verse:?}");
        }
    });
}

#[test]
fn stream_of_killed_entry_goes_on_at_another() {
    let mut fleet = Fleet::start(&Plan {
        token_ms: 10,
        ..Plan::default()
    });
    let victim = fleet.entries.remove(0);
    let caller = victim.caller;
    let body = format!(r#"{{"prompt":"{PROMPT}","max_tokens":200}}"#);
    let headers = [("x-workspace", "kiosks")];
    let reader = thread::spawn(move || fleet::Verse::read(caller, "/v1/verse", &headers, &body));
    thread::sleep(Duration::from_millis(700));
    drop(victim);
    let cut = reader.join().expect("a stream");
    assert!(!cut.done && !cut.ids.is_empty(), "{cut:?}");
    let last = cut.ids.last().copied();
    let rest = fleet.verse_from(0, PROMPT, 200, last);
    assert!(rest.is_whole(last.map_or(0, |id| id + 1), 200), "{rest:?}");
}

#[test]
fn stop_of_entry_cuts_none_of_100_streams() {
    let mut fleet = Fleet::start(&Plan {
        token_ms: 20,
        ..Plan::default()
    });
    thread::scope(|scope| {
        let caller = fleet.entries[0].caller;
        let streams: Vec<_> = (0..100)
            .map(|number| {
                scope.spawn(move || {
                    let body = format!(r#"{{"prompt":"{PROMPT} {number}","max_tokens":250}}"#);
                    fleet::Verse::read(caller, "/v1/verse", &[("x-workspace", "kiosks")], &body)
                })
            })
            .collect();
        let admin = fleet.entries[0].admin;
        wait_for("streams are open", || {
            fleet::get(admin, "/metrics").is_ok_and(|m| m.body.contains("in_flight 100\n"))
        });
        fleet.entries[0].signal("-TERM");
        wait_for("the balancer is told", || !fleet.entries[0].is_ready());
        for stream in streams {
            let verse = stream.join().expect("a stream");
            assert!(verse.is_whole(0, 250), "{verse:?}");
        }
    });
    let mut entry = fleet.entries.remove(0);
    wait_for("the entry ends by itself", || {
        entry
            .child
            .try_wait()
            .expect("a child")
            .is_some_and(|status| status.success())
    });
}

/// The notice alone counts: the instance list lags by 30 s and still shows the upstream.
#[test]
fn notice_keeps_new_work_from_a_leaving_upstream_at_every_entry() {
    let fleet = Fleet::start(&Plan {
        list_lag_ms: 30_000,
        engines: 2,
        ..Plan::default()
    });
    fleet.notice("verse-0");
    thread::sleep(Duration::from_secs(2));
    let runs = || {
        fleet::get(fleet.engines[0].address(), "/standin/runs")
            .expect("runs")
            .body
    };
    let before = runs();
    for number in 0..30 {
        assert!(
            fleet
                .verse(number % 3, &format!("{PROMPT} {number}"), 5)
                .is_whole(0, 5)
        );
    }
    assert_eq!(runs(), before, "new work reached the leaving engine");
}

#[test]
fn configuration_spreads_with_the_store_down_right_after_the_accept() {
    let mut fleet = Fleet::start(&Plan {
        entries: 6,
        ..Plan::default()
    });
    fleet
        .declaration
        .routes
        .iter_mut()
        .for_each(|r| r.timeout += 1);
    fleet.apply();
    wait_for("one entry has it", || {
        fleet.entries.iter().any(|e| e.generation() == Some(2))
    });
    fault(&fleet.platform, r#"{"fail":true}"#);
    let all = || fleet.entries.iter().all(|e| e.generation() == Some(2));
    wait_for("every entry has it", all);
}

#[test]
fn configuration_reaches_an_entry_born_in_an_outage() {
    let fleet = Fleet::start(&Plan::default());
    fault(&fleet.platform, r#"{"fail":true}"#);
    let peers: Vec<_> = fleet
        .entries
        .iter()
        .map(|e| format!("{}={}", e.name, e.peer))
        .collect();
    let born = fleet.entry(3, &peers.join(","));
    wait_for("it is ready", || born.is_ready());
    assert_eq!(born.generation(), Some(1));
}

/// One request crashes each engine that runs it; its caller sends it again through every entry.
#[test]
fn crasher_reaches_two_engines_at_most_and_loses_no_innocent() {
    let plan = Plan {
        engines: 6,
        crash_on_poison: true,
        token_ms: 10,
        ..Plan::default()
    };
    let fleet = Fleet::start(&plan);
    thread::scope(|scope| {
        let innocents: Vec<_> = (0..50)
            .map(|number| {
                let fleet = &fleet;
                scope.spawn(move || fleet.verse(number % 3, &format!("{PROMPT} {number}"), 100))
            })
            .collect();
        thread::sleep(Duration::from_millis(300));
        for resend in 0..9 {
            let verse = fleet.verse(resend % 3, "CRASH", 10);
            assert!(!verse.done, "{verse:?}");
        }
        for innocent in innocents {
            let verse = innocent.join().expect("a stream");
            assert!(verse.is_whole(0, 100), "{verse:?}");
        }
    });
    let dead = fleet
        .engines
        .iter()
        .filter(|e| fleet::get(e.address(), "/load").is_err())
        .count();
    assert!(dead <= 2, "{dead} engines died");
}

#[rstest]
#[case::no_workspace(&[], "{}", 400)]
#[case::unknown_workspace(&[("x-workspace", "nobody")], "{}", 403)]
#[case::body_is_no_json(&[("x-workspace", "kiosks")], "{", 400)]
#[case::bad_timeout(&[("x-workspace", "kiosks"), ("x-timeout-ms", "soon")], "{}", 400)]
#[case::bad_offset(&[("x-workspace", "kiosks"), ("last-event-id", "-1")], "{}", 400)]
fn bad_request_is_answered_with_its_place(
    #[case] headers: &[(&str, &str)],
    #[case] body: &str,
    #[case] status: u16,
) {
    let fleet = Fleet::start(&Plan {
        entries: 1,
        ..Plan::default()
    });
    let caller = fleet.entries[0].caller;
    let answer = fleet::call("POST", caller, "/v1/candle", headers, body).expect("an answer");
    assert_eq!(
        (answer.status, answer.verdict()),
        (status, "not-run"),
        "{}",
        answer.body
    );
    let fields: collections::BTreeMap<String, serde_json::Value> =
        serde_json::from_str(&answer.body).expect("JSON");
    assert!(fields.contains_key("message"));
}
