//! Compares the versions of rollouts on the requests of one entry.

use std::collections;
use std::collections::btree_map;
use std::mem;
use std::time::Duration;

use crate::fact;
use crate::name;
use crate::peering;
use crate::rollout::{evidence, sample, series, status};
use crate::time;

/// Time between two evaluations.
const INTERVAL: Duration = Duration::from_millis(500);
/// Largest number of pairs of service and route; requests of others are not recorded.
const MAX_ROUTES: usize = 256;

/// Compares each request of one entry with recent requests of the old version.
///
/// It depends on neither the store nor a peer, so it halts a rollout as soon as it detects a
/// regression. It also aggregates reports for the controller, which combines those of all entries.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    rollouts: collections::BTreeMap<name::Name, MonitoredRollout>,
    routes: collections::BTreeMap<Key, RouteDurations>,
    interval: Reports,
    pending: Reports,
    next: time::Time,
}

#[derive(Clone, Debug)]
struct MonitoredRollout {
    status: status::Status,
    evidence: evidence::Evidence,
    halted: bool,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Key {
    service: name::Name,
    route: name::Name,
}

/// Recent durations of the old version on one route.
#[derive(Clone, Debug)]
struct RouteDurations {
    version: name::Name,
    first_token: series::Series,
    gap: series::Series,
}

#[derive(Clone, Debug, Default)]
struct Reports(collections::BTreeMap<(Key, name::Name), peering::Report>);

impl Monitor {
    /// Builds a monitor without rollouts and samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adopts the rollouts in force; ended and unlisted rollouts are no longer monitored.
    pub fn adopt(&mut self, statuses: &[status::Status]) {
        let mut rollouts = collections::BTreeMap::new();
        for status in statuses.iter().filter(|status| !status.phase.is_end()) {
            let old = self.rollouts.remove(&status.service);
            let rollout = old
                .filter(|old| old.status.generation == status.generation)
                .unwrap_or_else(|| MonitoredRollout::new(status));
            rollouts.insert(status.service.clone(), rollout);
        }
        self.rollouts = rollouts;
    }

    /// Records the sample of one request.
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
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&key) {
            return;
        }
        let rollout = self.rollouts.get(service);
        let old = rollout.map_or(version, |rollout| &rollout.status.from);
        let durations = self
            .routes
            .entry(key.clone())
            .or_insert_with(|| RouteDurations::new(old));
        durations.set_version(old);
        if rollout.is_some_and(|rollout| rollout.status.involves(version)) {
            self.interval.add(durations.evaluate(&key, version, sample));
        }
        if version == old {
            durations.record(sample);
        }
    }

    /// Evaluates the samples once per interval and returns a halt, once, for each regression.
    pub fn detect_regressions(&mut self, now: time::Time) -> Vec<fact::Fact> {
        if now < self.next {
            return Vec::new();
        }
        self.next = now.after(INTERVAL);
        let interval = mem::take(&mut self.interval);
        let mut facts = Vec::new();
        for rollout in self.rollouts.values_mut() {
            rollout.evidence.add(now, interval.0.values());
            if !rollout.halted && rollout.evidence.regression().is_some() {
                rollout.halted = true;
                facts.push(rollout.status.halt_fact());
            }
        }
        interval
            .0
            .into_values()
            .for_each(|report| self.pending.add(report));
        facts
    }

    /// Returns the reports since the last call and clears them.
    pub fn drain(&mut self) -> Vec<peering::Report> {
        mem::take(&mut self.pending).0.into_values().collect()
    }
}

impl MonitoredRollout {
    fn new(status: &status::Status) -> Self {
        Self {
            status: status.clone(),
            evidence: evidence::Evidence::new(status),
            halted: false,
        }
    }
}

impl RouteDurations {
    fn new(version: &name::Name) -> Self {
        Self {
            version: version.clone(),
            first_token: series::Series::default(),
            gap: series::Series::default(),
        }
    }

    fn set_version(&mut self, version: &name::Name) {
        if self.version != *version {
            *self = Self::new(version);
        }
    }

    fn evaluate(&self, key: &Key, version: &name::Name, sample: sample::Sample) -> peering::Report {
        let late = sample.first_token > 0 && self.first_token.is_late(sample.excess());
        let stalled = sample.gap > 0 && self.gap.is_late(sample.gap);
        peering::Report {
            requests: 1,
            errors: u64::from(sample.failed),
            slow: u64::from(!sample.failed && late),
            stalls: u64::from(!sample.failed && stalled),
            loaded: u64::from(sample.loaded),
            ttft_sum: sample.first_token,
            ..peering::Report::empty(
                key.service.clone(),
                version.clone(),
                route_label(key, sample),
            )
        }
    }

    fn record(&mut self, sample: sample::Sample) {
        if sample.failed {
            return;
        }
        if sample.first_token > 0 {
            self.first_token.add(sample.excess());
        }
        if sample.gap > 0 {
            self.gap.add(sample.gap);
        }
    }
}

impl Reports {
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

/// Returns the route label, which is separate for loaded upstreams.
///
/// Otherwise the other requests of the route would hide a regression that occurs only under load.
fn route_label(key: &Key, sample: sample::Sample) -> name::Name {
    if sample.loaded {
        return name::Name::from(format!("{} under load", key.route));
    }
    key.route.clone()
}
