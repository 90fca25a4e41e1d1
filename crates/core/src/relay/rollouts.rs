//! Rollouts of services to new versions.
//!
//! A new version gets a small share of the requests until shortly before its deadline, and all of
//! them only once the rollout is completed: a version may regress late, and the requests that it
//! has received by then are bounded. Each instance compares the responses of the new version with
//! those of the old one, on all routes together and on each, including the stats that other
//! instances report, and stops sending to a bad version at once. The lease holder writes the
//! status.

mod completed;
mod evidence;
mod sampling;

use std::collections;
use std::time::Duration;

use super::canary_samples;
use super::revision;
use super::settings;
use super::usage_counts;
use super::version_stats;
use crate::name;

/// Share of the allowed canary share that is used.
const CANARY_MARGIN: f64 = 0.7;
/// Share of the duration after which a version without faults is completed if it has responses
/// enough on each route.
const COMPLETE_AFTER: f64 = 0.75;
/// Share of the duration after which routes that are too quiet to be judged no longer delay the
/// completion. What remains of the 12 s of a short rollout suffices for a write and a repetition.
const LAST_DECISION_AFTER: f64 = 0.88;
/// Share of the duration after which a version with too few responses is rolled back.
const ROLL_BACK_AFTER: f64 = 0.93;
/// Share of the duration for which an instance must have seen the rollout, so that it takes a lack
/// of responses for a lack of requests: it may have lost what it knew in a restart.
const MIN_OBSERVED: f64 = 0.25;
/// Processes whose stats are kept for one rollout.
const MAX_PROCESSES: usize = 4_096;
/// Stage of a rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// No lease holder has started it.
    Ordered,
    /// The new version gets a share of the requests.
    Running,
    /// The new version serves all requests.
    Completed,
    /// The old version serves all requests.
    RolledBack,
}

impl Stage {
    /// Returns the place in the order in which stages follow each other.
    const fn rank(self) -> u8 {
        match self {
            Self::Ordered => 0,
            Self::Running => 1,
            Self::Completed | Self::RolledBack => 2,
        }
    }
}

/// A rollout as the operator ordered it and as its status says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The service.
    pub service: name::Name,
    /// The new version.
    pub target: name::Name,
    /// Longest duration of the rollout.
    pub duration: Duration,
    /// Stage of the rollout.
    pub stage: Stage,
    /// True time of the deadline in microseconds; none until a lease holder has started the
    /// rollout.
    pub deadline_micros: Option<u64>,
    /// Revision of the object in the store.
    pub revision: u64,
}

/// Restricts the versions of the engines that a request may be sent to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VersionFilter {
    /// The only version allowed, if set.
    pub only: Option<name::Name>,
    /// Whether other versions are allowed while all engines of the `only` version are on hold.
    pub allows_others: bool,
    /// The version that is not allowed, if set.
    pub excluded: Option<name::Name>,
    /// Whether the excluded version is allowed when no engine of another version is left. The old
    /// engines stop as soon as a rollout is completed, and some instances receive that update
    /// later than others.
    pub allows_excluded: bool,
}

/// A change of a rollout's status that the lease holder writes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StatusUpdate {
    /// The service.
    pub service: name::Name,
    /// The new version.
    pub target: name::Name,
    /// The new stage.
    pub stage: Stage,
    /// True time of the deadline in microseconds.
    pub deadline_micros: u64,
    /// Revision of the object on which the change is based; the write is conditional on it.
    pub revision: u64,
}

/// A request that is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Its service.
    pub service: &'a name::Name,
    /// Its route.
    pub route: &'a name::Name,
    /// Whether another engine was tried before.
    pub is_retry: bool,
    /// True time in microseconds.
    pub micros: u64,
    /// This instance.
    pub instance: &'a name::Name,
    /// Number of instances for each one whose responses are known here.
    pub scale: f64,
}

