//! The ledger under store faults, races and pauses.

#[path = "harness/objects.rs"]
mod objects;

use std::collections;
use std::sync;
use std::time::Duration;

use guavausher_core::{ledger, name, store, time, verdict};
use proptest::prelude::*;
use proptest::test_runner;
use rstest::rstest;

const START: time::Time = time::Time::from_millis(1_000_000);

/// What the store does with one call.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    Served,
    LostReply,
    LostCall,
    Rejected,
}

/// An in-memory store that can lose calls and replies.
#[derive(Debug, Default)]
struct FakeStore(objects::ObjectStore);

impl FakeStore {
    fn serve(&mut self, call: &store::Call, outcome: Outcome) -> store::Reply {
        match outcome {
            Outcome::Served => self.0.apply(call),
            Outcome::LostReply => {
                self.0.apply(call);
                store::Reply::Failed(verdict::Verdict::MayHaveRun)
            }
            Outcome::LostCall => store::Reply::Failed(verdict::Verdict::MayHaveRun),
            Outcome::Rejected => store::Reply::Failed(verdict::Verdict::NotRun),
        }
    }
}

struct Entry {
    ledger: ledger::Ledger,
    calls: Vec<(u64, store::Call)>,
    replies: Vec<(u64, store::Reply)>,
    granted: collections::BTreeMap<u64, ledger::Operation>,
    answered: collections::BTreeMap<u64, ledger::StoredResponse>,
    denied: collections::BTreeMap<u64, ledger::Reason>,
    recorded: Vec<ledger::Operation>,
}

impl Entry {
    fn new(writer: u64) -> Self {
        Self {
            ledger: ledger::Ledger::new(writer),
            calls: Vec::new(),
            replies: Vec::new(),
            granted: collections::BTreeMap::new(),
            answered: collections::BTreeMap::new(),
            denied: collections::BTreeMap::new(),
            recorded: Vec::new(),
        }
    }

    fn reduce(&mut self, now: time::Time, input: ledger::Input) {
        for output in self.ledger.reduce(now, input) {
            match output {
                ledger::Output::Granted { request, operation } => {
                    assert_eq!(
                        self.granted.insert(request, operation),
                        None,
                        "granted twice"
                    );
                }
                ledger::Output::AlreadyRun { request, response } => {
                    self.answered.insert(request, response);
                }
                ledger::Output::Denied { request, reason } => {
                    assert!(
                        !self.granted.contains_key(&request),
                        "denied after the grant"
                    );
                    self.denied.insert(request, reason);
                }
                ledger::Output::Recorded { operation } => self.recorded.push(operation),
                ledger::Output::Call { partition, call } => self.calls.push((partition, call)),
            }
        }
    }

    fn run(&mut self, now: time::Time, store: &mut FakeStore, outcomes: &mut Vec<Outcome>) {
        while let Some((partition, call)) = self.calls.pop() {
            let reply = store.serve(&call, outcomes.pop().unwrap_or(Outcome::Served));
            self.reduce(now, ledger::Input::Reply { partition, reply });
        }
    }
}

fn claim(request: u64, key: &str) -> ledger::Claim {
    ledger::Claim {
        request,
        key: name::Name::from(key),
        fingerprint: 7,
        deadline: START.after(Duration::from_secs(30)),
        lookup: false,
        retryable: false,
    }
}

fn response(text: &str) -> ledger::StoredResponse {
    ledger::StoredResponse {
        status: 200,
        media: "text/plain".into(),
        body: Some(text.into()),
    }
}

