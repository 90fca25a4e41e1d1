//! One rollout: what is known of its versions, and the stage that follows.

use std::collections;

use super::completed;
use super::evidence;
use super::order;
use super::outcomes;
use super::sampling;
use super::sequential;
use super::status_update;
use super::tally;
use crate::name;
use crate::relay::canary_samples;
use crate::relay::revision;
use crate::relay::usage_counts;
use crate::relay::version_stats;

/// Share of the duration after which a version without faults is completed if it has responses
/// enough on each route.
const COMPLETE_AFTER: f64 = 0.75;
/// Share of the duration after which routes that are too quiet to be judged no longer delay the
/// completion. What remains of the 12 s of a short rollout suffices for a write and a repetition.
pub(super) const LAST_DECISION_AFTER: f64 = 0.88;
/// Share of the duration after which a version with too few responses is rolled back.
const ROLL_BACK_AFTER: f64 = 0.93;
/// Share of the duration for which an instance must have seen the rollout, so that it takes a lack
/// of responses for a lack of requests: it may have lost what it knew in a restart.
const MIN_OBSERVED: f64 = 0.25;

/// A rollout with what is known of its versions.
#[derive(Clone, Debug)]
pub(super) struct Rollout {
    pub order: order::Order,
    /// Whether the store has lost the status by returning from an older copy.
    pub is_lost: bool,
    /// True time at which this process first saw the order, in microseconds.
    seen_micros: u64,
    pub sampler: sampling::Sampler,
    /// Set once the rollout is completed.
    pub completed: Option<completed::Completed>,
    pub own: collections::BTreeMap<name::Name, version_stats::Pair>,
    /// Stats that each process reports; those of ended processes are kept.
    pub others: collections::BTreeMap<usage_counts::Process, Vec<canary_samples::CanarySamples>>,
    /// Stats of all instances by route.
    pub tallies: collections::BTreeMap<name::Name, tally::Tally>,
}

