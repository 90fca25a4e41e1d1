//! The reducer of an entry: verdicts, retries, orders, leaving upstreams, rollouts and stops.

mod harness;

use std::time::Duration;

use guavausher_core::{
    declaration, effect, event, fact, name, peering, refusal, rollout, routing, verdict,
};
use harness::{CANDLE, Harness, ObjectStore, VERSE};
use rstest::rstest;

const NOT_RUN: verdict::Verdict = verdict::Verdict::NotRun;
const MAY_HAVE_RUN: verdict::Verdict = verdict::Verdict::MayHaveRun;

fn leave(harness: &mut Harness, upstream: &name::Name) {
    let fact = fact::Fact::Leaving {
        upstream: upstream.clone(),
        incarnation: 1,
    };
    let expiry = harness.now.after(Duration::from_secs(60));
    harness.event(event::Event::Peer(peering::Input::Learn { fact, expiry }));
}

/// An entry with a tenth of the verses on trial at a second version.
fn canary() -> Harness {
    let mut declaration = harness::declaration();
    let engines = declaration.upstreams.iter_mut();
    engines
        .filter(|u| u.name.as_str() >= "verse-5")
        .for_each(|u| u.version = "v2".into());
    let mut harness = Harness::with_declaration(&declaration);
    let rollouts = harness::rollout(100, rollout::Phase::Canary);
    harness.publish(peering::Topic::Rollouts, 1, rollouts);
    harness
}

fn halt() -> fact::Fact {
    fact::Fact::Halted {
        service: "verse-scribe".into(),
        version: "v2".into(),
        generation: 1,
    }
}

#[rstest]
#[case::unknown_path("/v1/nothing", refusal::Code::NoRoute)]
fn arrive_refuses_unknown(#[case] path: &str, #[case] code: refusal::Code) {
    let mut harness = Harness::example();
    let id = harness.arrive(path, None);
    let refusals = harness.refusals(id);
    assert_eq!(refusals.len(), 1);
    assert_eq!((refusals[0].code, refusals[0].verdict), (code, NOT_RUN));
}

/// What a caller is told after the only upstreams tried have failed.
#[rstest]
#[case::read_not_run(VERSE, None, NOT_RUN, true)]
#[case::read_may_have_run(VERSE, None, MAY_HAVE_RUN, true)]
#[case::keyed_not_run(CANDLE, Some("k"), NOT_RUN, true)]
#[case::keyed_deduplicated_may_have_run(CANDLE, Some("k"), MAY_HAVE_RUN, true)]
#[case::unkeyed_not_run(CANDLE, None, NOT_RUN, false)]
#[case::unkeyed_may_have_run(CANDLE, None, MAY_HAVE_RUN, false)]
fn fail_retries_only_what_may_be_repeated(
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] verdict: verdict::Verdict,
    #[case] retried: bool,
) {
    let mut harness = Harness::example();
    let mut store = ObjectStore::default();
    let id = harness.arrive(path, key);
    harness.serve_ledger(&mut store);
    let first = harness.dispatches(id)[0].clone();
    harness.fail(&first, verdict, false);
    assert_eq!(harness.dispatches(id).len(), if retried { 2 } else { 1 });
    if retried {
        assert_ne!(harness.dispatches(id)[1].upstream, first.upstream);
    } else {
        assert_eq!(harness.refusals(id)[0].verdict, verdict);
    }
}

/// A service that does not deduplicate: an unclear end is final, for the caller and every resend.
#[test]
fn fail_unclear_order_is_never_sent_again() {
    let mut declaration = harness::declaration();
    declaration
        .services
        .iter_mut()
        .for_each(|s| s.deduplicates = false);
    let mut harness = Harness::with_declaration(&declaration);
    let mut store = ObjectStore::default();
    let id = harness.arrive(CANDLE, Some("k"));
    harness.serve_ledger(&mut store);
    let first = harness.dispatches(id)[0].clone();
    harness.fail(&first, MAY_HAVE_RUN, true);
    harness.serve_ledger(&mut store);
    assert_eq!(harness.refusals(id)[0].verdict, MAY_HAVE_RUN);
    assert_eq!(harness.dispatches(id).len(), 1);

    let again = harness.arrive(CANDLE, Some("k"));
    harness.serve_ledger(&mut store);
    assert!(harness.dispatches(again).is_empty());
    assert_eq!(harness.refusals(again)[0].code, refusal::Code::KeyUnclear);
}