#[rstest]
#[case::served(vec![], true)]
#[case::reply_to_write_lost(vec![Outcome::LostReply, Outcome::Served, Outcome::Served], true)]
#[case::write_lost(vec![Outcome::LostCall, Outcome::Served, Outcome::Served], true)]
#[case::list_refused(vec![Outcome::Rejected], false)]
#[case::read_refused(vec![Outcome::Rejected, Outcome::Served], false)]
#[case::write_refused(vec![Outcome::Rejected, Outcome::Served, Outcome::Served], false)]
#[case::reply_lost_then_outage(vec![Outcome::Rejected, Outcome::LostReply, Outcome::Served, Outcome::Served], false)]
fn claim_under_store_fault(#[case] mut outcomes: Vec<Outcome>, #[case] granted: bool) {
    let mut store = FakeStore::default();
    let mut entry = Entry::new(1);
    entry.reduce(START, ledger::Input::Claim(claim(1, "k")));
    entry.run(START, &mut store, &mut outcomes);
    assert_eq!(entry.granted.contains_key(&1), granted);
    assert_eq!(
        entry.denied.contains_key(&1),
        !granted,
        "every claim is decided at once"
    );
}

#[test]
fn claim_in_outage_is_released_after_it() {
    let mut store = FakeStore::default();
    let mut first = Entry::new(1);
    first.reduce(START, ledger::Input::Claim(claim(1, "k")));
    let mut outcomes = vec![
        Outcome::Rejected,
        Outcome::LostReply,
        Outcome::Served,
        Outcome::Served,
    ];
    first.run(START, &mut store, &mut outcomes);
    assert!(first.denied.contains_key(&1));

    let later = START.after(Duration::from_secs(6));
    first.reduce(later, ledger::Input::Tick);
    first.run(later, &mut store, &mut Vec::new());

    let mut second = Entry::new(2);
    second.reduce(later, ledger::Input::Claim(claim(2, "k")));
    second.run(later, &mut store, &mut Vec::new());
    assert!(
        second.granted.contains_key(&2),
        "a request that was reported as not run may be retried"
    );
}

#[rstest]
#[case::ended(Some(true))]
#[case::unclear(Some(false))]
#[case::still_running(None)]
fn claim_through_another_entry_does_not_run_again(#[case] end: Option<bool>) {
    let mut store = FakeStore::default();
    let mut first = Entry::new(1);
    first.reduce(START, ledger::Input::Claim(claim(1, "k")));
    first.run(START, &mut store, &mut Vec::new());
    let operation = first.granted[&1];
    match end {
        Some(true) => first.reduce(
            START,
            ledger::Input::Complete {
                operation,
                response: response("receipt"),
            },
        ),
        Some(false) => first.reduce(START, ledger::Input::Unclear { operation }),
        None => {}
    }
    first.run(START, &mut store, &mut Vec::new());

    let mut second = Entry::new(2);
    second.reduce(START, ledger::Input::Claim(claim(9, "k")));
    second.run(START, &mut store, &mut Vec::new());
    assert!(second.granted.is_empty());
    match end {
        Some(true) => assert_eq!(second.answered[&9], response("receipt")),
        Some(false) => assert_eq!(second.denied[&9], ledger::Reason::Unclear),
        None => assert!(matches!(second.denied[&9], ledger::Reason::Busy { .. })),
    }
}

/// 1000 claims a second during a store outage of one minute cause only occasional trial calls.
#[test]
fn claim_in_long_outage_makes_few_calls() {
    let mut entry = Entry::new(1);
    let mut calls = 0;
    for millis in 0..60_000 {
        let now = START.after(Duration::from_millis(millis));
        entry.reduce(
            now,
            ledger::Input::Claim(claim(millis, &format!("key-{millis}"))),
        );
        entry.reduce(now, ledger::Input::Tick);
        while let Some((partition, _)) = entry.calls.pop() {
            calls += 1;
            let reply = store::Reply::Failed(verdict::Verdict::NotRun);
            entry.reduce(now, ledger::Input::Reply { partition, reply });
        }
    }
    assert_eq!(entry.denied.len(), 60_000, "every claim is denied at once");
    assert!(calls <= 40, "{calls} calls");
}

