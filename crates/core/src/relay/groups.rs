//! Other groups of a large fleet, as summaries from delegates report them.

use std::collections;
use std::net;
use std::time::Duration;

use super::digest;
use super::group;
use super::member;
use super::peer;
use super::sum;
use super::summary;
use super::workspace_usage;
use crate::name;
use crate::time;

/// Silence after which a group, or all instances outside, may be behind a network partition.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1_500);
/// Silence after which a delegate is forgotten and its last summary is not used any more.
const STALE_AFTER: Duration = Duration::from_millis(2_500);
/// Silence after which a group is forgotten. Until then it may be running behind a network
/// partition and using its share of the limits.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// Groups that are remembered.
const MAX_GROUPS: usize = 256;
/// Delegates that are remembered for one scope.
const MAX_DELEGATES: usize = 32;
/// Addresses that are remembered for one group.
const MAX_ADDRESSES: usize = 8;

/// All other groups.
///
/// A delegate receives the summaries of other groups' delegates directly. Other members receive a
/// summary of everything outside from their own delegates. Both kinds are kept, and
/// [`Groups::is_direct`] selects the kind in use.
#[derive(Clone, Debug, Default)]
pub struct Groups {
    views: collections::BTreeMap<summary::Scope, ScopeView>,
    groups: collections::BTreeMap<group::Group, KnownGroup>,
    is_direct: bool,
}

/// One other group, as reported by the instance that received messages from it last.
#[derive(Clone, Debug)]
struct KnownGroup {
    addresses: Vec<net::SocketAddr>,
    /// Its instances that may be using their share of the limits, reachable or not.
    known: u32,
    last_seen: time::Time,
}

/// What delegates report of one group, or of all instances outside.
#[derive(Clone, Debug, Default)]
struct ScopeView {
    delegates: collections::BTreeMap<name::Name, DelegateView>,
    /// Units that have been charged to the caps here, by workspace.
    charged: collections::BTreeMap<name::Name, u64>,
    last_seen: time::Time,
}

/// One delegate.
#[derive(Clone, Debug)]
struct DelegateView {
    summary: summary::Summary,
    last_seen: time::Time,
    /// By how much its counters were below what had been charged when its first summary arrived.
    offsets: collections::BTreeMap<name::Name, i64>,
}

impl Groups {
    /// Builds the view of an instance that has received nothing yet.
    pub const fn new() -> Self {
        Self {
            views: collections::BTreeMap::new(),
            groups: collections::BTreeMap::new(),
            is_direct: false,
        }
    }

    /// Sets whether this instance is a delegate and so receives other groups' own summaries.
    pub fn set_direct(&mut self, is_direct: bool) {
        self.is_direct = is_direct;
    }

    /// Returns `true` if this instance uses the other groups' own summaries.
    pub const fn is_direct(&self) -> bool {
        self.is_direct
    }

    /// Applies a summary and returns what it adds to the caps.
    pub fn apply_summary(
        &mut self,
        now: time::Time,
        summary: summary::Summary,
    ) -> Vec<peer::Charge> {
        let is_used = matches!(summary.scope, summary::Scope::Outside) != self.is_direct;
        if self.views.len() >= MAX_GROUPS && !self.views.contains_key(&summary.scope) {
            return Vec::new();
        }
        let scope = summary.scope.clone();
        let view = self.views.entry(scope).or_default();
        let routes = summary.routes.clone();
        let charges = view.apply(now, summary);
        // Among several delegates of a group, one that has just started may know few of its
        // members.
        let routes = view.best(now).map_or(routes, |best| best.routes.clone());
        routes
            .into_iter()
            .for_each(|route| self.update_group(now, route));
        if is_used { charges } else { Vec::new() }
    }

    /// Updates where a group is reached, unless the report is older than what is known.
    fn update_group(&mut self, now: time::Time, route: summary::Route) {
        let silent = Duration::from_millis(route.silent_ms);
        let last_seen = before(now, silent);
        let known = self.groups.get(&route.group);
        let is_older = known.is_some_and(|group| group.last_seen > last_seen);
        let has_capacity = known.is_some() || self.groups.len() < MAX_GROUPS;
        if is_older || !has_capacity || route.addresses.is_empty() {
            return;
        }
        let group = KnownGroup {
            addresses: route.addresses.into_iter().take(MAX_ADDRESSES).collect(),
            known: route.known,
            last_seen,
        };
        self.groups.insert(route.group, group);
    }

