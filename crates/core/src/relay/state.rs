//! The state of an instance that forwards requests.

mod reports;

use std::collections;
use std::net;
use std::sync;
use std::time::Duration;

use super::caps;
use super::clock;
use super::confirmation;
use super::effect;
use super::engine;
use super::evacuations;
use super::failed_attempts;
use super::fleet;
use super::flight;
use super::gossip;
use super::group;
use super::manifest;
use super::member;
use super::outage;
use super::peers;
use super::position;
use super::retry_budget;
use super::rollouts;
use super::settings;
use super::slot_usage;
use super::suspects;
use super::usage_counts;
use super::waiting;
use super::watcher_promotion;
use crate::name;
use crate::time;

/// Instances that compete for the leases of the duties.
const MAX_CANDIDATES: usize = 3;

/// Identity of an instance.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name.
    pub name: name::Name,
    /// Number of its process.
    pub incarnation: u64,
    /// Where it listens for messages of other instances.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: name::Name,
}

/// The state that [`super::reduce::reduce`] works on.
#[derive(Debug)]
pub struct State {
    /// This instance.
    pub own: Identity,
    /// Bounds of the deployment.
    pub settings: settings::Settings,
    /// The manifest in force.
    pub manifest: Option<sync::Arc<manifest::Manifest>>,
    /// Engines.
    pub fleet: fleet::Fleet,
    /// Usage caps of workspaces.
    pub caps: caps::Caps,
    /// Retry budget.
    pub budget: retry_budget::RetryBudget,
    /// Counts of started requests.
    pub usage_counts: usage_counts::UsageCounts,
    /// Rollouts of services to new versions.
    pub rollouts: rollouts::Rollouts,
    /// Estimate of the true time.
    pub clock: clock::Clock,
    /// Other instances.
    pub peers: peers::Peers,
    /// Failed attempts whose engine may have crashed.
    pub failed_attempts: failed_attempts::FailedAttempts,
    /// Requests and parts of prompts under which engines crashed.
    pub suspects: suspects::Suspects,
    /// Requests in progress.
    pub flights: collections::HashMap<u64, flight::Flight>,
    /// Requests that wait for a slot.
    pub queue: waiting::Queue,
    /// Slots that the requests of this instance occupy.
    pub slot_usage: slot_usage::SlotUsage,
    /// Whether the process is stopping.
    pub leaving: bool,
    /// Whether this instance watches the store.
    pub watching: bool,
    /// When the store last confirmed what this instance knows.
    pub confirmations: confirmation::Confirmations,
    /// Era of the store in which this instance has read it last.
    pub era: u64,
    /// Whether any instance watches the store.
    pub outage: outage::Outage,
    /// Since when the instance that the next list of engines comes from has been known to be ahead.
    pub(super) ahead_since: Option<time::Time>,
    /// When this instance becomes a store watcher.
    pub watcher_promotion: watcher_promotion::WatcherPromotion,
    pub(super) out: Vec<effect::Effect>,
}

impl State {
    /// Returns the state of a process that has just started.
    pub fn new(own: Identity, settings: settings::Settings, clock: clock::Clock) -> Self {
        let process = usage_counts::Process {
            name: own.name.clone(),
            incarnation: own.incarnation,
        };
        let seed = group::selection_key(&own.name);
        let mut fleet = fleet::Fleet::new(own.domain.clone());
        *fleet.evacuations_mut() = evacuations::Evacuations::new(settings.evacuation);
        Self {
            usage_counts: usage_counts::UsageCounts::new(process),
            fleet,
            peers: peers::Peers::new(member::Member {
                name: own.name.clone(),
                domain: own.domain.clone(),
                address: own.address,
            }),
            own,
            settings,
            manifest: None,
            caps: caps::Caps::new(seed),
            budget: retry_budget::RetryBudget::default(),
            rollouts: rollouts::Rollouts::default(),
            clock,
            failed_attempts: failed_attempts::FailedAttempts::default(),
            suspects: suspects::Suspects::default(),
            flights: collections::HashMap::new(),
            queue: waiting::Queue::default(),
            slot_usage: slot_usage::SlotUsage::default(),
            leaving: false,
            watching: false,
            confirmations: confirmation::Confirmations::default(),
            era: 0,
            outage: outage::Outage::default(),
            ahead_since: None,
            watcher_promotion: watcher_promotion::WatcherPromotion::default(),
            out: Vec::new(),
        }
    }