#[test]
fn claim_written_after_its_deadline_is_not_granted() {
    let mut store = FakeStore::default();
    let mut paused = Entry::new(1);
    paused.reduce(START, ledger::Input::Claim(claim(1, "k")));
    while let Some((partition, call)) = paused.calls.pop() {
        let reply = store.serve(&call, Outcome::Served);
        let write = matches!(call, store::Call::Write { .. });
        let now = if write {
            START.after(Duration::from_secs(31))
        } else {
            START
        };
        paused.reduce(now, ledger::Input::Reply { partition, reply });
    }
    assert!(paused.granted.is_empty());
}

#[rstest]
#[case::answered(true)]
#[case::never_run(false)]
fn claim_lookup_does_not_claim(#[case] ran: bool) {
    let mut store = FakeStore::default();
    let mut first = Entry::new(1);
    if ran {
        first.reduce(START, ledger::Input::Claim(claim(1, "k")));
        first.run(START, &mut store, &mut Vec::new());
        let operation = first.granted[&1];
        first.reduce(
            START,
            ledger::Input::Complete {
                operation,
                response: response("receipt"),
            },
        );
        first.run(START, &mut store, &mut Vec::new());
    }
    let written = store.0.revision;
    let mut second = Entry::new(2);
    let lookup = ledger::Claim {
        lookup: true,
        ..claim(2, "k")
    };
    second.reduce(START, ledger::Input::Claim(lookup));
    second.run(START, &mut store, &mut Vec::new());
    assert_eq!(second.answered.contains_key(&2), ran);
    assert_eq!(
        second.denied.get(&2),
        (!ran).then_some(&ledger::Reason::NotFound)
    );
    assert_eq!(store.0.revision, written);
}

#[test]
fn claim_with_other_body_is_denied() {
    let mut store = FakeStore::default();
    let mut entry = Entry::new(1);
    entry.reduce(START, ledger::Input::Claim(claim(1, "k")));
    entry.run(START, &mut store, &mut Vec::new());
    let other = ledger::Claim {
        fingerprint: 8,
        ..claim(2, "k")
    };
    entry.reduce(START, ledger::Input::Claim(other));
    entry.run(START, &mut store, &mut Vec::new());
    assert_eq!(entry.denied[&2], ledger::Reason::Mismatch);
}

#[test]
fn claim_reads_all_sealed_segments() {
    let mut store = FakeStore::default();
    let mut first = Entry::new(1);
    for request in 0..300 {
        first.reduce(
            START,
            ledger::Input::Claim(claim(request, &format!("k{request}"))),
        );
        first.run(START, &mut store, &mut Vec::new());
        let operation = first.granted[&request];
        let response = response(&"x".repeat(ledger::MAX_RESPONSE_BYTES));
        first.reduce(
            START,
            ledger::Input::Complete {
                operation,
                response,
            },
        );
        first.run(START, &mut store, &mut Vec::new());
    }
    assert!(
        store
            .0
            .objects
            .values()
            .all(|o| o.body.len() < store::MAX_BODY_BYTES)
    );
    assert!(
        store.0.objects.len() > 64,
        "some partition has a second segment"
    );

    let mut second = Entry::new(2);
    for request in 0..300 {
        second.reduce(
            START,
            ledger::Input::Claim(claim(request, &format!("k{request}"))),
        );
        second.run(START, &mut store, &mut Vec::new());
    }
    assert_eq!(second.answered.len(), 300);
}