#[test]
fn arrive_order_is_claimed_before_it_is_sent() {
    let mut harness = Harness::example();
    let id = harness.arrive(CANDLE, Some("k"));
    assert!(
        harness.dispatches(id).is_empty(),
        "nothing is sent before the claim is written"
    );
    harness.serve_ledger(&mut ObjectStore::default());
    assert_eq!(harness.dispatches(id).len(), 1);
}

#[rstest]
#[case::refused(NOT_RUN)]
#[case::unclear(MAY_HAVE_RUN)]
fn arrive_order_in_store_outage_is_refused_as_not_run(#[case] outage: verdict::Verdict) {
    let mut harness = Harness::example();
    let id = harness.arrive(CANDLE, Some("k"));
    harness.fail_ledger(outage);
    assert!(harness.dispatches(id).is_empty());
    let refusal = harness.refusals(id)[0];
    assert_eq!(
        (refusal.code, refusal.verdict),
        (refusal::Code::Unrecorded, NOT_RUN)
    );
    assert!(refusal.retry_at.is_some_and(|at| at > harness.now));

    let verse = harness.arrive(VERSE, None);
    assert_eq!(
        harness.dispatches(verse).len(),
        1,
        "what needs no agreement goes on"
    );
}

#[test]
fn finish_order_answers_once_recorded_or_after_a_short_wait() {
    let mut harness = Harness::example();
    let mut store = ObjectStore::default();
    let id = harness.arrive(CANDLE, Some("k"));
    harness.serve_ledger(&mut store);
    let dispatch = harness.dispatches(id)[0].clone();
    harness.finish(&dispatch);
    assert!(!harness.is_relayed(id));
    harness.advance(500);
    assert!(
        harness.is_relayed(id),
        "a slow store holds a paid answer back only for a moment"
    );
}

#[test]
fn deadline_of_order_keeps_the_run_and_records_its_end() {
    let mut harness = Harness::example();
    let mut store = ObjectStore::default();
    let id = harness.arrive(CANDLE, Some("k"));
    harness.serve_ledger(&mut store);
    let dispatch = harness.dispatches(id)[0].clone();
    harness.advance(6_000);
    assert_eq!(harness.refusals(id)[0].verdict, MAY_HAVE_RUN);
    harness.finish(&dispatch);
    harness.serve_ledger(&mut store);
    let again = harness.arrive(CANDLE, Some("k"));
    harness.serve_ledger(&mut store);
    let replayed = |e: &effect::Effect| matches!(e, effect::Effect::Replay { request, .. } if *request == again);
    assert!(
        harness.effects.iter().any(replayed),
        "the resend gets the late answer"
    );
    assert!(harness.dispatches(again).is_empty());
}

#[test]
fn fail_midway_resumes_at_the_offset() {
    let mut harness = Harness::example();
    let id = harness.arrive(VERSE, None);
    let first = harness.dispatches(id)[0].clone();
    harness.signal(&first, event::Signal::FirstToken);
    let failure = event::Failure {
        verdict: MAY_HAVE_RUN,
        crashed: true,
        offset: 4,
    };
    harness.signal(&first, event::Signal::Failed(failure));
    // The request is suspect now and waits for its turn alone.
    (0..20).for_each(|_| harness.advance(500));
    let second = &harness.dispatches(id)[1];
    assert_eq!(second.offset, 4);
    assert_ne!(second.upstream, first.upstream);
}

#[test]
fn learn_leaving_stops_new_work_and_keeps_the_old() {
    let mut harness = Harness::example();
    let id = harness.arrive(VERSE, None);
    let running = harness.dispatches(id)[0].clone();
    leave(&mut harness, &running.upstream);
    for _ in 0..50 {
        let id = harness.arrive(VERSE, None);
        let all = harness.dispatches(id);
        assert!(all.iter().all(|d| d.upstream != running.upstream));
    }
    assert!(harness.refusals(id).is_empty());
    harness.finish(&running);
    assert!(harness.is_relayed(id));
}

