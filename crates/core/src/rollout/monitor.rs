//! The evidence of one entry.

use std::collections;
use std::collections::btree_map;
use std::mem;
use std::time::Duration;

use crate::fact;
use crate::name;
use crate::peering;
use crate::rollout::{evidence, sample, series, status};
use crate::time;

/// How often the evidence is judged.
const INTERVAL: Duration = Duration::from_millis(500);
/// Pairs of service and route that are watched; further ones are left out.
const MAX_LANES: usize = 256;

/// Judges each request of one entry against the old version's recent ones.
///
/// It needs neither the store nor a peer: a fault seen here is stated at once. It also sums what
/// it saw for the controller, which pools all entries.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    trials: collections::BTreeMap<name::Name, Trial>,
    lanes: collections::BTreeMap<Key, Lane>,
    interval: Sums,
    pending: Sums,
    next: time::Time,
}

#[derive(Clone, Debug)]
struct Trial {
    status: status::Status,
    evidence: evidence::Evidence,
    halted: bool,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Key {
    service: name::Name,
    route: name::Name,
}

/// Recent times of the version that is compared with.
#[derive(Clone, Debug)]
struct Lane {
    version: name::Name,
    first: series::Series,
    gap: series::Series,
}

#[derive(Clone, Debug, Default)]
struct Sums(collections::BTreeMap<(Key, name::Name), peering::Report>);

impl Monitor {
    /// Builds a monitor that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over the rollouts in force; those that ended or are not listed are watched no more.
    pub fn adopt(&mut self, statuses: &[status::Status]) {
        let mut trials = collections::BTreeMap::new();
        for status in statuses.iter().filter(|status| !status.phase.is_end()) {
            let old = self.trials.remove(&status.service);
            let trial = old
                .filter(|old| old.status.generation == status.generation)
                .unwrap_or_else(|| Trial::new(status));
            trials.insert(status.service.clone(), trial);
        }
        self.trials = trials;
    }

    /// Records one request.
    pub fn record(
        &mut self,
        now: time::Time,
        service: &name::Name,
        version: &name::Name,
        route: &name::Name,
        sample: sample::Sample,
    ) {
        if self.next == time::Time::default() {
            self.next = now.after(INTERVAL);
        }
        let key = Key {
            service: service.clone(),
            route: route.clone(),
        };
        if self.lanes.len() >= MAX_LANES && !self.lanes.contains_key(&key) {
            return;
        }
        let trial = self.trials.get(service);
        let old = trial.map_or(version, |trial| &trial.status.from);
        let lane = self
            .lanes
            .entry(key.clone())
            .or_insert_with(|| Lane::new(old));
        lane.follow(old);
        if trial.is_some_and(|trial| trial.status.involves(version)) {
            self.interval.add(lane.judge(&key, version, sample));
        }
        if version == old {
            lane.learn(sample);
        }
    }

    /// Judges the evidence and returns each new fault once.
    pub fn faults(&mut self, now: time::Time) -> Vec<fact::Fact> {
        if now < self.next {
            return Vec::new();
        }
        self.next = now.after(INTERVAL);
        let interval = mem::take(&mut self.interval);
        let mut facts = Vec::new();
        for trial in self.trials.values_mut() {
            trial.evidence.add(now, interval.0.values());
            if !trial.halted && trial.evidence.regression().is_some() {
                trial.halted = true;
                facts.push(trial.status.halt_fact());
            }
        }
        interval
            .0
            .into_values()
            .for_each(|report| self.pending.add(report));
        facts
    }

    /// Takes the sums since the last call.
    pub fn drain(&mut self) -> Vec<peering::Report> {
        mem::take(&mut self.pending).0.into_values().collect()
    }
}

impl Trial {
    fn new(status: &status::Status) -> Self {
        Self {
            status: status.clone(),
            evidence: evidence::Evidence::new(status),
            halted: false,
        }
    }
}

impl Lane {
    fn new(version: &name::Name) -> Self {
        Self {
            version: version.clone(),
            first: series::Series::default(),
            gap: series::Series::default(),
        }
    }

    fn follow(&mut self, version: &name::Name) {
        if self.version != *version {
            *self = Self::new(version);
        }
    }

    fn judge(&self, key: &Key, version: &name::Name, sample: sample::Sample) -> peering::Report {
        let late = sample.first > 0 && self.first.is_late(sample.excess());
        let stalled = sample.gap > 0 && self.gap.is_late(sample.gap);
        peering::Report {
            requests: 1,
            errors: u64::from(sample.failed),
            slow: u64::from(!sample.failed && late),
            stalls: u64::from(!sample.failed && stalled),
            loaded: u64::from(sample.loaded),
            ttft_sum: sample.first,
            ..peering::Report::empty(key.service.clone(), version.clone(), label(key, sample))
        }
    }

    fn learn(&mut self, sample: sample::Sample) {
        if sample.failed {
            return;
        }
        if sample.first > 0 {
            self.first.add(sample.excess());
        }
        if sample.gap > 0 {
            self.gap.add(sample.gap);
        }
    }
}

impl Sums {
    fn add(&mut self, report: peering::Report) {
        let key = Key {
            service: report.service.clone(),
            route: report.route.clone(),
        };
        match self.0.entry((key, report.version.clone())) {
            btree_map::Entry::Occupied(mut sum) => sum.get_mut().add(&report),
            btree_map::Entry::Vacant(sum) => {
                sum.insert(report);
            }
        }
    }
}

/// Returns the route, told apart by load, so that a fault under load is not drowned.
fn label(key: &Key, sample: sample::Sample) -> name::Name {
    if sample.loaded {
        return name::Name::from(format!("{} under load", key.route));
    }
    key.route.clone()
}