impl Rollout {
    /// Returns the rollout after its order was read. An order with a lower revision than the known
    /// one changes nothing: a peer or a watch may report it late.
    pub fn with_order(known: Option<Self>, micros: u64, order: order::Order) -> Self {
        let rollout = match known {
            Some(known) if known.order.revision > order.revision => return known,
            Some(known) if known.order.target == order.target => {
                let is_lost = known.has_lost_status(&order);
                let order = match is_lost {
                    true => order::Order {
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
                tallies: collections::BTreeMap::new(),
            },
        };
        let completed = match rollout.order.stage {
            order::Stage::Completed => {
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
    fn has_lost_status(&self, order: &order::Order) -> bool {
        let era = |order: &order::Order| revision::Revision::from_packed(order.revision).era();
        let is_returned = self.is_lost || era(order) > era(&self.order);
        is_returned && self.order.stage.rank() > order.stage.rank()
    }

    /// Returns `true` if the rollout is completed and the version fails since.
    pub fn is_failing(&self) -> bool {
        let completed = self.completed.as_ref();
        completed.is_some_and(completed::Completed::is_failing)
    }

    /// Returns the elapsed share of the duration; `None` if the rollout has not started.
    pub fn elapsed(&self, micros: u64) -> Option<f64> {
        let duration = self.order.duration.as_micros() as f64;
        let remaining = self.order.deadline_micros?.saturating_sub(micros) as f64;
        Some(1.0 - remaining / duration.max(1.0))
    }

    pub fn is_open(&self) -> bool {
        matches!(
            self.order.stage,
            order::Stage::Ordered | order::Stage::Running
        )
    }

    pub fn status_update(&self, share: f64, micros: u64) -> Option<status_update::StatusUpdate> {
        let duration = self.order.duration.as_micros() as u64;
        let deadline = self
            .order
            .deadline_micros
            .unwrap_or(micros.saturating_add(duration));
        let is_after = |share: f64| {
            micros >= deadline.saturating_sub((duration as f64 * (1.0 - share)) as u64)
        };
        let stage = if self.is_lost {
            self.order.stage
        } else if self.is_bad() {
            order::Stage::RolledBack
        } else if is_after(COMPLETE_AFTER)
            && self.may_complete(share, micros, is_after(LAST_DECISION_AFTER))
        {
            order::Stage::Completed
        } else if is_after(ROLL_BACK_AFTER) {
            order::Stage::RolledBack
        } else {
            order::Stage::Running
        };
        let is_changed = self.is_lost || stage != self.order.stage;
        is_changed.then(|| status_update::StatusUpdate {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            stage,
            deadline_micros: deadline,
            revision: self.order.revision,
            outcomes: outcomes::Outcomes(self.pairs()),
        })
    }

    /// Returns `true` if the new version has enough responses to pass.
    fn may_complete(&self, share: f64, micros: u64, is_last: bool) -> bool {
        let sum = self.sum();
        let duration = self.order.duration.as_micros() as f64;
        let observed = micros.saturating_sub(self.seen_micros) as f64;
        let is_known =
            observed >= duration * MIN_OBSERVED || sum.new.responses >= version_stats::MIN_TIMED;
        let count = self.tallies.len();
        let mut routes = self
            .tallies
            .values()
            .map(|tally| evidence::of_route(tally, sum.old, count, share));
        is_known
            && evidence::is_enough(&sum, share)
            && routes.all(|evidence| match evidence {
                evidence::Evidence::Sufficient => true,
                evidence::Evidence::Undecided => is_last,
                evidence::Evidence::Missing | evidence::Evidence::Suspect => false,
            })
    }

    /// Records an outcome of a version at this process.
    pub fn record(
        &mut self,
        route: &name::Name,
        version: &name::Name,
        change: impl Fn(&mut version_stats::VersionStats),
    ) {
        let is_target = *version == self.order.target;
        let tally = self.tallies.entry(route.clone()).or_default();
        let own = self.own.entry(route.clone()).or_default();
        for pair in [own, &mut tally.pair] {
            change(match is_target {
                true => &mut pair.new,
                false => &mut pair.old,
            });
        }
        tally.mark();
    }

    /// Replaces what another process has reported.
    pub fn replace_report(
        &mut self,
        from: &usage_counts::Process,
        report: Vec<canary_samples::CanarySamples>,
    ) {
        let mut changes: collections::BTreeMap<_, [version_stats::Pair; 2]> =
            collections::BTreeMap::new();
        for later in &report {
            changes.entry(later.route.clone()).or_default()[1] = later.pair;
        }
        let earlier = self.others.insert(from.clone(), report);
        for earlier in earlier.into_iter().flatten() {
            changes.entry(earlier.route).or_default()[0] = earlier.pair;
        }
        for (route, [earlier, later]) in changes {
            let tally = self.tallies.entry(route).or_default();
            tally.replace(earlier, later);
        }
    }

    /// Returns the stats of all instances by route.
    fn pairs(&self) -> collections::BTreeMap<name::Name, version_stats::Pair> {
        let all = self.tallies.iter();
        all.map(|(route, tally)| (route.clone(), tally.pair))
            .collect()
    }

    /// Returns the stats of all routes together.
    pub fn sum(&self) -> version_stats::Pair {
        let all = self.tallies.values().map(|tally| tally.pair);
        all.fold(version_stats::Pair::default(), |sum, pair| sum + pair)
    }

    /// Returns `true` if the new version is bad on all routes together or on one of them.
    pub fn is_bad(&self) -> bool {
        let sum = self.sum();
        let count = self.tallies.len();
        let is_bad_on = |tally: &tally::Tally| {
            let weights = sequential::Weights::new(tally.pair.old, sum.old);
            version_stats::is_slow(&tally.pair)
                || weights.judge(tally, count) == sequential::Finding::Bad
        };
        version_stats::is_slow(&sum)
            || sequential::Weights::new(sum.old, sum.old).is_bad(sum.new)
            || self.tallies.values().any(is_bad_on)
    }
}