#[test]
fn learn_leaving_holds_over_a_flapping_list_and_a_new_configuration() {
    let mut harness = Harness::example();
    let upstream = name::Name::from("kiosk-1");
    leave(&mut harness, &upstream);
    let listed = r#"[{"name":"kiosk-1","address":"127.0.0.1:21101","domain":"altan-ulgii","kind":"upstream","leaving":false,"incarnation":1}]"#;
    harness.publish(peering::Topic::Members, 1, listed.into());
    harness.configure(2, &harness::declaration());
    let mut store = ObjectStore::default();
    for number in 0..30 {
        let id = harness.arrive(CANDLE, Some(&format!("k{number}")));
        harness.serve_ledger(&mut store);
        assert!(
            harness
                .dispatches(id)
                .iter()
                .all(|d| d.upstream != upstream)
        );
    }
}

#[test]
fn publish_older_configuration_is_refused() {
    let mut harness = Harness::example();
    let mut second = harness::declaration();
    second.routes.retain(|r| r.path != VERSE);
    harness.configure(2, &second);
    harness.configure(1, &harness::declaration());
    let id = harness.arrive(VERSE, None);
    assert_eq!(harness.refusals(id)[0].code, refusal::Code::NoRoute);
}

#[test]
fn publish_malformed_configuration_keeps_the_former() {
    let mut harness = Harness::example();
    harness.publish(peering::Topic::Config, 2, b"{".to_vec());
    let id = harness.arrive(VERSE, None);
    assert_eq!(harness.dispatches(id).len(), 1);
    let rejected = |e: &effect::Effect| matches!(e, effect::Effect::DocumentRejected { .. });
    assert!(harness.effects.iter().any(rejected));
}

#[test]
fn split_gives_the_canary_its_share_and_nothing_after_a_halt() {
    let mut harness = canary();
    let mut canaries = 0;
    for _ in 0..200 {
        let id = harness.arrive(VERSE, None);
        let dispatch = harness.dispatches(id)[0].clone();
        canaries += usize::from(dispatch.version.as_str() == "v2");
        harness.finish(&dispatch);
        harness.advance(50);
    }
    assert_eq!(canaries, 20, "one in ten of 200");

    let fact = halt();
    let expiry = harness.now.after(Duration::from_secs(60));
    harness.event(event::Event::Peer(peering::Input::Learn { fact, expiry }));
    for _ in 0..50 {
        let id = harness.arrive(VERSE, None);
        assert_eq!(harness.dispatches(id)[0].version.as_str(), "v1");
        harness.advance(50);
    }
}

/// Faults that show only under load show early, since one canary is filled before the next.
#[test]
fn split_fills_canaries_one_after_the_other() {
    let mut harness = canary();
    let ids: Vec<u64> = (0..100).map(|_| harness.arrive(VERSE, None)).collect();
    let all = ids.iter().flat_map(|id| harness.dispatches(*id));
    let canaries: Vec<_> = all.filter(|d| d.version.as_str() == "v2").collect();
    assert!(canaries.len() >= 8);
    let first = &canaries[0].upstream;
    assert!(
        canaries.iter().all(|d| d.upstream == *first),
        "{canaries:?}"
    );
}

#[test]
fn fail_at_a_version_on_trial_goes_on_at_the_one_that_serves() {
    let mut harness = canary();
    let ids: Vec<u64> = (0..10).map(|_| harness.arrive(VERSE, None)).collect();
    let all = ids.iter().flat_map(|id| harness.dispatches(*id));
    let tried = all.filter(|d| d.version.as_str() == "v2").last();
    let tried = tried.expect("one of ten is on trial");
    harness.fail(&tried, MAY_HAVE_RUN, false);
    let again = harness.dispatches(tried.request);
    assert_eq!(again.len(), 2);
    assert_eq!(again[1].version.as_str(), "v1");
}

