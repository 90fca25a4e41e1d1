//! Quarantine: suspect requests run in isolation, a request that crashes upstreams is blocked
//! after two of them, and harmless requests all complete.

use std::collections;
use std::time::Duration;

use guavausher_core::fact;
use guavausher_core::name;
use guavausher_core::poison;
use guavausher_core::time;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng, rngs};
use rstest::rstest;

const CRASHING_BODY: u64 = 666;
const MAX_RUN_MILLIS: u64 = 300;
const CRASH_DELAY_MILLIS: u64 = 40;
const MAX_FACT_DELAY_MILLIS: u64 = 60;
const MESSAGE_DELAY_MILLIS: u64 = 25;

#[derive(Clone, Debug)]
enum Event {
    Arrive {
        entry: usize,
        request: u64,
    },
    Finish {
        request: u64,
        run: u64,
    },
    Crash {
        upstream: usize,
    },
    Fact {
        entry: usize,
        fact: fact::Fact,
    },
    Message {
        from: usize,
        entry: usize,
        message: poison::Message,
    },
    Tick {
        entry: usize,
    },
}

#[derive(Clone, Debug)]
struct Running {
    entry: usize,
    upstream: usize,
    run: u64,
}

/// Simulates entries that share upstreams and resubmit the requests lost in a crash.
struct Simulation {
    now: u64,
    sequence: u64,
    events: collections::BTreeMap<(u64, u64), Event>,
    entries: Vec<poison::Quarantine>,
    bodies: collections::BTreeMap<u64, u64>,
    entry_of: collections::BTreeMap<u64, usize>,
    running: collections::BTreeMap<u64, Running>,
    incarnations: Vec<u64>,
    crashed: collections::BTreeSet<String>,
    finished: collections::BTreeSet<u64>,
    blocked: collections::BTreeSet<u64>,
    refused: collections::BTreeSet<u64>,
    tries: collections::BTreeMap<u64, u32>,
    random: rngs::SmallRng,
    failed_entry: Option<usize>,
}

fn entry_name(index: usize) -> name::Name {
    name::Name::from(format!("entry-{index}"))
}

impl Simulation {
    fn new(entries: usize, upstreams: usize, seed: u64) -> Self {
        let names: Vec<_> = (0..entries).map(entry_name).collect();
        let quarantine = |name: &name::Name| {
            let mut quarantine = poison::Quarantine::new(name.clone());
            quarantine.set_members(&names);
            quarantine
        };
        Self {
            now: 1_000,
            sequence: 0,
            events: collections::BTreeMap::new(),
            entries: names.iter().map(quarantine).collect(),
            bodies: collections::BTreeMap::new(),
            entry_of: collections::BTreeMap::new(),
            running: collections::BTreeMap::new(),
            incarnations: vec![1; upstreams],
            crashed: collections::BTreeSet::new(),
            finished: collections::BTreeSet::new(),
            blocked: collections::BTreeSet::new(),
            refused: collections::BTreeSet::new(),
            tries: collections::BTreeMap::new(),
            random: rngs::SmallRng::seed_from_u64(seed),
            failed_entry: None,
        }
    }

