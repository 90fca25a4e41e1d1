//! Three entries that share one store; the test controls every message and reply.

mod observe;
mod operators;
mod traffic;
mod transport;

use std::collections;
use std::sync;
use std::time::Duration;

use guavausher_core::{declaration, effect, event, fact, name, peering, rollout, store, time};

use super::audit;
use super::harness;
use super::node;
use super::platform;
use super::step;

const SERVICE: &str = "verse-scribe";
const OLD: &str = "v1";
const NEW: &str = "v2";
const UPSTREAMS: [&str; 5] = ["verse-1", "verse-4", "kiosk-1", "kiosk-2", "verse-2"];
const FACT_LIFETIME: Duration = Duration::from_secs(3_600);
/// Keys may run again after the ledger's retention, so no request arrives after this time.
const LAST_ARRIVAL: Duration = Duration::from_secs(400);
/// Fingerprint of requests that crash no upstream.
const HARMLESS: u8 = 9;
/// The process of calls whose caller no longer waits.
const NO_PROCESS: u64 = 0;
const MAX_QUIESCE_ROUNDS: u32 = 400;

/// Options in which deployments differ.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    pub deduplicates: bool,
    pub domains: node::Domains,
}

/// An attempt at its upstream.
#[derive(Clone, Debug)]
struct Attempt {
    entry: usize,
    process: u64,
    sent: effect::Dispatch,
    started: bool,
}

#[derive(Clone, Debug)]
struct Call {
    entry: usize,
    process: u64,
    id: u64,
    call: store::Call,
}

#[derive(Clone, Debug)]
struct Reply {
    entry: usize,
    process: u64,
    id: u64,
    reply: store::Reply,
}

#[derive(Clone, Debug)]
struct Packet {
    from: usize,
    to: usize,
    message: peering::Message,
}

/// The complete deployment and all that was observed of it.
#[derive(Debug)]
pub struct Simulation {
    pub faults: Vec<String>,
    now: time::Time,
    nodes: Vec<node::Node>,
    platform: platform::Platform,
    instances: Vec<store::Instance>,
    configs: Vec<sync::Arc<[u8]>>,
    rollouts: collections::BTreeMap<u64, rollout::Status>,
    records: audit::RequestRecords,
    shares: collections::BTreeMap<audit::Id, audit::Share>,
    running: Vec<Attempt>,
    ended: Vec<Attempt>,
    calls: Vec<Call>,
    replies: Vec<Reply>,
    packets: Vec<Packet>,
    dials: Vec<(usize, usize)>,
    links: collections::BTreeSet<(usize, usize)>,
    declaration: declaration::Declaration,
    options: Options,
    processes: u64,
    requests: u64,
}

impl Simulation {
    /// Returns a deployment of three ready entries.
    pub fn new(options: Options) -> Self {
        let mut declaration = harness::declaration();
        for service in &mut declaration.services {
            service.deduplicates &= options.deduplicates;
        }
        for upstream in &mut declaration.upstreams {
            if ["verse-4", "verse-5", "verse-6"].contains(&upstream.name.as_str()) {
                upstream.version = name::Name::from(NEW);
            }
        }
        let mut simulation = Self {
            faults: Vec::new(),
            now: harness::START,
            nodes: (0..3)
                .map(|e| node::Node::new(&options.domains, e, e as u64 + 1))
                .collect(),
            platform: platform::Platform::default(),
            instances: Vec::new(),
            configs: Vec::new(),
            rollouts: collections::BTreeMap::new(),
            records: audit::RequestRecords::new(),
            shares: collections::BTreeMap::new(),
            running: Vec::new(),
            ended: Vec::new(),
            calls: Vec::new(),
            replies: Vec::new(),
            packets: Vec::new(),
            dials: Vec::new(),
            links: collections::BTreeSet::new(),
            declaration,
            options,
            processes: 3,
            requests: 0,
        };
        simulation.instances = simulation.all_instances();
        simulation.platform.lists.push(simulation.instances.clone());
        simulation.configure();
        for entry in 0..3 {
            simulation.event(entry, event::Event::Start);
        }
        simulation.quiesce();
        simulation
    }

