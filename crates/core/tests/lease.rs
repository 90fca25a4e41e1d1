//! Leases against an in-memory store, with pauses, races and lost replies.

use std::time::Duration;

use guavausher_core::lease;
use guavausher_core::name;
use guavausher_core::peering;
use guavausher_core::store;
use guavausher_core::time;
use guavausher_core::verdict;
use proptest::prelude::*;
use rstest::rstest;

const SHARD: u64 = 0;
const STEP: Duration = Duration::from_millis(250);
const UNKNOWN: store::Reply = store::Reply::Failed(verdict::Verdict::MayHaveRun);
const NOT_RUN: store::Reply = store::Reply::Failed(verdict::Verdict::NotRun);

/// What the store does with a call.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    /// Runs and gets its reply.
    Served,
    /// Runs; the reply is lost.
    LostReply,
    /// Fails with an unknown outcome and runs this many steps later.
    Late(u8),
    /// Fails with an unknown outcome and never runs.
    Dropped,
    /// Is rejected without running.
    Rejected,
    /// Runs; the reply arrives this many steps later.
    Slow(u8),
}

#[derive(Default)]
struct Store {
    version: u64,
    body: Option<std::sync::Arc<[u8]>>,
}

impl Store {
    fn run(&mut self, call: &store::Call) -> store::Reply {
        match call {
            store::Call::Read { .. } => match &self.body {
                None => store::Reply::Missing,
                Some(body) => store::Reply::Found(store::Object {
                    version: self.version,
                    body: body.clone(),
                }),
            },
            store::Call::Write { expected, body, .. } => {
                if *expected != self.body.as_ref().map(|_| self.version) {
                    return store::Reply::Conflict;
                }
                self.version += 1;
                self.body = Some(body.clone());
                store::Reply::Written(self.version)
            }
            other => panic!("a lease does not make this call: {other:?}"),
        }
    }
}

struct Simulation {
    now: time::Time,
    store: Store,
    leases: Vec<lease::Lease>,
    paused: Vec<bool>,
    late: Vec<(u8, store::Call)>,
    slow: Vec<(u8, usize, store::Reply)>,
    tenures: Vec<(usize, u64)>,
    lost: usize,
}

impl Simulation {
    fn new(count: u64) -> Self {
        let owner = |i| name::Name::from(format!("entry-{i}"));
        Self {
            now: time::Time::from_millis(1_000),
            store: Store::default(),
            leases: (0..count)
                .map(|i| lease::Lease::new(SHARD, owner(i), 100 + i))
                .collect(),
            paused: vec![false; usize::try_from(count).unwrap()],
            late: Vec::new(),
            slow: Vec::new(),
            tenures: Vec::new(),
            lost: 0,
        }
    }

    /// Advances the time by [`STEP`], delivers what is due and ticks every running controller;
    /// `outcome` chooses what the store does with each call.
    fn step(&mut self, mut outcome: impl FnMut(usize, &store::Call) -> Outcome) {
        self.now = self.now.after(STEP);
        for (left, _) in &mut self.late {
            *left = left.saturating_sub(1);
        }
        let due: Vec<_> = self.late.extract_if(.., |(left, _)| *left == 0).collect();
        for (_, call) in due {
            self.store.run(&call);
        }
        for (left, _, _) in &mut self.slow {
            *left = left.saturating_sub(1);
        }
        let paused = self.paused.clone();
        let is_due = |left: u8, index: usize| left == 0 && !paused[index];
        let due: Vec<_> = self
            .slow
            .extract_if(.., |(left, i, _)| is_due(*left, *i))
            .collect();
        for (_, index, reply) in due {
            let outputs = self.leases[index].handle_reply(self.now, &reply);
            self.apply(index, outputs, &mut outcome);
        }
        for index in 0..self.leases.len() {
            if !self.paused[index] {
                let outputs = self.leases[index].tick(self.now, Some(index));
                self.apply(index, outputs, &mut outcome);
            }
        }
        self.check();
    }

    fn apply(
        &mut self,
        index: usize,
        outputs: Vec<lease::Output>,
        outcome: &mut impl FnMut(usize, &store::Call) -> Outcome,
    ) {
        for output in outputs {
            match output {
                lease::Output::Acquired { fencing_token } => {
                    self.tenures.push((index, fencing_token));
                }
                lease::Output::Lost => self.lost += 1,
                lease::Output::Call(call) => {
                    let chosen = outcome(index, &call);
                    let reply = self.call(&call, chosen);
                    if let Outcome::Slow(steps) = chosen {
                        self.slow.push((steps, index, reply));
                        continue;
                    }
                    let outputs = self.leases[index].handle_reply(self.now, &reply);
                    self.apply(index, outputs, outcome);
                }
            }
        }
    }

    fn call(&mut self, call: &store::Call, outcome: Outcome) -> store::Reply {
        let is_read = matches!(call, store::Call::Read { .. });
        match outcome {
            Outcome::Served | Outcome::Slow(_) => self.store.run(call),
            _ if is_read => NOT_RUN,
            Outcome::LostReply => {
                self.store.run(call);
                UNKNOWN
            }
            Outcome::Late(steps) => {
                self.late.push((steps, call.clone()));
                UNKNOWN
            }
            Outcome::Dropped => UNKNOWN,
            Outcome::Rejected => NOT_RUN,
        }
    }

    fn steps(&mut self, count: u32) {
        (0..count).for_each(|_| self.step(|_, _| Outcome::Served));
    }

    fn active(&self) -> Vec<usize> {
        let all = 0..self.leases.len();
        all.filter(|i| self.leases[*i].is_active(self.now))
            .collect()
    }