    /// Forgets delegates that have been silent for long. If `is_larger`, this side of a network
    /// partition is the larger one, and groups that have been silent for very long are forgotten
    /// too.
    pub fn sweep(&mut self, now: time::Time, is_larger: bool) {
        for view in self.views.values_mut() {
            view.delegates
                .retain(|_, delegate| delegate.last_seen.after(STALE_AFTER) > now);
        }
        let is_kept = |group: &KnownGroup| !is_larger || group.last_seen.after(FORGET_AFTER) > now;
        self.groups.retain(|_, group| is_kept(group));
    }

    /// Forgets all groups, after the division of the fleet has changed.
    pub fn clear(&mut self) {
        self.views.clear();
        self.groups.clear();
    }

    /// Returns the groups and where they are reached.
    pub fn routes(&self, now: time::Time) -> impl Iterator<Item = summary::Route> {
        self.groups
            .iter()
            .map(move |(group, known)| summary::Route {
                group: group.clone(),
                addresses: known.addresses.clone(),
                known: known.known,
                silent_ms: known.last_seen.until(now).as_millis() as u64,
            })
    }

    /// Returns the number of other groups.
    pub fn count(&self) -> usize {
        self.groups.len()
    }

    /// Returns `true` if messages of a group have been received here or by an instance that
    /// reported it.
    pub fn is_known(&self, group: &group::Group) -> bool {
        self.groups.contains_key(group)
    }

    /// Returns the views of the kind in use.
    fn active_views(&self) -> impl Iterator<Item = &ScopeView> {
        let is_used =
            |scope: &summary::Scope| matches!(scope, summary::Scope::Outside) != self.is_direct;
        let views = self.views.iter().filter(move |(scope, _)| is_used(scope));
        views.map(|(_, view)| view)
    }

    /// Returns the best fresh summary of each scope in use.
    pub fn fresh_summaries(&self, now: time::Time) -> impl Iterator<Item = &summary::Summary> {
        self.active_views().filter_map(move |view| view.best(now))
    }

    /// Returns the last summaries of the reachable delegates of other groups.
    pub fn reachable_delegates(&self, now: time::Time) -> impl Iterator<Item = &summary::Summary> {
        let direct = self
            .views
            .iter()
            .filter(|(scope, _)| **scope != summary::Scope::Outside);
        let delegates = direct.flat_map(|(_, view)| view.delegates.values());
        let fresh =
            delegates.filter(move |delegate| delegate.last_seen.after(UNREACHABLE_AFTER) > now);
        fresh.map(|delegate| &delegate.summary)
    }

    /// Returns the number of reachable instances outside the own group.
    pub fn reachable(&self, now: time::Time) -> usize {
        let fresh = self.fresh_summaries(now);
        fresh.map(|summary| summary.sum.reachable as usize).sum()
    }

    /// Returns the number of instances outside the own group, reachable or not.
    pub fn known_instances(&self) -> usize {
        self.groups.values().map(|group| group.known as usize).sum()
    }

    /// Returns `true` if a scope in use has become unreachable.
    pub fn has_unreachable(&self, now: time::Time) -> bool {
        self.active_views().any(|view| view.is_unreachable(now))
    }

    /// Returns the load of all instances outside, for the own group; without the levels of the
    /// caps.
    pub fn sum(&self, now: time::Time) -> sum::Sum {
        let mut loads = sum::Loads::default();
        let mut usage = collections::BTreeMap::<&name::Name, workspace_usage::Usage>::new();
        let empty = |workspace: &name::Name| workspace_usage::Usage {
            workspace: workspace.clone(),
            units: 0,
            demand: 0,
            level: None,
        };
        for view in self.active_views() {
            for (workspace, units) in &view.charged {
                usage
                    .entry(workspace)
                    .or_insert_with(|| empty(workspace))
                    .units += units;
            }
        }
        for summary in self.fresh_summaries(now) {
            loads.add(&summary.sum.loads);
            for reported in &summary.sum.usage {
                let entry = usage.entry(&reported.workspace);
                entry.or_insert_with(|| empty(&reported.workspace)).demand += reported.demand;
            }
        }
        sum::Sum {
            reachable: self.reachable(now) as u32,
            usage: usage.into_values().collect(),
            loads: loads.into_vec(),
        }
    }

    /// Returns the load on engines from all instances outside.
    pub fn loads(&self, now: time::Time) -> Vec<digest::EngineLoad> {
        let mut loads = sum::Loads::default();
        self.fresh_summaries(now)
            .for_each(|summary| loads.add(&summary.sum.loads));
        loads.into_vec()
    }

    /// Returns the names of instances outside that watch the store.
    pub fn store_watchers(&self, now: time::Time) -> impl Iterator<Item = &name::Name> {
        self.fresh_summaries(now)
            .flat_map(|summary| &summary.store_watchers)
    }