    pub fn step(&mut self, step: step::Step) {
        match step {
            step::Step::Arrive { entry, kind, body } => self.arrive(entry, kind, body),
            step::Step::CompleteMany { entry, count } => {
                (0..count).for_each(|_| self.complete_one(entry))
            }
            step::Step::Abandon { pick } => self.abandon(pick),
            step::Step::Signal { pick, signal } => self.signal(pick, signal),
            step::Step::Late { pick, signal } => self.signal_late(pick, signal),
            step::Step::Serve { pick, outcome } => self.serve(pick, outcome),
            step::Step::Reply { pick } => {
                if let Some(reply) = transport::take(&mut self.replies, pick) {
                    self.reply(reply);
                }
            }
            step::Step::Deliver { pick, copies } => self.deliver(pick, copies),
            step::Step::Dial { pick, succeeds } => self.dial(pick, succeeds),
            step::Step::Unlink { first, second } => {
                self.close_link(first.min(second), first.max(second))
            }
            step::Step::Quiesce => self.quiesce(),
            step::Step::Wait { millis } => self.wait(Duration::from_millis(millis.into())),
            step::Step::Pause { entry } => {
                self.nodes[entry].inbox.get_or_insert_default();
            }
            step::Step::Resume { entry } => self.resume(entry),
            step::Step::Restart { entry } => self.restart(entry),
            step::Step::Configure => self.configure(),
            step::Step::OldConfig { entry, pick } => self.publish_old_config(entry, pick),
            step::Step::ChangeList {
                upstream,
                leaving,
                next,
            } => self.change_list(upstream, leaving, next),
            step::Step::Leaving { entry, upstream } => {
                let upstream = name::Name::from(UPSTREAMS[upstream]);
                let incarnation = self.incarnation(&upstream);
                let fact = fact::Fact::Leaving {
                    upstream,
                    incarnation,
                };
                self.add_fact(entry, fact);
            }
            step::Step::Notice { upstream } => self.notice(upstream),
            step::Step::Rollout { phase, share } => self.rollout(phase, share),
            step::Step::Halt { entry } => {
                if let Some(status) = self.rollouts.values().next_back() {
                    let halt = status.halt_fact();
                    self.add_fact(entry, halt);
                }
            }
            step::Step::Stop { entry, millis } => {
                let deadline = self.now.after(Duration::from_millis(millis.into()));
                self.event(entry, event::Event::Stop { deadline });
            }
        }
        self.replace_stopped();
    }

    /// Lets everything end without further faults and checks what is left.
    pub fn finish(&mut self) {
        for entry in 0..3 {
            self.resume(entry);
        }
        for second in 0..100 {
            self.quiesce();
            while second > 10 && !self.running.is_empty() {
                self.signal(0, step::Signal::Finished { kept: true });
            }
            self.wait(Duration::from_secs(1));
            self.replace_stopped();
        }
        self.quiesce();
        for entry in 0..3 {
            let process = self.nodes[entry].process;
            let checks = self.records.range((process, 0)..=(process, u64::MAX));
            let mut verdicts: Vec<_> = checks.map(|(id, a)| audit::has_response(*id, a)).collect();
            verdicts.push(audit::nothing_left(&self.nodes[entry].state));
            verdicts.into_iter().for_each(|v| self.check(v));
        }
    }

    /// Handles calls, replies, dials and messages until only long polls are left.
    fn quiesce(&mut self) {
        for _ in 0..MAX_QUIESCE_ROUNDS {
            let calls = self.calls.len();
            (0..calls).for_each(|_| self.serve(0, step::CallOutcome::Served));
            let idle = self.replies.is_empty() && self.dials.is_empty() && self.packets.is_empty();
            if idle {
                return;
            }
            while let Some(reply) = transport::take(&mut self.replies, 0) {
                self.reply(reply);
            }
            for _ in 0..self.dials.len() {
                self.dial(0, true);
            }
            for _ in 0..self.packets.len() {
                self.deliver(0, 1);
            }
        }
    }

    fn wait(&mut self, wait: Duration) {
        self.now = self.now.after(wait);
        for entry in 0..3 {
            if self.nodes[entry].inbox.is_none() {
                self.event(entry, event::Event::Tick);
                let check = audit::within_deadline(&self.nodes[entry].state, self.now);
                self.check(check);
            }
        }
    }

    fn resume(&mut self, entry: usize) {
        let Some(inbox) = self.nodes[entry].inbox.take() else {
            return;
        };
        for event in inbox {
            self.event(entry, event);
        }
        self.event(entry, event::Event::Tick);
    }

    fn restart(&mut self, entry: usize) {
        for other in (0..3).filter(|other| *other != entry) {
            self.unlink(entry, other);
        }
        self.dials.retain(|(from, _)| *from != entry);
        let process = self.nodes[entry].process;
        let (lost, running) = self.running.drain(..).partition(|a| a.process == process);
        self.running = running;
        self.ended.extend::<Vec<_>>(lost);
        self.processes += 1;
        self.nodes[entry] = node::Node::new(&self.options.domains, entry, self.processes);
        self.instances = self.current_instances();
        self.platform.lists.push(self.instances.clone());
        self.event(entry, event::Event::Start);
    }

    fn replace_stopped(&mut self) {
        for entry in 0..3 {
            if self.nodes[entry].stopped {
                self.restart(entry);
            }
        }
    }
}
