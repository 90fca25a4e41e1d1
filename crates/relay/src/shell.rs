//! The process: the reducer's state and what carries out its effects.

use std::cell;
use std::collections;
use std::rc;
use std::time::Duration;

use guavausher_core::name;
use guavausher_core::relay::{digest, effect, event, fleet, manifest, reduce, state};
use guavausher_core::time;
use tokio::sync;

use crate::clock;
use crate::dialect;
use crate::flood;
use crate::intake;
use crate::metrics;
use crate::pool;
use crate::slot;

/// Bodies that may be held at once over all requests, in bytes.
pub const MAX_HELD: usize = 48 << 20;

/// Everything that the tasks of a process share.
#[derive(Debug)]
pub struct Shell {
    /// Decisions.
    pub state: cell::RefCell<state::State>,
    /// Kept channels to engines.
    pub pool: pool::Pool,
    /// Header names.
    pub dialect: dialect::Dialect,
    /// Counters.
    pub metrics: metrics::Metrics,
    /// How far each kind of object has been read.
    pub positions: cell::RefCell<Vec<digest::Position>>,
    /// Refusals that were not logged one by one.
    pub(crate) flood: flood::Flood,
    /// Tells the tasks that the process is stopping.
    pub stopping: sync::watch::Sender<bool>,
    /// Bytes of bodies held at the moment.
    pub held: cell::Cell<usize>,
    slots: cell::RefCell<collections::HashMap<u64, rc::Rc<slot::Slot>>>,
    last: cell::Cell<u64>,
    is_listed: cell::Cell<bool>,
    /// Tells the tasks that manifest and engines are known.
    informed: sync::watch::Sender<bool>,
    /// From when on a stopping process takes no more requests.
    closes: cell::Cell<time::Time>,
}

impl Shell {
    /// Builds the shell around a state; `kinds` is the number of kinds of objects that are read.
    pub fn new(state: state::State, dialect: dialect::Dialect, kinds: usize) -> rc::Rc<Self> {
        let positions = vec![digest::Position::default(); kinds];
        rc::Rc::new(Self {
            state: cell::RefCell::new(state),
            pool: pool::Pool::default(),
            dialect,
            metrics: metrics::Metrics::default(),
            positions: cell::RefCell::new(positions),
            flood: flood::Flood::default(),
            stopping: sync::watch::Sender::new(false),
            held: cell::Cell::new(0),
            slots: cell::RefCell::new(collections::HashMap::new()),
            last: cell::Cell::new(0),
            is_listed: cell::Cell::new(false),
            informed: sync::watch::Sender::new(false),
            closes: cell::Cell::new(time::Time::MAX),
        })
    }

    /// Applies an event and carries out what follows from it.
    pub fn apply(&self, event: event::Event) {
        if matches!(event, event::Event::Engines(_)) {
            self.is_listed.set(true);
        }
        let effects = reduce::reduce(&mut self.state.borrow_mut(), clock::now(), event);
        for effect in effects {
            self.perform(effect);
        }
        if !*self.informed.borrow() && self.is_informed() {
            self.informed.send_replace(true);
        }
    }

    fn is_informed(&self) -> bool {
        self.state.borrow().manifest.is_some() && self.is_listed.get()
    }

    /// Waits until manifest and engines are known, for as long as a process usually takes to
    /// learn them at its start.
    pub async fn informed(&self) {
        /// Longest wait, after which a request is refused.
        const WAIT: Duration = Duration::from_millis(300);
        let mut informed = self.informed.subscribe();
        // Without an answer in time the look-up refuses the request.
        let _ = tokio::time::timeout(WAIT, informed.wait_for(|is| *is)).await;
    }

    /// Returns the limits on callers in force.
    pub fn limits(&self) -> manifest::Limits {
        let state = self.state.borrow();
        let known = state.manifest.as_ref();
        known.map_or(intake::FIRST_LIMITS, |manifest| manifest.limits())
    }

    /// Tells whether new callers are welcome.
    pub fn is_ready(&self) -> bool {
        self.is_informed() && !self.is_stopping()
    }

    /// Tells whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns from when on no more requests are taken.
    pub const fn closes(&self) -> time::Time {
        self.closes.get()
    }

    /// Begins a planned stop; from `closes` on new requests are refused.
    pub fn stop(&self, closes: time::Time) {
        self.closes.set(closes);
        self.state.borrow_mut().leaving = true;
        self.stopping.send_replace(true);
    }

    /// Tells whether the engine of an attempt is still there and does not leave.
    pub(crate) fn is_listed(&self, choice: &fleet::Choice) -> bool {
        let state = self.state.borrow();
        state.fleet.status(clock::now(), choice) == fleet::Status::Listed
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.slots.borrow().len()
    }

    /// Returns a new id for a request and where its task waits for steps.
    pub(crate) fn enter(&self) -> (u64, rc::Rc<slot::Slot>) {
        let id = self.last.get() + 1;
        self.last.set(id);
        let slot = rc::Rc::new(slot::Slot::default());
        self.slots.borrow_mut().insert(id, slot.clone());
        (id, slot)
    }

    /// Forgets a request that has ended.
    pub(crate) fn leave(&self, id: u64) {
        self.slots.borrow_mut().remove(&id);
    }

    fn perform(&self, effect: effect::Effect) {
        match effect {
            effect::Effect::Send { request, dispatch } => {
                self.step(request, slot::Step::Send(dispatch));
            }
            effect::Effect::ForwardFailure { request } => self.step(request, slot::Step::Relay),
            effect::Effect::Refuse {
                request,
                refusal,
                context,
            } => self.step(request, slot::Step::Refuse(refusal, context)),
            effect::Effect::EngineAvoided { engine, outcome } => {
                log::info!(engine:% = engine, sign:? = outcome; "engine avoided");
            }
            effect::Effect::EngineCrashed {
                engine,
                fingerprint,
                known,
            } => {
                log::warn!(engine:% = engine, print:% = format!("{fingerprint:016x}"),
                    known = known; "engine ended under a request");
            }
            effect::Effect::EngineStarted(engine) => log::info!(engine:% = engine; "engine in use"),
            effect::Effect::EngineLeft {
                engine,
                source,
                age,
            } => self.left(&engine, source, age),
            effect::Effect::EngineHeld { engine, until } => {
                let hold = clock::now().until(until).as_millis() as u64;
                self.metrics.word("hold", effect::Source::Answer);
                log::info!(engine:% = engine, hold_ms = hold; "engine wants nothing");
            }
            effect::Effect::ManifestApplied { version } => {
                self.metrics.manifest.set(version as i64);
                log::info!(version = version; "manifest in force");
            }
            effect::Effect::PeerLost(peer) => log::info!(peer:% = peer; "peer gone"),
        }
    }

    fn left(&self, engine: &name::Name, source: effect::Source, age: Duration) {
        self.pool.close(engine);
        self.metrics.word("leaving", source);
        log::info!(engine:% = engine, source:? = source, age_ms = age.as_millis() as u64;
            "engine leaving or gone");
    }

    fn step(&self, request: u64, step: slot::Step) {
        match self.slots.borrow().get(&request) {
            Some(slot) => slot.put(step),
            None => log::warn!(request = request; "step for a request that has ended"),
        }
    }
}