    fn check(&self) {
        assert!(self.active().len() <= 1, "two active holders");
        let tokens = self.tenures.iter().map(|(_, token)| token);
        assert!(tokens.is_sorted_by(|a, b| a < b), "{:?}", self.tenures);
    }
}

fn steps_in(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis() / STEP.as_millis()).unwrap() + 1
}

#[test]
fn tick_renews_and_keeps_others_out() {
    let mut simulation = Simulation::new(3);
    simulation.steps(steps_in(lease::TERM) * 4);
    assert_eq!(simulation.tenures.len(), 1);
    assert_eq!(simulation.active(), [simulation.tenures[0].0]);
}

#[test]
fn fencing_token_expires_for_paused_holder() {
    let mut simulation = Simulation::new(2);
    simulation.steps(2);
    assert_eq!(simulation.active(), [0]);
    simulation.paused[0] = true;
    simulation.steps(steps_in(lease::TERM + lease::RENEWAL) + 3);
    assert_eq!(simulation.active(), [1], "the other acquires the lease");
    assert_eq!(
        simulation.leases[0].fencing_token(simulation.now, true),
        None,
        "expired before the next tick"
    );
    simulation.paused[0] = false;
    simulation.steps(1);
    assert_eq!(simulation.active(), [1]);
    assert_eq!(simulation.lost, 1);
}

#[rstest]
#[case::acquire_lost_reply(0, Outcome::LostReply, 1)]
#[case::acquire_dropped(0, Outcome::Dropped, 1)]
#[case::acquire_late(0, Outcome::Late(2), 1)]
#[case::acquire_refused(0, Outcome::Rejected, 1)]
#[case::renew_lost_reply(13, Outcome::LostReply, 1)]
#[case::renew_dropped(13, Outcome::Dropped, 1)]
#[case::renew_late(13, Outcome::Late(2), 1)]
#[case::renew_refused(13, Outcome::Rejected, 1)]
#[case::renew_slow(13, Outcome::Slow(8), 1)]
fn handle_reply_survives_fault(
    #[case] from: u32,
    #[case] outcome: Outcome,
    #[case] tenures: usize,
) {
    let mut simulation = Simulation::new(1);
    simulation.steps(from);
    let mut is_injected = false;
    for _ in 0..30 {
        simulation.step(|_, call| {
            if is_injected || matches!(call, store::Call::Read { .. }) {
                return Outcome::Served;
            }
            is_injected = true;
            outcome
        });
    }
    assert_eq!(simulation.active(), [0]);
    assert_eq!(simulation.tenures.len(), tenures);
    assert_eq!(simulation.lost, 0);
}

#[test]
fn tick_loses_in_outage_and_reacquires() {
    let mut simulation = Simulation::new(2);
    simulation.steps(2);
    for _ in 0..steps_in(lease::TERM) {
        simulation.step(|_, _| Outcome::Rejected);
    }
    assert!(simulation.active().is_empty());
    simulation.steps(steps_in(lease::RENEWAL));
    assert_eq!(simulation.active(), [0]);
    assert_eq!(
        simulation.tenures.len(),
        2,
        "each tenure has a new fencing token"
    );
}

#[test]
fn leave_releases_at_once() {
    let mut simulation = Simulation::new(2);
    simulation.steps(2);
    simulation.leases[0].leave();
    simulation.steps(steps_in(lease::RENEWAL) + 3);
    assert_eq!(simulation.active(), [1]);
}

#[test]
fn fencing_token_waits_for_upstreams_without_fencing() {
    let mut simulation = Simulation::new(1);
    simulation.steps(2);
    assert!(
        simulation.leases[0]
            .fencing_token(simulation.now, true)
            .is_some()
    );
    assert_eq!(
        simulation.leases[0].fencing_token(simulation.now, false),
        None
    );
    simulation.steps(steps_in(lease::GRACE));
    assert!(
        simulation.leases[0]
            .fencing_token(simulation.now, false)
            .is_some()
    );
}

#[test]
fn candidates_spread_over_domains() {
    let member = |i: u16| peering::Member {
        name: name::Name::from(format!("entry-{i}")),
        domain: name::Name::from(["tolgoit", "altan-ulgii", "bayanzurkh"][usize::from(i) % 3]),
        region: name::Name::from("ulaanbaatar"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 9_000 + i)),
        incarnation: 1,
    };
    let members: Vec<_> = (0..380).map(member).collect();
    for shard in 0..lease::SHARDS {
        let chosen = lease::candidates(&members, shard);
        let domains: std::collections::BTreeSet<_> = members
            .iter()
            .filter(|member| chosen.contains(&member.name))
            .map(|member| &member.domain)
            .collect();
        assert_eq!((chosen.len(), domains.len()), (lease::CANDIDATES, 3));
    }
}

fn any_outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        8 => Just(Outcome::Served),
        1 => Just(Outcome::LostReply),
        1 => (1..60_u8).prop_map(Outcome::Late),
        1 => Just(Outcome::Dropped),
        1 => Just(Outcome::Rejected),
        2 => (1..60_u8).prop_map(Outcome::Slow),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn is_active_at_most_one(
        steps in prop::collection::vec((any_outcome(), any_outcome(), any_outcome(), 0..60_usize), 200..600),
    ) {
        let mut simulation = Simulation::new(3);
        for (first, second, third, pause) in steps {
            if pause < 3 {
                simulation.paused[pause] = !simulation.paused[pause];
            }
            let outcomes = [first, second, third];
            simulation.step(|index, _| outcomes[index]);
        }
    }
}