    /// Returns lease candidates outside the own group.
    pub fn lease_candidates(&self, now: time::Time) -> impl Iterator<Item = &member::Member> {
        self.fresh_summaries(now)
            .flat_map(|summary| &summary.lease_candidates)
    }
}

impl ScopeView {
    /// Applies a summary of this scope and returns what it adds to the caps.
    fn apply(&mut self, now: time::Time, summary: summary::Summary) -> Vec<peer::Charge> {
        let was_unreachable = self.is_unreachable(now);
        let known = self.delegates.get(&summary.sender);
        if known.is_some_and(|t| t.is_outdated(now, &summary)) {
            return Vec::new();
        }
        let is_same = known.is_some_and(|t| t.summary.incarnation == summary.incarnation);
        if known.is_none() && self.delegates.len() >= MAX_DELEGATES {
            self.evict_least_recent();
        }
        self.last_seen = now;
        if !is_same {
            let offsets = self.offsets(&summary);
            let delegate = DelegateView {
                summary,
                last_seen: now,
                offsets,
            };
            self.delegates
                .insert(delegate.summary.sender.clone(), delegate);
            return Vec::new();
        }
        let charges = self.charge(&summary, was_unreachable);
        if let Some(delegate) = self.delegates.get_mut(&summary.sender) {
            delegate.last_seen = now;
            delegate.summary = summary;
        }
        charges
    }

    /// Evicts the delegate that has been silent for longest, to add another: many instances
    /// consider themselves delegates when a fleet starts.
    fn evict_least_recent(&mut self) {
        let least_recent = self
            .delegates
            .iter()
            .min_by_key(|(_, delegate)| delegate.last_seen);
        if let Some(name) = least_recent.map(|(name, _)| name.clone()) {
            self.delegates.remove(&name);
        }
    }

    /// Returns the offsets with which the counters of a new delegate start at what has been
    /// charged, since other delegates have already reported that.
    fn offsets(&self, summary: &summary::Summary) -> collections::BTreeMap<name::Name, i64> {
        let charged = self.charged.iter();
        let mut offsets: collections::BTreeMap<_, _> = charged
            .map(|(workspace, units)| (workspace.clone(), *units as i64))
            .collect();
        for reported in &summary.sum.usage {
            *offsets.entry(reported.workspace.clone()).or_default() -= reported.units as i64;
        }
        offsets
    }

    /// Charges what a delegate reports beyond what any delegate of the scope has reported before.
    fn charge(&mut self, summary: &summary::Summary, was_unreachable: bool) -> Vec<peer::Charge> {
        let Some(delegate) = self.delegates.get(&summary.sender) else {
            return Vec::new();
        };
        let mut charges = Vec::new();
        for reported in &summary.sum.usage {
            let offset = delegate
                .offsets
                .get(&reported.workspace)
                .copied()
                .unwrap_or(0);
            let units = reported.units.saturating_add_signed(offset);
            let charged = self.charged.entry(reported.workspace.clone()).or_default();
            let more = units.saturating_sub(*charged);
            *charged = units.max(*charged);
            // What was used behind a partition was within that side's share, and has drained
            // since.
            let more = match was_unreachable {
                true => more.min(reported.level.unwrap_or(0)),
                false => more,
            };
            if more > 0 {
                charges.push(peer::Charge {
                    workspace: reported.workspace.clone(),
                    units: more,
                });
            }
        }
        charges
    }

    fn is_unreachable(&self, now: time::Time) -> bool {
        self.last_seen.after(UNREACHABLE_AFTER) <= now
    }

    /// Returns the fresh summary of the delegate that reaches most instances; among several, the
    /// newest.
    fn best(&self, now: time::Time) -> Option<&summary::Summary> {
        if self.is_unreachable(now) {
            return None;
        }
        let fresh = self
            .delegates
            .values()
            .filter(|t| t.last_seen.after(STALE_AFTER) > now);
        let best = fresh.max_by_key(|t| (t.summary.sum.reachable, t.last_seen));
        best.map(|t| &t.summary)
    }
}

impl DelegateView {
    /// Returns `true` if a summary comes from an earlier process than the one last seen.
    fn is_outdated(&self, now: time::Time, summary: &summary::Summary) -> bool {
        self.summary.incarnation > summary.incarnation
            && self.last_seen.after(UNREACHABLE_AFTER) > now
    }
}

/// Returns the time `span` before `now`, or zero if there is none.
fn before(now: time::Time, span: Duration) -> time::Time {
    time::Time::from_micros(now.as_micros().saturating_sub(span.as_micros() as u64))
}
