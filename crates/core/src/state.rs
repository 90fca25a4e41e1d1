//! State of an entry's reducer.

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
    /// The applied configuration.
    pub config: Option<config::Config>,
    /// Upstreams and their health.
    pub fleet: routing::Fleet,
    /// Admission limits and queues.
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
    /// Requests by id of their current attempt.
    pub attempts: collections::HashMap<u64, u64>,
    /// Timers of the requests in order of time.
    pub timers: collections::BTreeSet<Timer>,
    /// Purposes of the pending store calls by call id.
    pub calls: collections::HashMap<u64, Purpose>,
    /// Store calls that are deferred, by the time at which they are made.
    pub deferred_calls: collections::BTreeMap<time::Time, Vec<Purpose>>,
    /// Topics that this entry watches in the store.
    pub watched: collections::BTreeSet<peering::Topic>,
    /// Highest revision of the store seen by each watch.
    pub revisions: collections::BTreeMap<peering::Topic, u64>,
    /// Number of entries in the platform's list.
    pub entry_count: u32,
    /// Upstreams known to be leaving, with the highest such incarnation.
    pub leaving: collections::BTreeMap<name::Name, u64>,
    /// Assigns versions to requests while a service is being rolled out.
    pub split: rollout::Split,
    /// Samples of the versions under rollout.
    pub monitor: rollout::Monitor,
    /// Next times of the monitor's periodic tasks; `None` while no rollout is in progress.
    pub monitor_schedule: Option<rollouts::Schedule>,
    /// The status object as last written.
    pub status: Status,
    /// A planned stop.
    pub stop: Option<Stop>,
    /// Effects of the current event.
    pub(crate) effects: Vec<effect::Effect>,
    next_call: u64,
    next_attempt: u64,
}

/// The time at which a request needs attention.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Timer {
    /// Time at which the timer fires.
    pub at: time::Time,
    /// The request.
    pub request: u64,
}

/// A planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// Time from which new requests are refused.
    pub refuse_at: time::Time,
    /// Time by which the process ends.
    pub deadline: time::Time,
}

/// Purpose of a store call, kept until its reply arrives.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Purpose {
    /// A call of the ledger, with its partition.
    Ledger(u64),
    /// The read of a document.
    Document(peering::Topic),
    /// The long poll for a change of a document.
    Watch(peering::Topic),
    /// The long poll for notices, from a sequence number.
    Notices(u64),
    /// The write of this entry's status.
    Status,
    /// The read of this entry's status after a conflict.
    StatusRead,
}

/// This entry's status object as last written.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Its version in the store.
    pub version: Option<store::Version>,
    /// The configuration generation in it.
    pub generation: u64,
    /// Whether it reports the entry as ready.
    pub ready: bool,
    /// Whether a write is scheduled or pending.
    pub pending: bool,
}

impl Purpose {
    /// Returns `true` if one call serves both purposes.
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
    /// The seed must differ from that of every other process, since claims contain it.
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

    /// Returns the reason why this entry is not ready for new requests, or `None` if it is ready.
    pub fn unready_reason(&self) -> Option<&'static str> {
        if self.stop.is_some() {
            return Some("stopping");
        }
        if self.config.is_none() {
            return Some("no configuration in force");
        }
        (!self.peering.is_synced()).then_some("not yet caught up with the peers")
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

    /// Returns `true` if an equivalent call has no reply yet.
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
