//! All that an instance knows for opaque forwarding.

use std::collections;
use std::net;
use std::sync;

use super::budget;
use super::caps;
use super::census;
use super::clock;
use super::digest;
use super::effect;
use super::fleet;
use super::flight;
use super::manifest;
use super::outage;
use super::peers;
use super::rollouts;
use super::settings;
use super::suspects;
use crate::name;
use crate::time;

/// Windows that a digest tells.
const TOLD_WINDOWS: usize = 3;

/// Who an instance is.
#[derive(Clone, Debug)]
pub struct Own {
    /// Its name.
    pub name: name::Name,
    /// Number of its process.
    pub incarnation: u64,
    /// Where it listens for digests.
    pub address: net::SocketAddr,
    /// The failure domain that it runs in.
    pub domain: name::Name,
}

/// The state that [`super::reduce::reduce`] works on.
#[derive(Debug)]
pub struct State {
    /// This instance.
    pub own: Own,
    /// Bounds of the deployment.
    pub settings: settings::Settings,
    /// The manifest in force.
    pub manifest: Option<sync::Arc<manifest::Manifest>>,
    /// Engines.
    pub fleet: fleet::Fleet,
    /// Usage caps.
    pub caps: caps::Caps,
    /// Repeats.
    pub budget: budget::Budget,
    /// Requests that this process saw begin.
    pub census: census::Census,
    /// The same of other processes.
    pub others: collections::BTreeMap<Process, census::Census>,
    /// Moves of services to new versions.
    pub rollouts: rollouts::Rollouts,
    /// True time.
    pub clock: clock::Clock,
    /// Other instances.
    pub peers: peers::Peers,
    /// Requests under which engines crash.
    pub suspects: suspects::Suspects,
    /// Requests in progress.
    pub flights: collections::HashMap<u64, flight::Flight>,
    /// Whether the process is stopping.
    pub leaving: bool,
    /// Whether it hears of each change from the store.
    pub fed: bool,
    /// Whether any instance does.
    pub outage: outage::Outage,
    pub(super) out: Vec<effect::Effect>,
}

/// One process of one instance.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Process {
    /// The instance.
    pub name: name::Name,
    /// Number of the process.
    pub incarnation: u64,
}

impl State {
    /// Returns the state of a process that has just started.
    pub fn new(own: Own, settings: settings::Settings, clock: clock::Clock) -> Self {
        Self {
            fleet: fleet::Fleet::new(own.domain.clone()),
            peers: peers::Peers::new(own.address),
            own,
            settings,
            manifest: None,
            caps: caps::Caps::default(),
            budget: budget::Budget::default(),
            census: census::Census::default(),
            others: collections::BTreeMap::new(),
            rollouts: rollouts::Rollouts::default(),
            clock,
            suspects: suspects::Suspects::default(),
            flights: collections::HashMap::new(),
            leaving: false,
            fed: false,
            outage: outage::Outage::default(),
            out: Vec::new(),
        }
    }

    /// Tells whether this instance is to hear of changes from the store itself, because not enough
    /// of those before it in the order of their names do.
    pub fn is_feeder(&self, now: time::Time) -> bool {
        /// Instances that hear of changes from the store and tell the others.
        const FEEDERS: usize = 3;
        self.peers.fed_before(now, &self.own.name) < FEEDERS
    }

    /// Returns the usage window of the present.
    pub fn window(&self, now: time::Time) -> u64 {
        let length = self.settings.usage_window.as_micros().max(1) as u64;
        self.clock.micros(now) / length
    }

    /// Returns the requests that began in a window at any instance, by workspace.
    pub fn begun(&self, window: u64) -> collections::BTreeMap<name::Name, u32> {
        let mut sum = collections::BTreeMap::new();
        let all = self.others.values().chain([&self.census]);
        for (workspace, begun) in all.flat_map(|census| census.of(window)) {
            *sum.entry(workspace.clone()).or_default() += begun;
        }
        sum
    }

    /// Returns the counts of the newest windows at all instances together.
    pub fn counts(&self) -> Vec<census::Count> {
        let present = self.others.values().chain([&self.census]);
        let all = present.flat_map(|census| census.newest(TOLD_WINDOWS));
        let mut sum = collections::BTreeMap::<_, u32>::new();
        for count in all {
            let begun = sum.entry((count.window, count.workspace)).or_default();
            *begun = begun.saturating_add(count.begun);
        }
        let counts = sum.into_iter();
        counts
            .map(|((window, workspace), begun)| census::Count {
                window,
                workspace,
                begun,
            })
            .collect()
    }

    /// Takes over the copy of all counts that an earlier holder of the lease left.
    ///
    /// It counts only where it tells of more than is known here: its processes may still live.
    pub fn restore(&mut self, counts: Vec<census::Count>) {
        let known = self.counts();
        let lost = counts.into_iter().filter_map(|count| {
            let same =
                |k: &&census::Count| k.window == count.window && k.workspace == count.workspace;
            let here = known.iter().find(same).map_or(0, |k| k.begun);
            let begun = count.begun.saturating_sub(here);
            (begun > 0).then_some(census::Count { begun, ..count })
        });
        let lost: Vec<_> = lost.collect();
        let process = Process {
            name: name::Name::from(""),
            incarnation: 0,
        };
        self.others.entry(process).or_default().merge(&lost);
    }

    /// Returns the microseconds of reading that all instances have given to a service, as far as
    /// they are heard.
    pub fn work(&self, service: &name::Name) -> u64 {
        let own = self.fleet.work();
        let own = own.filter(|(name, _)| *name == service).map(|(_, w)| w);
        own.sum::<u64>() + self.peers.work(service)
    }

    /// Returns what to tell the other instances; the shell adds how far it has read.
    pub fn digest(&self, now: time::Time, positions: Vec<digest::Position>) -> digest::Digest {
        let spent = self.caps.spent().map(|(workspace, units)| digest::Spent {
            workspace: workspace.clone(),
            units,
            level: self.caps.level(now, workspace),
        });
        let work = self.fleet.work().map(|(service, micros)| digest::Work {
            service: service.clone(),
            micros,
        });
        digest::Digest {
            sender: self.own.name.clone(),
            incarnation: self.own.incarnation,
            address: self.own.address,
            micros: self.clock.micros(now),
            leaving: self.leaving,
            fed: self.fed,
            positions,
            loads: self.fleet.loads(),
            work: work.collect(),
            spent: spent.collect(),
            counts: self.census.newest(TOLD_WINDOWS),
            trials: self.rollouts.told(),
            crashes: self.suspects.told(),
            members: self.peers.told(now),
        }
    }
}