#[test]
fn monitor_halts_a_failing_version_without_the_store() {
    let mut harness = canary();
    let mut bad = 0;
    for _ in 0..600 {
        let id = harness.arrive(VERSE, None);
        let dispatch = harness.dispatches(id)[0].clone();
        if dispatch.version.as_str() == "v2" {
            bad += 1;
            harness.fail(&dispatch, MAY_HAVE_RUN, false);
            let again = harness.dispatches(id).pop().unwrap();
            harness.finish(&again);
        } else {
            harness.signal(&dispatch, event::Signal::FirstToken);
            harness.finish(&dispatch);
        }
        harness.advance(50);
    }
    let halted = harness
        .effects
        .iter()
        .any(|e| matches!(e, effect::Effect::Send { .. }));
    assert!(
        bad < 40,
        "the bad version got {bad} requests; peers told: {halted}"
    );
    let fact = halt();
    assert!(harness.state.peering.knows(&fact));
}

#[test]
fn stop_finishes_streams_and_refuses_new_requests() {
    let mut harness = Harness::example();
    let id = harness.arrive(VERSE, None);
    let dispatch = harness.dispatches(id)[0].clone();
    harness.signal(&dispatch, event::Signal::FirstToken);
    let deadline = harness.now.after(Duration::from_secs(30));
    harness.event(event::Event::Stop { deadline });
    assert_eq!(harness.state.unready_reason(), Some("stopping"));
    let early = harness.arrive(VERSE, None);
    assert_eq!(
        harness.dispatches(early).len(),
        1,
        "the balancer does not know yet"
    );
    harness.advance(4_000);
    let late = harness.arrive(VERSE, None);
    assert_eq!(harness.refusals(late)[0].code, refusal::Code::Stopping);
    assert!(
        !harness
            .effects
            .iter()
            .any(|e| matches!(e, effect::Effect::Stopped))
    );
    let second = harness.dispatches(early)[0].clone();
    harness.finish(&second);
    harness.finish(&dispatch);
    assert!(harness.is_relayed(id) && harness.is_relayed(early));
    assert!(
        harness
            .effects
            .iter()
            .any(|e| matches!(e, effect::Effect::Stopped))
    );
}

#[test]
fn stop_at_its_end_tells_open_streams_to_reconnect() {
    let mut harness = Harness::example();
    let id = harness.arrive(VERSE, None);
    let dispatch = harness.dispatches(id)[0].clone();
    harness.signal(&dispatch, event::Signal::FirstToken);
    let deadline = harness.now.after(Duration::from_secs(10));
    harness.event(event::Event::Stop { deadline });
    harness.advance(8_000);
    let refusal = harness.refusals(id)[0];
    assert_eq!(
        (refusal.code, refusal.verdict),
        (refusal::Code::Stopping, MAY_HAVE_RUN)
    );
}

/// The turn of a suspect ends where its upstream cannot be reached, and it gets another one.
#[test]
fn fail_of_suspect_in_its_turn_gives_it_another() {
    let mut harness = Harness::example();
    let id = harness.arrive(VERSE, None);
    let first = harness.dispatches(id)[0].clone();
    harness.signal(&first, event::Signal::FirstToken);
    let failure = event::Failure {
        verdict: MAY_HAVE_RUN,
        crashed: true,
        offset: 4,
    };
    harness.signal(&first, event::Signal::Failed(failure));
    (0..20).for_each(|_| harness.advance(100));
    let second = harness.dispatches(id)[1].clone();
    harness.fail(&second, NOT_RUN, false);
    (0..40).for_each(|_| harness.advance(100));
    assert_eq!(harness.dispatches(id).len(), 3);
}

