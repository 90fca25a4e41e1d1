//! Leases while the store returns from older copies: at most one holder at a time, and tokens that rise.

use std::sync;
use std::time::Duration;

use guavausher_core::lease;
use guavausher_core::name;
use guavausher_core::relay::revision;
use guavausher_core::store;
use guavausher_core::time;
use guavausher_core::verdict;
use proptest::prelude::*;

const STEP: Duration = Duration::from_millis(250);
const UNKNOWN: store::Reply = store::Reply::Failed(verdict::Verdict::MayHaveRun);
const HOLDERS: usize = 3;

/// What the store holds of the lease.
#[derive(Clone, Default)]
struct Content {
    number: u64,
    body: Option<sync::Arc<[u8]>>,
}

/// What happens in one step beside the ticks.
#[derive(Clone, Copy, Debug)]
enum Incident {
    Nothing,
    Copy,
    Return,
    /// An instance stops, or goes on.
    Pause(usize),
    /// Processes are replaced by new ones, which know nothing.
    Restart(usize),
    RestartAll,
}

struct Simulation {
    now: time::Time,
    era: u64,
    content: Content,
    copy: Content,
    leases: Vec<lease::Lease>,
    /// The era that each process knows; none before its first reply.
    known: Vec<Option<u64>>,
    paused: [bool; HOLDERS],
    process: u64,
    tokens: Vec<u64>,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            now: time::Time::from_millis(1_000),
            era: 1,
            content: Content::default(),
            copy: Content::default(),
            leases: Vec::new(),
            known: vec![None; HOLDERS],
            paused: [false; HOLDERS],
            process: 0,
            tokens: Vec::new(),
        };
        for index in 0..HOLDERS {
            let lease = simulation.lease(index);
            simulation.leases.push(lease);
        }
        simulation
    }

    fn lease(&mut self, index: usize) -> lease::Lease {
        self.process += 1;
        let owner = name::Name::from(format!("front-{index}"));
        lease::Lease::new(0, owner, self.process)
    }

    fn step(&mut self, incident: Incident) {
        self.now = self.now.after(STEP);
        match incident {
            Incident::Nothing => {}
            Incident::Copy => self.copy = self.content.clone(),
            Incident::Return => {
                self.era += 1;
                self.content = self.copy.clone();
            }
            Incident::Pause(index) => self.paused[index] = !self.paused[index],
            Incident::Restart(index) => self.restart(index),
            Incident::RestartAll => (0..HOLDERS).for_each(|index| self.restart(index)),
        }
        for index in 0..HOLDERS {
            if !self.paused[index] {
                let outputs = self.leases[index].tick(self.now, Some(index));
                self.apply(index, outputs);
            }
        }
        self.check();
    }

    fn restart(&mut self, index: usize) {
        self.leases[index] = self.lease(index);
        self.known[index] = None;
    }

    fn apply(&mut self, index: usize, outputs: Vec<lease::Output>) {
        for output in outputs {
            match output {
                lease::Output::Acquired { fencing_token } => self.tokens.push(fencing_token),
                lease::Output::Lost => {}
                lease::Output::Call(call) => self.call(index, &call),
            }
        }
    }

    /// Performs a call as the client of the store does: a condition of an earlier era than the known one
    /// is not sent, and a write that is answered from a later one is in doubt.
    fn call(&mut self, index: usize, call: &store::Call) {
        let known = self.known[index].replace(self.era);
        let is_returned = known.is_some_and(|known| known != self.era);
        let reply = match call {
            store::Call::Read { .. } => self.read(),
            store::Call::Write { expected, body, .. } => {
                let expected = expected.map(revision::Revision::from_packed);
                let is_stale = expected.is_some_and(|r| Some(r.era()) != known);
                match is_stale {
                    true => store::Reply::Conflict,
                    false => self.write(expected.map(|r| r.number()), body.clone()),
                }
            }
            other => panic!("a lease does not make this call: {other:?}"),
        };
        let reply = match call {
            store::Call::Write { .. } if is_returned => UNKNOWN,
            _ => reply,
        };
        // A process that has read nothing before cannot know whether the store has just returned.
        if is_returned || known.is_none() {
            let outputs = self.leases[index].restart(self.now);
            self.apply(index, outputs);
        }
        let outputs = self.leases[index].handle_reply(self.now, &reply);
        self.apply(index, outputs);
    }

    /// Returns the revision of the lease's object, as the client of the store states it.
    fn revision(&self) -> u64 {
        let revision = revision::Revision::new(self.era, self.content.number);
        revision.unwrap().packed()
    }

    fn read(&self) -> store::Reply {
        match &self.content.body {
            None => store::Reply::Missing,
            Some(body) => store::Reply::Found(store::Object {
                version: self.revision(),
                body: body.clone(),
            }),
        }
    }

    fn write(&mut self, expected: Option<u64>, body: sync::Arc<[u8]>) -> store::Reply {
        if expected != self.content.body.as_ref().map(|_| self.content.number) {
            return store::Reply::Conflict;
        }
        self.content.number += 1;
        self.content.body = Some(body);
        store::Reply::Written(self.revision())
    }

    fn check(&self) {
        let active = self.leases.iter().filter(|lease| lease.is_active(self.now));
        assert!(active.count() <= 1, "two holders");
        assert!(self.tokens.is_sorted_by(|a, b| a < b), "{:?}", self.tokens);
    }
}

/// A lease that was lost with the store was taken 0.4 s after its return, with a lower token, while its
/// holder acted on.
#[test]
fn lease_of_before_ends_before_another_is_taken() {
    let mut simulation = Simulation::new();
    while simulation.tokens.is_empty() {
        simulation.step(Incident::Nothing);
    }
    simulation.step(Incident::Return);
    let returned_at = simulation.now;
    while simulation.tokens.len() == 1 {
        simulation.step(Incident::Nothing);
    }
    assert!(returned_at.until(simulation.now) >= lease::TERM);
}

fn any_incident() -> impl Strategy<Value = Incident> {
    prop_oneof![
        40 => Just(Incident::Nothing),
        2 => Just(Incident::Copy),
        2 => Just(Incident::Return),
        2 => (0..HOLDERS).prop_map(Incident::Pause),
        1 => (0..HOLDERS).prop_map(Incident::Restart),
        1 => Just(Incident::RestartAll),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn returns_leave_one_holder_and_rising_tokens(
        incidents in prop::collection::vec(any_incident(), 200..600),
    ) {
        let mut simulation = Simulation::new();
        for incident in incidents {
            simulation.step(incident);
        }
    }
}
