//! Rollouts of services to new versions.
//!
//! A new version gets a small share of the requests until shortly before its deadline, and all of
//! them only once the rollout is completed: a version may regress late, and the requests that it
//! has received by then are bounded. Each instance compares the responses of the new version with
//! those of the old one, on all routes together and on each, including the stats that other
//! instances report, and stops sending to a bad version at once. The lease holder writes the
//! status.

mod arrival;
mod completed;
mod evidence;
mod order;
mod outcomes;
mod rollout;
mod sampling;
mod sequential;
mod status_update;
mod tally;
mod version_filter;

pub use arrival::Arrival;
pub use order::{Order, Stage};
pub use outcomes::Outcomes;
pub use status_update::StatusUpdate;
pub use version_filter::VersionFilter;

use std::collections;
use std::time::Duration;

use super::canary_samples;
use super::settings;
use super::usage_counts;
use crate::name;

/// Share of the allowed canary share that is used.
const CANARY_MARGIN: f64 = 0.7;
/// Processes whose stats are kept for one rollout.
const MAX_PROCESSES: usize = 4_096;
/// Rollouts of all services.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    rollouts: collections::BTreeMap<name::Name, rollout::Rollout>,
}

impl Rollouts {
    /// Replaces the orders by those in the store and keeps the stats of unchanged rollouts; `micros`
    /// is the true time.
    pub fn replace(&mut self, micros: u64, orders: Vec<Order>) {
        let mut old = std::mem::take(&mut self.rollouts);
        for order in orders {
            let known = old.remove(&order.service);
            let rollout = rollout::Rollout::with_order(known, micros, order);
            self.rollouts.insert(rollout.order.service.clone(), rollout);
        }
    }

    /// Adopts one order that was read from the store, unless a later one is known.
    pub fn adopt(&mut self, micros: u64, order: Order) {
        let known = self.rollouts.remove(&order.service);
        let rollout = rollout::Rollout::with_order(known, micros, order);
        self.rollouts.insert(rollout.order.service.clone(), rollout);
    }

    /// Returns the rollout order of a service, if there is one.
    pub fn order(&self, service: &name::Name) -> Option<&Order> {
        self.rollouts.get(service).map(|rollout| &rollout.order)
    }

    /// Returns the versions that a request may be sent to and counts the request. A retry is never
    /// sent to a new version whose rollout is in progress.
    pub fn version_filter(
        &mut self,
        settings: &settings::Settings,
        arrival: Arrival<'_>,
    ) -> VersionFilter {
        let Some(rollout) = self.rollouts.get_mut(arrival.service) else {
            return VersionFilter::default();
        };
        let target = Some(rollout.order.target.clone());
        let is_bad = rollout.is_bad();
        let exclude = VersionFilter {
            excluded: target.clone(),
            allows_excluded: match rollout.order.stage {
                Stage::Ordered | Stage::Running => !is_bad,
                Stage::Completed => true,
                Stage::RolledBack => false,
            },
            ..VersionFilter::default()
        };
        let only = VersionFilter {
            only: target,
            allows_others: rollout.is_open(),
            ..VersionFilter::default()
        };
        match rollout.order.stage {
            Stage::Completed if rollout.is_failing() => return exclude,
            Stage::Completed => return only,
            Stage::RolledBack => return exclude,
            Stage::Ordered | Stage::Running => {}
        }
        if arrival.is_retry || is_bad {
            return exclude;
        }
        let sum = rollout.sum();
        let unknown = tally::Tally::default();
        let tally = rollout.tallies.get(arrival.route).unwrap_or(&unknown);
        let view = sampling::View {
            route: arrival.route,
            phase: sampling::phase(arrival.instance, arrival.service, arrival.route),
            share: settings.canary_share * CANARY_MARGIN,
            max_share: settings.canary_share,
            slack: settings.canary_slack,
            elapsed: rollout.elapsed(arrival.micros),
            scale: arrival.scale,
            sum: &sum,
            pair: tally.pair,
            needed: sequential::Weights::new(tally.pair.old, sum.old).needed(tally),
            routes: rollout.tallies.len(),
        };
        match rollout.sampler.takes(&view) {
            true => only,
            false => exclude,
        }
    }

    /// Records a response of a version; returns whether a completed version is failing if that has
    /// changed.
    pub fn record_response(
        &mut self,
        service: &name::Name,
        route: &name::Name,
        version: &name::Name,
        is_success: bool,
    ) -> Option<bool> {
        let rollout = self.rollouts.get_mut(service)?;
        rollout.record(route, version, |stats| {
            stats.responses += 1;
            stats.errors += u32::from(!is_success);
        });
        let is_target = rollout.order.target == *version;
        let completed = rollout.completed.as_mut().filter(|_| is_target)?;
        completed.record(route, is_success)
    }

    /// Records the delay of a first event relative to the expected delay.
    pub fn record_first_event(
        &mut self,
        service: &name::Name,
        route: &name::Name,
        version: &name::Name,
        took: Duration,
        expected: Duration,
    ) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.record(route, version, |stats| {
                stats.record_first_event(took, expected);
            });
        }
    }

    /// Merges the stats that a process of another instance reports.
    pub fn merge(
        &mut self,
        from: &usage_counts::Process,
        reported: &[canary_samples::CanarySamples],
    ) {
        for rollout in self.rollouts.values_mut() {
            let matching = reported
                .iter()
                .filter(|r| r.service == rollout.order.service && r.target == rollout.order.target);
            let matching: Vec<_> = matching.cloned().collect();
            let known = rollout
                .others
                .get(from)
                .map_or(0, |known| sample_count(known));
            let has_capacity = rollout.others.len() < MAX_PROCESSES || known > 0;
            if sample_count(&matching) > known && has_capacity {
                rollout.replace_report(from, matching);
            }
        }
    }

    /// Returns this process's own stats, which it sends to the other instances.
    pub fn local_stats(&self) -> Vec<canary_samples::CanarySamples> {
        /// Routes in one digest.
        const MAX_ROUTES: usize = 24;
        let open = self.rollouts.values().filter(|r| r.is_open());
        let stats = open.flat_map(|rollout| {
            rollout
                .own
                .iter()
                .map(|(route, pair)| canary_samples::CanarySamples {
                    service: rollout.order.service.clone(),
                    target: rollout.order.target.clone(),
                    route: route.clone(),
                    pair: *pair,
                })
        });
        stats.take(MAX_ROUTES).collect()
    }

    /// Returns the status changes that the lease holder writes; `micros` is the true time.
    pub fn status_updates(&self, settings: &settings::Settings, micros: u64) -> Vec<StatusUpdate> {
        let share = settings.canary_share * CANARY_MARGIN;
        let due = self.rollouts.values();
        let due = due.filter(|r| r.is_open() || r.is_lost);
        due.filter_map(|rollout| rollout.status_update(share, micros))
            .collect()
    }

    /// Returns the orders whose completed version fails at this instance.
    pub fn failing(&self) -> impl Iterator<Item = &Order> {
        let failing = self.rollouts.values().filter(|r| r.is_failing());
        failing.map(|rollout| &rollout.order)
    }
}

/// Returns the responses and timed first events of both versions on all routes; for one process
/// the number never decreases.
fn sample_count(reported: &[canary_samples::CanarySamples]) -> u64 {
    let stats = reported
        .iter()
        .flat_map(|trial| [trial.pair.new, trial.pair.old]);
    stats
        .map(|stats| u64::from(stats.responses) + u64::from(stats.timed))
        .sum()
}