    fn send(&mut self, delay: u64, entry: usize, body: u64) -> u64 {
        let request = self.bodies.len() as u64;
        self.bodies.insert(request, body);
        self.entry_of.insert(request, entry);
        self.push(delay, Event::Arrive { entry, request });
        request
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some(((at, sequence), event)) = self.events.pop_first() {
            if at > end {
                self.events.insert((at, sequence), event);
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn time(&self) -> time::Time {
        time::Time::from_millis(self.now)
    }

    fn handle(&mut self, event: Event) {
        let now = self.time();
        if let Event::Fact { entry, .. } | Event::Message { entry, .. } | Event::Tick { entry } =
            event
            && self.failed_entry == Some(entry)
        {
            return;
        }
        match event {
            Event::Arrive { entry, request } => self.admit(entry, request),
            Event::Finish { request, run } => {
                let current = self.running.get(&request).map(|running| running.run);
                if current == Some(run) {
                    let entry = self.entry_of[&request];
                    self.running.remove(&request);
                    self.finished.insert(request);
                    let effects = self.entries[entry].finished(now, request);
                    self.apply(entry, effects);
                }
            }
            Event::Crash { upstream } => self.crash(upstream),
            Event::Fact { entry, fact } => {
                let effects = self.entries[entry].apply_fact(now, &fact);
                self.apply(entry, effects);
            }
            Event::Message {
                from,
                entry,
                message,
            } => {
                let effects = self.entries[entry].receive(now, &entry_name(from), message);
                self.apply(entry, effects);
            }
            Event::Tick { entry } => {
                let effects = self.entries[entry].tick(now);
                self.apply(entry, effects);
            }
        }
    }

    fn admit(&mut self, entry: usize, request: u64) {
        let now = self.time();
        let admission = self.entries[entry].admit(now, self.bodies[&request], request);
        match admission.decision {
            poison::Decision::Allowed | poison::Decision::Isolated => self.dispatch(entry, request),
            poison::Decision::Wait => {}
            poison::Decision::Blocked => drop(self.blocked.insert(request)),
            poison::Decision::Full => drop(self.refused.insert(request)),
        }
        self.apply(entry, admission.effects);
    }

    fn apply(&mut self, entry: usize, effects: Vec<poison::Effect>) {
        for effect in effects {
            match effect {
                poison::Effect::Broadcast(fact) => {
                    for other in (0..self.entries.len()).filter(|other| *other != entry) {
                        let delay = self.random.random_range(5..=MAX_FACT_DELAY_MILLIS);
                        let fact = fact.clone();
                        self.push(delay, Event::Fact { entry: other, fact });
                    }
                }
                poison::Effect::Send { to, message } => {
                    let to = (0..self.entries.len()).find(|index| entry_name(*index) == to);
                    let message = Event::Message {
                        from: entry,
                        entry: to.unwrap(),
                        message,
                    };
                    self.push(MESSAGE_DELAY_MILLIS, message);
                }
                poison::Effect::Start(request) | poison::Effect::StartIsolated(request) => {
                    self.dispatch(entry, request);
                }
                poison::Effect::Block(request) => drop(self.blocked.insert(request)),
                poison::Effect::Refuse(request) => drop(self.refused.insert(request)),
            }
        }
        let wake = self.entries[entry].wake();
        if wake < time::Time::MAX {
            let delay = self.time().until(wake).as_millis() as u64;
            self.push(delay.max(1), Event::Tick { entry });
        }
    }

    fn dispatch(&mut self, entry: usize, request: u64) {
        let upstream = self.random.random_range(0..self.incarnations.len());
        self.sequence += 1;
        let run = self.sequence;
        *self.tries.entry(request).or_default() += 1;
        self.running.insert(
            request,
            Running {
                entry,
                upstream,
                run,
            },
        );
        if self.bodies[&request] == CRASHING_BODY {
            self.push(CRASH_DELAY_MILLIS, Event::Crash { upstream });
        } else {
            let length = self.random.random_range(1..=MAX_RUN_MILLIS);
            self.push(length, Event::Finish { request, run });
        }
    }

    fn crash(&mut self, upstream: usize) {
        let now = self.time();
        let affected_by = |(request, running): (&u64, &Running)| {
            (running.upstream == upstream).then_some((*request, running.entry))
        };
        let mut affected: Vec<_> = self.running.iter().filter_map(affected_by).collect();
        if !affected
            .iter()
            .any(|(request, _)| self.bodies[request] == CRASHING_BODY)
        {
            return;
        }
        let name = format!("engine-{upstream}.{}", self.incarnations[upstream]);
        self.incarnations[upstream] += 1;
        self.crashed.insert(name.clone());
        let name = name::Name::from(name);
        // The entries observe the ends of their requests in random order.
        affected.shuffle(&mut self.random);
        for (request, entry) in affected {
            self.running.remove(&request);
            let body = self.bodies[&request];
            let effects = self.entries[entry].upstream_crashed(now, body, request, &name);
            self.apply(entry, effects);
            self.push(1, Event::Arrive { entry, request });
        }
    }
}

#[rstest]
#[case::nine_entries(9, 10)]
#[case::nine_entries_three_upstreams(9, 3)]
#[case::many_entries(60, 20)]
fn admit_limits_crashing_request_to_two_upstreams(
    #[case] entries: usize,
    #[case] upstreams: usize,
) {
    for seed in 0..40 {
        let mut simulation = Simulation::new(entries, upstreams, seed);
        let harmless: Vec<_> = (0..50)
            .map(|index| simulation.send(index % 20, index as usize % entries, 1_000 + index))
            .collect();
        let first = simulation.send(20, 0, CRASHING_BODY);
        // The caller resubmits it through every entry once each may know of the first crash.
        let mut resubmitted: Vec<_> = (0..entries)
            .map(|entry| {
                simulation.send(
                    20 + CRASH_DELAY_MILLIS + MAX_FACT_DELAY_MILLIS + 1,
                    entry,
                    CRASHING_BODY,
                )
            })
            .collect();
        simulation.run(10_000);
        resubmitted.extend((0..entries).map(|entry| simulation.send(0, entry, CRASHING_BODY)));
        simulation.run(60_000);
        assert!(
            simulation.crashed.len() <= 2,
            "seed {seed}: {:?}",
            simulation.crashed
        );
        for request in harmless {
            assert!(
                simulation.finished.contains(&request),
                "seed {seed}: {request}"
            );
        }
        resubmitted.push(first);
        for request in resubmitted {
            assert!(
                simulation.blocked.contains(&request),
                "seed {seed}: {request}"
            );
        }
        assert!(simulation.refused.is_empty(), "seed {seed}");
    }
}

#[test]
fn admit_survives_failed_entry() {
    for failed in 0..9 {
        let mut simulation = Simulation::new(9, 10, failed);
        let failed = failed as usize;
        simulation.failed_entry = Some(failed);
        let healthy = move |index: usize| (failed + 1 + index % 8) % 9;
        let harmless: Vec<_> = (0..50)
            .map(|index| simulation.send(index % 20, healthy(index as usize), 1_000 + index))
            .collect();
        simulation.send(20, healthy(0), CRASHING_BODY);
        simulation.run(30_000);
        assert!(
            simulation.crashed.len() <= 2,
            "{failed}: {:?}",
            simulation.crashed
        );
        let lost = harmless
            .iter()
            .filter(|id| !simulation.finished.contains(id));
        assert_eq!(lost.count(), 0, "{failed}");
    }
}

#[test]
fn admit_blocks_two_concurrent_copies() {
    for seed in 0..40 {
        let mut simulation = Simulation::new(9, 10, seed);
        let requests = [
            simulation.send(0, 0, CRASHING_BODY),
            simulation.send(10, 1, CRASHING_BODY),
        ];
        simulation.run(30_000);
        assert!(
            simulation.crashed.len() <= 2,
            "seed {seed}: {:?}",
            simulation.crashed
        );
        assert!(
            requests
                .iter()
                .all(|request| simulation.blocked.contains(request))
        );
    }
}

/// All four copies run before the first of them has crashed its upstream.
#[test]
fn crasher_sent_four_times_before_its_first_crash_reaches_two_upstreams() {
    for seed in 0..40 {
        let mut simulation = Simulation::new(9, 10, seed);
        for entry in 0..4 {
            simulation.send(entry as u64 * 5, entry, CRASHING_BODY);
        }
        simulation.run(30_000);
        assert!(
            simulation.crashed.len() <= 2,
            "seed {seed}: {:?}",
            simulation.crashed
        );
    }
}

#[test]
fn admit_completes_repeated_harmless_request() {
    for seed in 0..40 {
        let mut simulation = Simulation::new(9, 10, seed);
        let repeated: Vec<_> = (0..60)
            .map(|index| simulation.send(index * 5, index as usize % 9, 1_000))
            .collect();
        simulation.send(20, 0, CRASHING_BODY);
        simulation.run(60_000);
        for request in repeated {
            assert!(
                simulation.finished.contains(&request),
                "seed {seed}: {request}"
            );
        }
    }
}

fn at(millis: u64) -> time::Time {
    time::Time::from_millis(millis)
}

fn engine(index: u64) -> name::Name {
    name::Name::from(format!("engine-{index}.1"))
}

#[test]
fn upstream_crashed_counts_one_crash_once() {
    let mut quarantine = poison::Quarantine::new(entry_name(0));
    for request in 0..5 {
        quarantine.upstream_crashed(at(10), 7, request, &engine(1));
    }
    assert_eq!(
        quarantine.admit(at(5_000), 7, 9).decision,
        poison::Decision::Isolated
    );
}

#[test]
fn finished_clears_suspect() {
    let mut quarantine = poison::Quarantine::new(entry_name(0));
    quarantine.upstream_crashed(at(10), 7, 0, &engine(1));
    assert_eq!(
        quarantine.admit(at(1_000), 7, 1).decision,
        poison::Decision::Isolated
    );
    assert_eq!(
        quarantine.admit(at(1_000), 7, 2).decision,
        poison::Decision::Wait
    );
    let effects = quarantine.finished(at(1_100), 1);
    assert!(effects.contains(&poison::Effect::Start(2)));
    assert_eq!(
        quarantine.admit(at(1_200), 7, 3).decision,
        poison::Decision::Allowed
    );
}

#[test]
fn released_starts_next_run() {
    let mut quarantine = poison::Quarantine::new(entry_name(0));
    quarantine.upstream_crashed(at(10), 7, 0, &engine(1));
    quarantine.upstream_crashed(at(10), 8, 0, &engine(1));
    assert_eq!(
        quarantine.admit(at(1_000), 7, 1).decision,
        poison::Decision::Isolated
    );
    assert_eq!(
        quarantine.admit(at(1_000), 8, 2).decision,
        poison::Decision::Wait
    );
    let effects = quarantine.released(at(1_100), 1);
    assert!(effects.contains(&poison::Effect::StartIsolated(2)));
}

#[test]
fn admit_refuses_above_limit() {
    let mut quarantine = poison::Quarantine::new(entry_name(0));
    quarantine.upstream_crashed(at(10), 7, 0, &engine(1));
    let decisions: Vec<_> = (1..=600)
        .map(|request| quarantine.admit(at(20), 7, request).decision)
        .collect();
    assert_eq!(
        decisions
            .iter()
            .filter(|decision| **decision == poison::Decision::Wait)
            .count(),
        512
    );
    assert_eq!(decisions.last(), Some(&poison::Decision::Full));
}

#[test]
fn admit_allows_after_expiry() {
    let mut quarantine = poison::Quarantine::new(entry_name(0));
    quarantine.upstream_crashed(at(10), 7, 0, &engine(1));
    let fact = fact::Fact::Suspect {
        fingerprint: 7,
        upstream: engine(1),
    };
    let expiry = poison::expiry(at(10), &fact);
    assert_eq!(
        quarantine.admit(expiry, 7, 1).decision,
        poison::Decision::Allowed
    );
}

#[test]
fn tick_repeats_lost_grant() {
    let names = [entry_name(0), entry_name(1)];
    let mut quarantines = names.clone().map(poison::Quarantine::new);
    for quarantine in &mut quarantines {
        quarantine.set_members(&names);
        quarantine.upstream_crashed(at(10), 7, 0, &engine(1));
    }
    // One of the two grants the runs; the other one requests them.
    let admissions = [0, 1].map(|index| quarantines[index].admit(at(1_000), 7, 5).decision);
    let requester = usize::from(admissions[1] == poison::Decision::Wait);
    let coordinator = 1 - requester;
    quarantines[coordinator].released(at(1_010), 5);
    let mut started = Vec::new();
    for millis in [2_000, 3_100] {
        let asked = quarantines[requester].tick(at(millis));
        let messages: Vec<_> = asked.into_iter().filter_map(message).collect();
        let granted: Vec<_> = messages
            .into_iter()
            .flat_map(|message| {
                quarantines[coordinator].receive(at(millis), &names[requester], message)
            })
            .collect();
        // The first grant is lost.
        if millis > 3_000 {
            for message in granted.into_iter().filter_map(message) {
                started.extend(quarantines[requester].receive(
                    at(millis),
                    &names[coordinator],
                    message,
                ));
            }
        }
    }
    assert!(started.contains(&poison::Effect::StartIsolated(5)));
}

fn message(effect: poison::Effect) -> Option<poison::Message> {
    match effect {
        poison::Effect::Send { message, .. } => Some(message),
        _ => None,
    }
}

#[test]
fn upstream_crashed_bounds_memory() {
    let mut quarantine = poison::Quarantine::new(entry_name(0));
    let start = at(1_000);
    for fingerprint in 0..10_000 {
        let now = start.after(Duration::from_micros(fingerprint));
        quarantine.upstream_crashed(now, fingerprint, 0, &engine(fingerprint));
    }
    // The oldest fingerprints were evicted; the newest are still suspect.
    let later = start.after(Duration::from_secs(1));
    assert_eq!(
        quarantine.admit(later, 0, 1).decision,
        poison::Decision::Allowed
    );
    assert_ne!(
        quarantine.admit(later, 9_999, 2).decision,
        poison::Decision::Allowed
    );
}

fn blocked(fingerprint: u64, upstream: u64) -> fact::Fact {
    fact::Fact::Blocked {
        fingerprint,
        upstream: engine(upstream),
    }
}

#[test]
fn admit_blocks_after_isolated_crash() {
    let mut quarantine = poison::Quarantine::new(entry_name(0));
    quarantine.upstream_crashed(at(10), 7, 0, &engine(1));
    assert_eq!(
        quarantine.admit(at(1_000), 7, 1).decision,
        poison::Decision::Isolated
    );
    let effects = quarantine.upstream_crashed(at(1_010), 7, 1, &engine(2));
    assert!(effects.contains(&poison::Effect::Broadcast(blocked(7, 2))));
    assert_eq!(
        quarantine.admit(at(1_010), 7, 2).decision,
        poison::Decision::Blocked
    );
}

#[rstest]
#[case::explained(Some(blocked(8, 2)), poison::Decision::Isolated)]
#[case::explained_first_crash(Some(blocked(8, 1)), poison::Decision::Isolated)]
#[case::other_cause(Some(blocked(8, 3)), poison::Decision::Blocked)]
#[case::unexplained(None, poison::Decision::Blocked)]
fn tick_awaits_another_cause(#[case] learned: Option<fact::Fact>, #[case] want: poison::Decision) {
    let mut quarantine = poison::Quarantine::new(entry_name(0));
    // Two copies of one body are running beside other requests when their upstreams crash.
    quarantine.upstream_crashed(at(10), 7, 0, &engine(1));
    quarantine.upstream_crashed(at(20), 7, 1, &engine(2));
    assert_eq!(
        quarantine.admit(at(30), 7, 2).decision,
        poison::Decision::Wait
    );
    if let Some(fact) = learned {
        quarantine.apply_fact(at(40), &fact);
    }
    quarantine.released(at(50), 2);
    quarantine.tick(at(1_500));
    assert_eq!(quarantine.admit(at(1_500), 7, 3).decision, want);
}

#[test]
fn upstream_crashed_ignores_explained_crash() {
    let mut quarantine = poison::Quarantine::new(entry_name(0));
    quarantine.apply_fact(at(10), &blocked(8, 2));
    assert!(
        quarantine
            .upstream_crashed(at(20), 7, 0, &engine(2))
            .is_empty()
    );
    assert_eq!(
        quarantine.admit(at(30), 7, 1).decision,
        poison::Decision::Allowed
    );
}