#[derive(Clone, Debug)]
enum Step {
    Claim { entry: usize, key: u8 },
    Serve { entry: usize, outcome: u8 },
    Deliver { entry: usize },
    Finish { entry: usize, end: u8 },
    Wait { millis: u16 },
    Restart { entry: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let entry = 0..3usize;
    prop_oneof![
        4 => (entry.clone(), 0..3u8).prop_map(|(entry, key)| Step::Claim { entry, key }),
        8 => (entry.clone(), 0..12u8).prop_map(|(entry, outcome)| Step::Serve { entry, outcome }),
        8 => entry.clone().prop_map(|entry| Step::Deliver { entry }),
        3 => (entry.clone(), 0..3u8).prop_map(|(entry, end)| Step::Finish { entry, end }),
        2 => (0..4_000u16).prop_map(|millis| Step::Wait { millis }),
        1 => entry.prop_map(|entry| Step::Restart { entry }),
    ]
}

fn outcome(number: u8) -> Outcome {
    match number {
        0 => Outcome::LostReply,
        1 => Outcome::LostCall,
        2 => Outcome::Rejected,
        _ => Outcome::Served,
    }
}

fn config() -> test_runner::Config {
    let cases = std::env::var("SOAK_CASES")
        .ok()
        .and_then(|c| c.parse().ok())
        .unwrap_or(400);
    let seed = std::env::var("SOAK_SEED")
        .ok()
        .and_then(|c| c.parse().ok())
        .unwrap_or(1);
    test_runner::Config {
        cases,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(seed),
        ..test_runner::Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// A key runs at most once, not counting claims that were released.
    #[test]
    fn reduce_grants_each_key_at_most_once(steps in prop::collection::vec(step(), 1..250)) {
        let mut store = FakeStore::default();
        let mut entries: Vec<Entry> = (1..=3).map(Entry::new).collect();
        let mut runs: collections::BTreeMap<u8, u32> = collections::BTreeMap::new();
        let mut keys = collections::BTreeMap::new();
        let mut now = START;
        let mut request = 0;
        let mut writer = 3;
        for step in steps {
            match step {
                Step::Claim { entry, key } => {
                    request += 1;
                    keys.insert(request, key);
                    let claim = ledger::Claim {
                        deadline: now.after(Duration::from_secs(20)),
                        ..claim(request, &format!("key-{key}"))
                    };
                    entries[entry].reduce(now, ledger::Input::Claim(claim));
                }
                Step::Serve { entry, outcome: number } => {
                    if let Some((partition, call)) = entries[entry].calls.pop() {
                        let reply = store.serve(&call, outcome(number));
                        entries[entry].replies.push((partition, reply));
                    }
                }
                Step::Deliver { entry } => {
                    if let Some((partition, reply)) = entries[entry].replies.pop() {
                        entries[entry].reduce(now, ledger::Input::Reply { partition, reply });
                    }
                }
                Step::Finish { entry, end } => {
                    let Some((request, operation)) = entries[entry].granted.pop_first() else {
                        continue;
                    };
                    let runs = runs.entry(keys[&request]).or_default();
                    let input = match end {
                        0 => ledger::Input::Release { operation },
                        1 => ledger::Input::Unclear { operation },
                        _ => ledger::Input::Complete { operation, response: response("done") },
                    };
                    *runs += u32::from(end != 0);
                    prop_assert!(*runs <= 1, "key {} ran {} times", keys[&request], runs);
                    entries[entry].reduce(now, input);
                }
                Step::Wait { millis } => {
                    now = now.after(Duration::from_millis(millis.into()));
                    entries.iter_mut().for_each(|e| e.reduce(now, ledger::Input::Tick));
                }
                Step::Restart { entry } => {
                    writer += 1;
                    let lost = std::mem::replace(&mut entries[entry], Entry::new(writer));
                    for request in lost.granted.keys() {
                        *runs.entry(keys[request]).or_default() += 1;
                    }
                }
            }
            for key in 0..3u8 {
                let open = entries.iter().flat_map(|e| e.granted.keys()).filter(|r| keys[r] == key);
                let total = open.count() as u32 + runs.get(&key).copied().unwrap_or(0);
                prop_assert!(total <= 1, "key {key} ran or runs {total} times");
            }
        }
    }
}

#[test]
fn fake_store_bodies_are_shared() {
    let body: sync::Arc<[u8]> = sync::Arc::from(&b"x"[..]);
    let mut store = FakeStore::default();
    let call = store::Call::Write {
        key: name::Name::from("a"),
        expected: None,
        body,
    };
    assert_eq!(
        store.serve(&call, Outcome::Served),
        store::Reply::Written(1)
    );
    assert_eq!(store.serve(&call, Outcome::Served), store::Reply::Conflict);
}