#[derive(Clone, Debug)]
struct Rollout {
    order: Order,
    /// Whether the store has lost the status by returning from an older copy.
    is_lost: bool,
    /// True time at which this process first saw the order, in microseconds.
    seen_micros: u64,
    sampler: sampling::Sampler,
    /// Set once the rollout is completed.
    completed: Option<completed::Completed>,
    own: collections::BTreeMap<name::Name, version_stats::Pair>,
    /// Stats that each process reports; those of ended processes are kept.
    others: collections::BTreeMap<usage_counts::Process, Vec<canary_samples::CanarySamples>>,
}

/// Rollouts of all services.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    rollouts: collections::BTreeMap<name::Name, Rollout>,
}

impl Rollouts {
    /// Replaces the orders by those in the store and keeps the stats of unchanged rollouts; `micros`
    /// is the true time.
    pub fn replace(&mut self, micros: u64, orders: Vec<Order>) {
        let mut old = std::mem::take(&mut self.rollouts);
        for order in orders {
            let known = old.remove(&order.service);
            let rollout = Rollout::with_order(known, micros, order);
            self.rollouts.insert(rollout.order.service.clone(), rollout);
        }
    }

    /// Adopts one order that was read from the store, unless a later one is known.
    pub fn adopt(&mut self, micros: u64, order: Order) {
        let known = self.rollouts.remove(&order.service);
        let rollout = Rollout::with_order(known, micros, order);
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
        let pairs = rollout.pairs();
        let is_bad = is_bad(&pairs);
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
        let view = sampling::View {
            route: arrival.route,
            phase: sampling::phase(arrival.instance, arrival.service, arrival.route),
            share: settings.canary_share * CANARY_MARGIN,
            max_share: settings.canary_share,
            slack: settings.canary_slack,
            elapsed: rollout.elapsed(arrival.micros),
            scale: arrival.scale,
            sum: &sum(&pairs),
            pair: pairs.get(arrival.route).copied().unwrap_or_default(),
            routes: pairs.len(),
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
        let stats = self.stats_mut(service, route, version)?;
        stats.responses += 1;
        stats.errors += u32::from(!is_success);
        let rollout = self.rollouts.get_mut(service)?;
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
        if let Some(stats) = self.stats_mut(service, route, version) {
            stats.record_first_event(took, expected);
        }
    }

    fn stats_mut(
        &mut self,
        service: &name::Name,
        route: &name::Name,
        version: &name::Name,
    ) -> Option<&mut version_stats::VersionStats> {
        let rollout = self.rollouts.get_mut(service)?;
        let pair = rollout.own.entry(route.clone()).or_default();
        Some(match *version == rollout.order.target {
            true => &mut pair.new,
            false => &mut pair.old,
        })
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
                rollout.others.insert(from.clone(), matching);
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

impl Rollout {
    /// Returns the rollout after its order was read. An order with a lower revision than the known
    /// one changes nothing: a peer or a watch may report it late.
    fn with_order(known: Option<Self>, micros: u64, order: Order) -> Self {
        let rollout = match known {
            Some(known) if known.order.revision > order.revision => return known,
            Some(known) if known.order.target == order.target => {
                let is_lost = known.has_lost_status(&order);
                let order = match is_lost {
                    true => Order {
                        stage: known.order.stage,
                        deadline_micros: known.order.deadline_micros,
                        ..order
                    },
                    false => order,
                };
                Self {
                    order,
                    is_lost,
                    ..known
                }
            }
            _ => Self {
                order,
                is_lost: false,
                seen_micros: micros,
                sampler: sampling::Sampler::default(),
                completed: None,
                own: collections::BTreeMap::new(),
                others: collections::BTreeMap::new(),
            },
        };
        let completed = match rollout.order.stage {
            Stage::Completed => {
                let known = rollout.completed.clone();
                Some(known.unwrap_or_else(|| completed::Completed::new(rollout.pairs())))
            }
            _ => None,
        };
        Self {
            completed,
            ..rollout
        }
    }

    /// Returns `true` if the store has lost the known status by returning from an older copy, and has
    /// not got it again with this order.
    fn has_lost_status(&self, order: &Order) -> bool {
        let era = |order: &Order| revision::Revision::from_packed(order.revision).era();
        let is_returned = self.is_lost || era(order) > era(&self.order);
        is_returned && self.order.stage.rank() > order.stage.rank()
    }

    /// Returns `true` if the rollout is completed and the version fails since.
    fn is_failing(&self) -> bool {
        let completed = self.completed.as_ref();
        completed.is_some_and(completed::Completed::is_failing)
    }

    /// Returns the elapsed share of the duration; `None` if the rollout has not started.
    fn elapsed(&self, micros: u64) -> Option<f64> {
        let duration = self.order.duration.as_micros() as f64;
        let remaining = self.order.deadline_micros?.saturating_sub(micros) as f64;
        Some(1.0 - remaining / duration.max(1.0))
    }

    fn is_open(&self) -> bool {
        matches!(self.order.stage, Stage::Ordered | Stage::Running)
    }

    fn status_update(&self, share: f64, micros: u64) -> Option<StatusUpdate> {
        let duration = self.order.duration.as_micros() as u64;
        let deadline = self
            .order
            .deadline_micros
            .unwrap_or(micros.saturating_add(duration));
        let is_after = |share: f64| {
            micros >= deadline.saturating_sub((duration as f64 * (1.0 - share)) as u64)
        };
        let pairs = self.pairs();
        let stage = if self.is_lost {
            self.order.stage
        } else if is_bad(&pairs) {
            Stage::RolledBack
        } else if is_after(COMPLETE_AFTER)
            && self.may_complete(&pairs, share, micros, is_after(LAST_DECISION_AFTER))
        {
            Stage::Completed
        } else if is_after(ROLL_BACK_AFTER) {
            Stage::RolledBack
        } else {
            Stage::Running
        };
        let is_changed = self.is_lost || stage != self.order.stage;
        is_changed.then(|| StatusUpdate {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            stage,
            deadline_micros: deadline,
            revision: self.order.revision,
        })
    }

    /// Returns `true` if the new version has enough responses to pass.
    fn may_complete(
        &self,
        pairs: &collections::BTreeMap<name::Name, version_stats::Pair>,
        share: f64,
        micros: u64,
        is_last: bool,
    ) -> bool {
        let sum = sum(pairs);
        let duration = self.order.duration.as_micros() as f64;
        let observed = micros.saturating_sub(self.seen_micros) as f64;
        let is_known =
            observed >= duration * MIN_OBSERVED || sum.new.responses >= version_stats::MIN_TIMED;
        let mut routes = pairs.values().map(|pair| evidence::of_route(pair, share));
        is_known
            && evidence::is_enough(&sum, share)
            && routes.all(|evidence| match evidence {
                evidence::Evidence::Sufficient => true,
                evidence::Evidence::TooQuiet => is_last,
                evidence::Evidence::Missing | evidence::Evidence::OnlyErrors => false,
            })
    }

    /// Returns the stats of all instances by route.
    fn pairs(&self) -> collections::BTreeMap<name::Name, version_stats::Pair> {
        let mut pairs = self.own.clone();
        for reported in self.others.values().flatten() {
            let pair = pairs.entry(reported.route.clone()).or_default();
            *pair = *pair + reported.pair;
        }
        pairs
    }
}

fn is_bad(pairs: &collections::BTreeMap<name::Name, version_stats::Pair>) -> bool {
    version_stats::is_bad(&sum(pairs)) || pairs.values().any(version_stats::is_bad)
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

fn sum(pairs: &collections::BTreeMap<name::Name, version_stats::Pair>) -> version_stats::Pair {
    let all = pairs.values();
    all.fold(version_stats::Pair::default(), |sum, pair| sum + *pair)
}
