//! Leases against a small store, with pauses, races and lost answers.

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
const UNCLEAR: store::Reply = store::Reply::Failed(verdict::Verdict::MayHaveRun);
const NOT_RUN: store::Reply = store::Reply::Failed(verdict::Verdict::NotRun);

/// What becomes of a call.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// Runs and is answered.
    Answered,
    /// Runs; the answer is lost.
    Lost,
    /// Fails unclear and runs this many steps later.
    Late(u8),
    /// Fails unclear and never runs.
    Dropped,
    /// Is refused.
    Refused,
    /// Runs; the answer comes this many steps later.
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

struct World {
    now: time::Time,
    store: Store,
    leases: Vec<lease::Lease>,
    paused: Vec<bool>,
    late: Vec<(u8, store::Call)>,
    slow: Vec<(u8, usize, store::Reply)>,
    tenures: Vec<(usize, u64)>,
    lost: usize,
}

impl World {
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

    /// Lets time pass; every running controller gets its turn, and each call this fate.
    fn step(&mut self, mut fate: impl FnMut(usize, &store::Call) -> Fate) {
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
            self.play(index, outputs, &mut fate);
        }
        for index in 0..self.leases.len() {
            if !self.paused[index] {
                let outputs = self.leases[index].tick(self.now, Some(index));
                self.play(index, outputs, &mut fate);
            }
        }
        self.check();
    }

    fn play(
        &mut self,
        index: usize,
        outputs: Vec<lease::Output>,
        fate: &mut impl FnMut(usize, &store::Call) -> Fate,
    ) {
        for output in outputs {
            match output {
                lease::Output::Acquired { fencing_token } => {
                    self.tenures.push((index, fencing_token));
                }
                lease::Output::Lost => self.lost += 1,
                lease::Output::Call(call) => {
                    let fate_now = fate(index, &call);
                    let reply = self.call(&call, fate_now);
                    if let Fate::Slow(steps) = fate_now {
                        self.slow.push((steps, index, reply));
                        continue;
                    }
                    let outputs = self.leases[index].handle_reply(self.now, &reply);
                    self.play(index, outputs, fate);
                }
            }
        }
    }

    fn call(&mut self, call: &store::Call, fate: Fate) -> store::Reply {
        let is_read = matches!(call, store::Call::Read { .. });
        match fate {
            Fate::Answered | Fate::Slow(_) => self.store.run(call),
            _ if is_read => NOT_RUN,
            Fate::Lost => {
                self.store.run(call);
                UNCLEAR
            }
            Fate::Late(steps) => {
                self.late.push((steps, call.clone()));
                UNCLEAR
            }
            Fate::Dropped => UNCLEAR,
            Fate::Refused => NOT_RUN,
        }
    }

    fn steps(&mut self, count: u32) {
        (0..count).for_each(|_| self.step(|_, _| Fate::Answered));
    }

    fn active(&self) -> Vec<usize> {
        let all = 0..self.leases.len();
        all.filter(|i| self.leases[*i].is_active(self.now))
            .collect()
    }

    fn check(&self) {
        assert!(self.active().len() <= 1, "two holders act");
        let fences = self.tenures.iter().map(|(_, fence)| fence);
        assert!(fences.is_sorted_by(|a, b| a < b), "{:?}", self.tenures);
    }
}

fn steps_of(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis() / STEP.as_millis()).unwrap() + 1
}

#[test]
fn tick_renews_and_keeps_others_out() {
    let mut world = World::new(3);
    world.steps(steps_of(lease::TERM) * 4);
    assert_eq!(world.tenures.len(), 1);
    assert_eq!(world.active(), [world.tenures[0].0]);
}

#[test]
fn fence_ends_for_paused_holder() {
    let mut world = World::new(2);
    world.steps(2);
    assert_eq!(world.active(), [0]);
    world.paused[0] = true;
    world.steps(steps_of(lease::TERM + lease::RENEWAL) + 3);
    assert_eq!(world.active(), [1], "the other takes over");
    assert_eq!(
        world.leases[0].fencing_token(world.now, true),
        None,
        "before it even ticks"
    );
    world.paused[0] = false;
    world.steps(1);
    assert_eq!(world.active(), [1]);
    assert_eq!(world.lost, 1);
}

#[rstest]
#[case::acquire_lost_answer(0, Fate::Lost, 1)]
#[case::acquire_dropped(0, Fate::Dropped, 1)]
#[case::acquire_late(0, Fate::Late(2), 1)]
#[case::acquire_refused(0, Fate::Refused, 1)]
#[case::renew_lost_answer(13, Fate::Lost, 1)]
#[case::renew_dropped(13, Fate::Dropped, 1)]
#[case::renew_late(13, Fate::Late(2), 1)]
#[case::renew_refused(13, Fate::Refused, 1)]
#[case::renew_slow(13, Fate::Slow(8), 1)]
fn reply_survives_fault(#[case] from: u32, #[case] fate: Fate, #[case] tenures: usize) {
    let mut world = World::new(1);
    world.steps(from);
    let mut is_hit = false;
    for _ in 0..30 {
        world.step(|_, call| {
            if is_hit || matches!(call, store::Call::Read { .. }) {
                return Fate::Answered;
            }
            is_hit = true;
            fate
        });
    }
    assert_eq!(world.active(), [0]);
    assert_eq!(world.tenures.len(), tenures);
    assert_eq!(world.lost, 0);
}

#[test]
fn tick_loses_in_outage_and_returns() {
    let mut world = World::new(2);
    world.steps(2);
    for _ in 0..steps_of(lease::TERM) {
        world.step(|_, _| Fate::Refused);
    }
    assert!(world.active().is_empty());
    world.steps(steps_of(lease::RENEWAL));
    assert_eq!(world.active(), [0]);
    assert_eq!(
        world.tenures.len(),
        2,
        "a new tenure has a new fencing number"
    );
}

#[test]
fn leave_hands_over_at_once() {
    let mut world = World::new(2);
    world.steps(2);
    world.leases[0].leave();
    world.steps(steps_of(lease::RENEWAL) + 3);
    assert_eq!(world.active(), [1]);
}

#[test]
fn fence_waits_for_unchecked_upstreams() {
    let mut world = World::new(1);
    world.steps(2);
    assert!(world.leases[0].fencing_token(world.now, true).is_some());
    assert_eq!(world.leases[0].fencing_token(world.now, false), None);
    world.steps(steps_of(lease::GRACE));
    assert!(world.leases[0].fencing_token(world.now, false).is_some());
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

fn any_fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        8 => Just(Fate::Answered),
        1 => Just(Fate::Lost),
        1 => (1..60_u8).prop_map(Fate::Late),
        1 => Just(Fate::Dropped),
        1 => Just(Fate::Refused),
        2 => (1..60_u8).prop_map(Fate::Slow),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn is_active_at_most_one(
        steps in prop::collection::vec((any_fate(), any_fate(), any_fate(), 0..60_usize), 200..600),
    ) {
        let mut world = World::new(3);
        for (first, second, third, pause) in steps {
            if pause < 3 {
                world.paused[pause] = !world.paused[pause];
            }
            let fates = [first, second, third];
            world.step(|index, _| fates[index]);
        }
    }
}
