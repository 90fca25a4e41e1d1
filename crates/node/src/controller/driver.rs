//! The thread that runs the controller's reducer.

use std::collections;
use std::time::Duration;

use crossbeam::channel;
use guavausher_core::control;
use guavausher_core::peering;

use crate::controller::{Config, documents, metrics, orders};
use crate::{admin, clock, peers, store};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);
/// How long a stop waits for the leases to be given back.
const STOP_WAIT: Duration = Duration::from_secs(3);

/// Everything that the reducer's thread reads from and acts on.
pub struct Driver {
    /// Source of the present time.
    pub clock: clock::Clock,
    /// Client of the platform's store.
    pub store: store::Store,
    /// Link to the entry.
    pub peers: peers::Handle,
    /// Where orders go.
    pub orders: channel::Sender<control::Order>,
    /// Readiness as shown to operators.
    pub readiness: admin::Readiness,
    /// Metrics.
    pub metrics: metrics::Metrics,
    /// Replies of the store.
    pub replies: channel::Receiver<store::Answer>,
    /// Events of the link.
    pub links: channel::Receiver<peers::Event>,
    /// Ends of orders.
    pub ended: channel::Receiver<orders::Ended>,
    /// Signals to stop.
    pub stops: channel::Receiver<()>,
}

/// What the thread keeps.
struct View {
    control: control::State,
    peering: peering::Peering,
    /// Store calls that have no answer yet and may not be left behind at a stop.
    open: collections::BTreeSet<u64>,
}

/// What the thread takes in.
enum Input {
    Control(control::Event),
    Peering(peering::Input),
}

impl Driver {
    /// Runs the reducer until a planned stop is over.
    pub fn run(self, config: &Config, own: peering::Member) {
        let mut view = View {
            control: control::State::new(config.entry.name.clone(), config.writer),
            peering: peering::Peering::leaf(own, &config.entry, config.writer),
            open: collections::BTreeSet::new(),
        };
        self.take(&mut view, Input::Peering(peering::Input::Tick));
        while !self.step(&mut view) {}
        self.stop(&mut view);
    }

    /// Takes the next input; returns whether a stop is asked for.
    fn step(&self, view: &mut View) -> bool {
        crossbeam::select! {
            recv(self.replies) -> answer => {
                if let Ok(answer) = answer {
                    self.replied(view, answer);
                }
            }
            recv(self.links) -> event => {
                if let Ok(event) = event {
                    self.take(view, Input::Peering(event.into()));
                }
            }
            recv(self.ended) -> ended => {
                if let Ok(orders::Ended { upstream, outcome }) = ended {
                    self.metrics.ordered(outcome);
                    let event = control::Event::OrderEnded { upstream, outcome };
                    self.take(view, Input::Control(event));
                }
            }
            recv(self.stops) -> _ => return true,
            default(TICK) => {}
        }
        // Each input is followed by a tick, so a steady stream of inputs cannot hold time up.
        self.take(view, Input::Peering(peering::Input::Tick));
        self.take(view, Input::Control(control::Event::Tick));
        false
    }

    fn stop(&self, view: &mut View) {
        log::info!("stop requested");
        self.take(view, Input::Control(control::Event::Stop));
        let deadline = self.clock.now().after(STOP_WAIT);
        while !view.open.is_empty() {
            let left = self.clock.now().until(deadline);
            let Ok(answer) = self.replies.recv_timeout(left) else {
                return;
            };
            self.replied(view, answer);
        }
    }

    fn replied(&self, view: &mut View, answer: store::Answer) {
        view.open.remove(&answer.id);
        let store::Answer { id, reply } = answer;
        self.take(view, Input::Control(control::Event::Reply { id, reply }));
    }

    fn take(&self, view: &mut View, input: Input) {
        let mut inputs = collections::VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let now = self.clock.now();
            match input {
                Input::Control(event) => {
                    for effect in control::reduce(&mut view.control, now, event) {
                        inputs.extend(self.act(view, effect));
                    }
                }
                Input::Peering(input) => {
                    for output in view.peering.reduce(now, input) {
                        inputs.extend(self.follow(output));
                    }
                }
            }
        }
        let held = view.control.shards(self.clock.now()).len();
        self.metrics
            .leases
            .set(i64::try_from(held).unwrap_or(i64::MAX));
    }

    fn act(&self, view: &mut View, effect: control::Effect) -> Option<Input> {
        match effect {
            control::Effect::Store { id, call } => {
                if !call.is_long_poll() {
                    view.open.insert(id);
                }
                let refused = self.store.submit(id, call).err()?;
                view.open.remove(&id);
                let store::Answer { id, reply } = refused;
                return Some(Input::Control(control::Event::Reply { id, reply }));
            }
            control::Effect::Publish { fact, expiry } => {
                if matches!(fact, guavausher_core::fact::Fact::Halted { .. }) {
                    self.metrics.halts.inc();
                    log::warn!(fact:?; "version halted");
                }
                return Some(Input::Peering(peering::Input::AddFact { fact, expiry }));
            }
            control::Effect::Order(order) => {
                let upstream = self.orders.try_send(order).err()?.into_inner().upstream;
                let outcome = control::Outcome::Failed;
                return Some(Input::Control(control::Event::OrderEnded {
                    upstream,
                    outcome,
                }));
            }
            control::Effect::Acquired {
                shard,
                fencing_token,
            } => {
                log::info!(shard, fence = fencing_token; "lease acquired");
            }
            control::Effect::Lost { shard } => log::info!(shard; "lease ended"),
            control::Effect::Decided(audit) => {
                self.metrics.decisions.inc();
                log::info!(
                    service:% = audit.subject,
                    generation = audit.generation.unwrap_or_default(),
                    operation:% = audit.operation;
                    "rollout: {}",
                    audit.detail
                );
            }
        }
        None
    }

    fn follow(&self, output: peering::Output) -> Option<Input> {
        let event = match output {
            peering::Output::Send { to, message } => {
                self.peers.send(&to, message);
                return None;
            }
            peering::Output::Link(member) => {
                self.peers.link(member);
                return None;
            }
            peering::Output::Unlink(peer) => {
                self.peers.unlink(&peer);
                return None;
            }
            peering::Output::FactAdded { fact } => control::Event::Fact(fact),
            peering::Output::Reports(reports) => control::Event::Reports(reports),
            peering::Output::Adopted(document) => {
                if document.topic == peering::Topic::Config {
                    self.readiness.set_ready();
                    self.metrics
                        .generation
                        .set(document.generation.cast_signed());
                }
                documents::event(&document)?
            }
            peering::Output::Watch { .. } | peering::Output::Delivered { .. } => return None,
        };
        Some(Input::Control(event))
    }
}