    /// Returns `true` if this instance should watch the store itself.
    pub fn should_watch_store(&self, now: time::Time) -> bool {
        if self.watching {
            return self.lacks_store_watchers(now);
        }
        let rank = watcher_promotion::Rank {
            ranked_before: self.peers.group_peers_before(now, &self.own.name),
            groups: self.peers.groups().count() + 1,
            // One message may be lost.
            propagation: gossip::cycle_time(self.peers.group_peers().count()) + gossip::INTERVAL,
        };
        self.watcher_promotion.is_due(now, rank)
    }

    /// Returns `true` if too few instances that come before this one watch the store.
    pub(super) fn lacks_store_watchers(&self, now: time::Time) -> bool {
        self.peers.store_watchers_before(now, &self.own.name) < watcher_promotion::STORE_WATCHERS
    }

    /// Returns the available engines that are known to run, also where the store has returned from an
    /// older copy or this process has just started.
    pub fn running_engines(&self, now: time::Time) -> impl Iterator<Item = &engine::Engine> {
        let expiry = self.settings.entry_expiry();
        self.fleet.running(now, self.outage.last_end(), expiry)
    }

    /// Returns `true` if entries of engines that have been listed since a time, and still are, have been
    /// written again: those of engines that have ended would have expired by now.
    pub fn are_entries_current(&self, now: time::Time, since: time::Time) -> bool {
        let since = since.max(self.outage.last_end().unwrap_or_default());
        self.outage.is_watched() && since.after(self.settings.entry_expiry()) <= now
    }

    /// Records that the objects of a kind that this instance knows were those of the store at a time.
    pub fn confirm(&mut self, now: time::Time, kind: usize, at: time::Time) {
        let unix = self.clock.unix_micros(now);
        let at = self.clock.unix_micros(at);
        self.confirmations.record(unix, kind, at);
    }

    /// Returns how long ago the objects of a kind, which this instance has read up to `own`, were last
    /// confirmed by the store, to this instance or to others.
    pub fn confirmation_age(
        &mut self,
        now: time::Time,
        kind: usize,
        own: position::Position,
    ) -> Option<Duration> {
        let unix = self.clock.unix_micros(now);
        for at in self.peers.confirmations(now, kind, own) {
            self.confirmations.record(unix, kind, at);
        }
        self.confirmations.age(unix, kind)
    }

    /// Returns the present usage window.
    pub fn window(&self, now: time::Time) -> u64 {
        let length = self.settings.usage_window.as_micros().max(1) as u64;
        self.clock.unix_micros(now) / length
    }

    /// Returns the prefill work, in microseconds, that all instances have sent to a service, as
    /// far as it has been reported here.
    pub fn prefill_work(&self, service: &name::Name) -> u64 {
        let own = self.fleet.prefill_work();
        let own = own.filter(|(name, _)| *name == service).map(|(_, w)| w);
        own.sum::<u64>() + self.peers.prefill_work(service)
    }

    /// Returns this instance's position among the lease candidates, if it is one of them.
    pub fn candidate_rank(&self, now: time::Time) -> Option<usize> {
        let candidates = self.lease_candidates(now);
        candidates.iter().position(|c| c.name == self.own.name)
    }

    /// Returns the lease candidates, in the order of their names.
    pub fn lease_candidates(&self, now: time::Time) -> Vec<member::Member> {
        let mut candidates = self.peers.lease_candidates(now, self.leaving);
        candidates.truncate(MAX_CANDIDATES);
        candidates
    }
}