/// A crasher among innocents: two upstreams at most, the final answer at once, nobody else lost.
#[test]
fn died_twice_blocks_the_crasher_and_frees_the_innocent() {
    let mut harness = Harness::example();
    let crasher = harness.arrive_with(VERSE, None, 666);
    let innocents: Vec<u64> = (0..50)
        .map(|n| harness.arrive_with(VERSE, None, 1_000 + n))
        .collect();
    let mut dead: Vec<name::Name> = Vec::new();
    for _ in 0..4_000 {
        let open: Vec<_> = std::iter::once(crasher)
            .chain(innocents.iter().copied())
            .filter(|id| !harness.is_relayed(*id) && harness.refusals(*id).is_empty())
            .filter_map(|id| harness.dispatches(id).pop())
            .filter(|d| harness.state.attempts.contains_key(&d.attempt))
            .collect();
        if open.is_empty() && harness.state.active_requests.is_empty() {
            break;
        }
        let crash = open
            .iter()
            .find(|d| d.request == crasher)
            .map(|d| d.upstream.clone());
        for dispatch in open {
            if crash.as_ref() == Some(&dispatch.upstream) {
                harness.fail(&dispatch, MAY_HAVE_RUN, true);
            } else {
                harness.finish(&dispatch);
            }
        }
        dead.extend(crash);
        harness.advance(100);
    }
    assert!(dead.len() <= 2, "the crasher reached {dead:?}");
    assert_eq!(harness.refusals(crasher).len(), 1);
    let lost = innocents
        .iter()
        .filter(|id| !harness.is_relayed(**id))
        .count();
    assert_eq!(lost, 0, "innocents lost or blocked");
    let again = harness.arrive_with(VERSE, None, 666);
    assert_eq!(harness.refusals(again)[0].code, refusal::Code::Blocked);
    assert!(harness.dispatches(again).is_empty());
}

/// Requests wait while every slot is taken, and go on once a report shows a free one.
#[test]
fn report_of_free_slots_lets_waiting_requests_go() {
    let mut declaration = harness::declaration();
    let keep = |u: &declaration::Upstream| {
        u.service.as_str() != "verse-scribe" || u.name.as_str() == "verse-1"
    };
    declaration.upstreams.retain(keep);
    let mut harness = Harness::with_declaration(&declaration);
    let load = |harness: &Harness, running: u32| event::Event::Load {
        upstream: name::Name::from("verse-1"),
        load: routing::Load {
            incarnation: 1,
            queue: 0,
            running,
            slots: 16,
            at: harness.now,
        },
    };
    let full = load(&harness, 16);
    harness.event(full);
    let ids: Vec<u64> = (0..4).map(|_| harness.arrive(VERSE, None)).collect();
    let sent = |harness: &Harness| {
        ids.iter()
            .filter(|id| !harness.dispatches(**id).is_empty())
            .count()
    };
    let before = sent(&harness);
    assert!(before < 4, "the report left room for {before}");
    harness.advance(200);
    let free = load(&harness, 0);
    harness.event(free);
    harness.advance(200);
    assert_eq!(sent(&harness), 4);
}

/// Status writes of a fleet after one change are spread by its size.
#[rstest]
#[case::today(9, 90)]
#[case::two_years(380, 3_800)]
fn plan_spreads_status_writes_by_fleet(#[case] entries: u32, #[case] millis: u64) {
    let mut harness = Harness::example();
    let list: Vec<_> = (0..entries)
        .map(|n| format!(r#"{{"name":"entry-{n}","address":"127.0.0.1:1","domain":"altan-ulgii","kind":"entry","incarnation":1}}"#))
        .collect();
    harness.publish(
        peering::Topic::Members,
        1,
        format!("[{}]", list.join(",")).into_bytes(),
    );
    harness.advance(20_000);
    let mut latest = 0;
    for seed in 0..200 {
        harness.state.status.pending = false;
        harness.state.deferred_calls.clear();
        harness.now = harness.now.after(Duration::from_micros(997 + seed));
        harness.configure(2 + seed, &harness::declaration());
        let status = guavausher_core::state::Purpose::Status;
        let planned = harness
            .state
            .deferred_calls
            .iter()
            .find(|(_, all)| all.contains(&status));
        let at = *planned.expect("a write is planned").0;
        latest = latest.max(harness.now.until(at).as_millis() as u64);
    }
    assert!(latest <= millis && latest > millis / 2, "{latest} ms");
}
