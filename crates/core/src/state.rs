//! All that an entry knows.

use std::collections;

use crate::active_request;
use crate::admission;
use crate::config;
use crate::effect;
use crate::ledger;
use crate::name;
use crate::peering;
use crate::poison;
use crate::reduce::rollouts;
use crate::retry;
use crate::rollout;
use crate::routing;
use crate::store;
use crate::time;

/// The state that [`crate::reduce::reduce`] works on.
#[derive(Debug)]
pub struct State {
    /// This entry as its peers see it.
    pub own: peering::Member,
    /// The configuration in force.
    pub config: Option<config::Config>,
    /// Upstreams.
    pub fleet: routing::Fleet,
    /// Limits and queues.
    pub admission: admission::Controller,
    /// Retry budgets.
    pub budget: retry::Budget,
    /// Claims of idempotency keys.
    pub ledger: ledger::Ledger,
    /// Facts and documents shared with other entries.
    pub peering: peering::Peering,
    /// Requests that may crash their upstream.
    pub quarantine: poison::Quarantine,
    /// Requests in progress by id.
    pub active_requests: collections::HashMap<u64, active_request::ActiveRequest>,
    /// Requests by attempt.
    pub attempts: collections::HashMap<u64, u64>,
    /// Requests in the order in which the reducer looks at them again.
    pub timers: collections::BTreeSet<Timer>,
    /// Store calls under way.
    pub calls: collections::HashMap<u64, Purpose>,
    /// Store calls to make later.
    pub deferred_calls: collections::BTreeMap<time::Time, Vec<Purpose>>,
    /// Topics that this entry watches in the store.
    pub watched: collections::BTreeSet<peering::Topic>,
    /// Highest revision of the store seen by each watch.
    pub revisions: collections::BTreeMap<peering::Topic, u64>,
    /// Number of entries in the platform's list.
    pub entry_count: u32,
    /// Upstreams known to be leaving, with the highest such incarnation.
    pub leaving: collections::BTreeMap<name::Name, u64>,
    /// The version of each request while a rollout moves a service.
    pub split: rollout::Split,
    /// Evidence about versions.
    pub monitor: rollout::Monitor,
    /// When the evidence is looked at again; none without a rollout under way.
    pub monitor_schedule: Option<rollouts::Schedule>,
    /// The status object as last written.
    pub status: Status,
    /// A planned stop.
    pub stop: Option<Stop>,
    /// Effects of the present event.
    pub(crate) effects: Vec<effect::Effect>,
    next_call: u64,
    next_attempt: u64,
}

/// When a active is due.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Timer {
    /// When.
    pub at: time::Time,
    /// The request.
    pub request: u64,
}

/// A planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// From when on new requests are refused.
    pub refuse_at: time::Time,
    /// When the process ends at the latest.
    pub deadline: time::Time,
}

/// What a store call is for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Purpose {
    /// A call of the ledger.
    Ledger(u64),
    /// The read of a document.
    Document(peering::Topic),
    /// The wait for a change of a document.
    Watch(peering::Topic),
    /// The wait for notices.
    Notices(u64),
    /// The write of this entry's status.
    Status,
    /// The read of this entry's status after a conflict.
    StatusRead,
}

/// This entry's status object.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Its version in the store.
    pub version: Option<store::Version>,
    /// The generation that it states.
    pub generation: u64,
    /// Whether it states that the entry is ready.
    pub ready: bool,
    /// Whether a write is planned or under way.
    pub pending: bool,
}

impl Purpose {
    /// Tells whether one call for the two of them is enough.
    pub fn is_equivalent(self, other: Self) -> bool {
        match (self, other) {
            (Self::Notices(_), Self::Notices(_)) => true,
            _ => self == other,
        }
    }
}

impl State {
    /// Returns the state of an entry that has just started.
    ///
    /// The seed must differ from that of every other process, since claims carry it.
    pub fn new(own: peering::Member, seed: u64) -> Self {
        Self {
            config: None,
            fleet: routing::Fleet::new(own.domain.clone(), seed),
            admission: admission::Controller::new(seed),
            budget: retry::Budget::new(),
            ledger: ledger::Ledger::new(seed),
            peering: peering::Peering::new(own.clone(), seed),
            quarantine: poison::Quarantine::new(own.name.clone()),
            active_requests: collections::HashMap::new(),
            attempts: collections::HashMap::new(),
            timers: collections::BTreeSet::new(),
            calls: collections::HashMap::new(),
            deferred_calls: collections::BTreeMap::new(),
            watched: collections::BTreeSet::new(),
            revisions: collections::BTreeMap::new(),
            entry_count: 1,
            leaving: collections::BTreeMap::new(),
            split: rollout::Split::new(),
            monitor: rollout::Monitor::new(),
            monitor_schedule: None,
            status: Status::default(),
            stop: None,
            effects: Vec::new(),
            next_call: 0,
            next_attempt: 0,
            own,
        }
    }

    /// Tells why this entry takes no new requests, if so.
    pub fn unready_reason(&self) -> Option<&'static str> {
        if self.stop.is_some() {
            return Some("stopping");
        }
        if self.config.is_none() {
            return Some("no configuration in force");
        }
        (!self.peering.synced()).then_some("not yet caught up with the peers")
    }

    /// Returns when the next [`crate::event::Event::Tick`] is due.
    pub fn wake(&self) -> time::Time {
        let sources = [
            Some(self.peering.wake()),
            Some(self.quarantine.wake()),
            self.timers.first().map(|t| t.at),
            self.deferred_calls.first_key_value().map(|(at, _)| *at),
            self.ledger.wake(),
            self.admission.wake(),
            self.monitor_schedule
                .map(|r| r.evaluate_at.min(r.report_at)),
            self.stop.map(|s| s.deadline),
        ];
        sources
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(time::Time::MAX)
    }

    pub(crate) fn emit(&mut self, effect: effect::Effect) {
        self.effects.push(effect);
    }

    pub(crate) fn call(&mut self, purpose: Purpose, call: store::Call) {
        self.next_call += 1;
        self.calls.insert(self.next_call, purpose);
        self.emit(effect::Effect::Call {
            id: self.next_call,
            call,
        });
    }

    /// Tells whether a call for this purpose has no reply yet.
    pub(crate) fn is_pending(&self, purpose: Purpose) -> bool {
        self.calls.values().any(|p| p.is_equivalent(purpose))
    }

    pub(crate) fn new_attempt(&mut self, request: u64) -> u64 {
        self.next_attempt += 1;
        self.attempts.insert(self.next_attempt, request);
        self.next_attempt
    }

    pub(crate) fn set_timer(&mut self, request: u64, at: time::Time) {
        let Some(active) = self.active_requests.get_mut(&request) else {
            return;
        };
        self.timers.remove(&Timer {
            at: active.timer,
            request,
        });
        active.timer = at;
        self.timers.insert(Timer { at, request });
    }
}
