//! Other groups of a large fleet, as their delegates' summaries show them.

use std::collections;
use std::net;
use std::time::Duration;

use super::digest;
use super::group;
use super::member;
use super::peer;
use super::sum;
use super::summary;
use crate::name;
use crate::time;

/// Silence after which a group, or all others, may be cut off.
const QUIET: Duration = Duration::from_millis(1_500);
/// Silence after which a delegate is forgotten, and its view not used any more.
const STALE: Duration = Duration::from_millis(2_500);
/// Silence after which a group is forgotten. Until then it may live behind a cut and use its part of
/// the shared limits.
const GONE: Duration = Duration::from_secs(600);
/// Groups that are remembered.
const MAX_GROUPS: usize = 256;
/// Delegates of one group that are remembered.
const MAX_TELLERS: usize = 32;
/// Addresses that are remembered for one group.
const MAX_ADDRESSES: usize = 8;

/// All other groups.
///
/// A delegate hears the other delegates itself; the other members hear their own delegates' views
/// of all that is outside. Both are kept, and [`Groups::is_direct`] tells which of them is used.
#[derive(Clone, Debug, Default)]
pub struct Groups {
    views: collections::BTreeMap<summary::Scope, View>,
    places: collections::BTreeMap<group::Group, Place>,
    is_direct: bool,
}

/// One other group, as the instance that has heard it last tells.
#[derive(Clone, Debug)]
struct Place {
    addresses: Vec<net::SocketAddr>,
    known: u32,
    heard: time::Time,
}

/// What is told of one group, or of all others.
#[derive(Clone, Debug, Default)]
struct View {
    tellers: collections::BTreeMap<name::Name, Teller>,
    /// Units that were charged here, by workspace.
    charged: collections::BTreeMap<name::Name, u64>,
    heard: time::Time,
}

/// One delegate.
#[derive(Clone, Debug)]
struct Teller {
    summary: summary::Summary,
    heard: time::Time,
    /// By how much its counters lie below what was charged when it was first heard.
    base: collections::BTreeMap<name::Name, i64>,
}

impl Groups {
    /// Builds the view of an instance that has heard nothing yet.
    pub const fn new() -> Self {
        Self {
            views: collections::BTreeMap::new(),
            places: collections::BTreeMap::new(),
            is_direct: false,
        }
    }

    /// Sets whether this instance is a delegate, which hears the other groups itself.
    pub fn set_direct(&mut self, is_direct: bool) {
        self.is_direct = is_direct;
    }

    /// Tells whether this instance goes by the other groups' own summaries.
    pub const fn is_direct(&self) -> bool {
        self.is_direct
    }

    /// Takes a summary; returns what it adds to the caps.
    pub fn hear(&mut self, now: time::Time, summary: summary::Summary) -> Vec<peer::Charge> {
        let is_used = matches!(summary.scope, summary::Scope::Outside) != self.is_direct;
        if self.views.len() >= MAX_GROUPS && !self.views.contains_key(&summary.scope) {
            return Vec::new();
        }
        let scope = summary.scope.clone();
        let view = self.views.entry(scope).or_default();
        let routes = summary.routes.clone();
        let charges = view.hear(now, summary);
        // Of several delegates of a group, one that has just begun may know few of its members.
        let routes = view.best(now).map_or(routes, |best| best.routes.clone());
        routes.into_iter().for_each(|route| self.learn(now, route));
        if is_used { charges } else { Vec::new() }
    }

    /// Takes over where a group is, unless that is older than what is known.
    fn learn(&mut self, now: time::Time, route: summary::Route) {
        let silent = Duration::from_millis(route.silent);
        let heard = before(now, silent);
        let known = self.places.get(&route.group);
        let is_older = known.is_some_and(|place| place.heard > heard);
        let is_room = known.is_some() || self.places.len() < MAX_GROUPS;
        if is_older || !is_room || route.addresses.is_empty() {
            return;
        }
        let place = Place {
            addresses: route.addresses.into_iter().take(MAX_ADDRESSES).collect(),
            known: route.known,
            heard,
        };
        self.places.insert(route.group, place);
    }

    /// Forgets delegates that have been silent for long, and if `is_larger` says that this side of a
    /// cut is the larger one, groups that have been for very long.
    pub fn sweep(&mut self, now: time::Time, is_larger: bool) {
        for view in self.views.values_mut() {
            view.tellers
                .retain(|_, teller| teller.heard.after(STALE) > now);
        }
        let is_kept = |place: &Place| !is_larger || place.heard.after(GONE) > now;
        self.places.retain(|_, place| is_kept(place));
    }

    /// Forgets all groups, after the fleet was divided anew.
    pub fn clear(&mut self) {
        self.views.clear();
        self.places.clear();
    }

    /// Returns the groups and where they are reached.
    pub fn routes(&self, now: time::Time) -> impl Iterator<Item = summary::Route> {
        self.places
            .iter()
            .map(move |(group, place)| summary::Route {
                group: group.clone(),
                addresses: place.addresses.clone(),
                known: place.known,
                silent: place.heard.until(now).as_millis() as u64,
            })
    }

    /// Returns how many other groups are known.
    pub fn count(&self) -> usize {
        self.places.len()
    }

    /// Tells whether a group has ever been heard, by this instance or one that told of it.
    pub fn has_heard(&self, group: &group::Group) -> bool {
        self.places.contains_key(group)
    }

    /// Returns the views that this instance goes by.
    fn used(&self) -> impl Iterator<Item = &View> {
        let is_used =
            |scope: &summary::Scope| matches!(scope, summary::Scope::Outside) != self.is_direct;
        let views = self.views.iter().filter(move |(scope, _)| is_used(scope));
        views.map(|(_, view)| view)
    }

    /// Returns the best summaries that are fresh.
    pub fn fresh(&self, now: time::Time) -> impl Iterator<Item = &summary::Summary> {
        self.used().filter_map(move |view| view.best(now))
    }

    /// Returns all delegates of other groups that are heard.
    pub fn contacts(&self, now: time::Time) -> impl Iterator<Item = &summary::Summary> {
        let direct = self
            .views
            .iter()
            .filter(|(scope, _)| **scope != summary::Scope::Outside);
        let tellers = direct.flat_map(|(_, view)| view.tellers.values());
        let fresh = tellers.filter(move |teller| teller.heard.after(QUIET) > now);
        fresh.map(|teller| &teller.summary)
    }

    /// Returns instances outside that are heard.
    pub fn heard(&self, now: time::Time) -> usize {
        let fresh = self.fresh(now);
        fresh.map(|summary| summary.sum.heard as usize).sum()
    }

    /// Returns instances outside, heard or not.
    pub fn known(&self) -> usize {
        self.places.values().map(|place| place.known as usize).sum()
    }

    /// Tells whether something outside that was heard is silent now.
    pub fn has_quiet(&self, now: time::Time) -> bool {
        self.used().any(|view| view.is_quiet(now))
    }

    /// Returns what all outside do, to tell the own group; without the level of the caps.
    pub fn sum(&self, now: time::Time) -> sum::Sum {
        let mut loads = sum::Loads::default();
        let mut spent = collections::BTreeMap::<&name::Name, digest::Spent>::new();
        let empty = |workspace: &name::Name| digest::Spent {
            workspace: workspace.clone(),
            units: 0,
            demand: 0,
            level: None,
        };
        for view in self.used() {
            for (workspace, units) in &view.charged {
                spent
                    .entry(workspace)
                    .or_insert_with(|| empty(workspace))
                    .units += units;
            }
        }
        for summary in self.fresh(now) {
            loads.add(&summary.sum.loads);
            for told in &summary.sum.spent {
                let entry = spent.entry(&told.workspace);
                entry.or_insert_with(|| empty(&told.workspace)).demand += told.demand;
            }
        }
        sum::Sum {
            heard: self.heard(now) as u32,
            spent: spent.into_values().collect(),
            loads: loads.into_vec(),
        }
    }

    /// Returns the work of all outside on engines.
    pub fn loads(&self, now: time::Time) -> Vec<digest::EngineLoad> {
        let mut loads = sum::Loads::default();
        self.fresh(now)
            .for_each(|summary| loads.add(&summary.sum.loads));
        loads.into_vec()
    }

    /// Returns the names of instances outside that hear of changes from the store.
    pub fn store_watchers(&self, now: time::Time) -> impl Iterator<Item = &name::Name> {
        self.fresh(now).flat_map(|summary| &summary.store_watchers)
    }

    /// Returns instances outside that may be chosen for the duties.
    pub fn candidates(&self, now: time::Time) -> impl Iterator<Item = &member::Member> {
        self.fresh(now).flat_map(|summary| &summary.candidates)
    }
}

impl View {
    fn hear(&mut self, now: time::Time, summary: summary::Summary) -> Vec<peer::Charge> {
        let was_quiet = self.is_quiet(now);
        let known = self.tellers.get(&summary.sender);
        if known.is_some_and(|t| t.is_former(now, &summary)) {
            return Vec::new();
        }
        let is_same = known.is_some_and(|t| t.summary.incarnation == summary.incarnation);
        if known.is_none() && self.tellers.len() >= MAX_TELLERS {
            self.drop_quietest();
        }
        self.heard = now;
        if !is_same {
            let base = self.base(&summary);
            let teller = Teller {
                summary,
                heard: now,
                base,
            };
            self.tellers.insert(teller.summary.sender.clone(), teller);
            return Vec::new();
        }
        let charges = self.charge(&summary, was_quiet);
        if let Some(teller) = self.tellers.get_mut(&summary.sender) {
            teller.heard = now;
            teller.summary = summary;
        }
        charges
    }

    /// Makes room for another delegate: many take themselves for one when a fleet starts.
    fn drop_quietest(&mut self) {
        let quietest = self.tellers.iter().min_by_key(|(_, teller)| teller.heard);
        if let Some(name) = quietest.map(|(name, _)| name.clone()) {
            self.tellers.remove(&name);
        }
    }

    /// Lets the counters of a delegate that is new here begin at what has been charged: the others
    /// have told of that.
    fn base(&self, summary: &summary::Summary) -> collections::BTreeMap<name::Name, i64> {
        let charged = self.charged.iter();
        let mut base: collections::BTreeMap<_, _> = charged
            .map(|(workspace, units)| (workspace.clone(), *units as i64))
            .collect();
        for told in &summary.sum.spent {
            *base.entry(told.workspace.clone()).or_default() -= told.units as i64;
        }
        base
    }

    /// Charges what a delegate tells beyond what any of them has told before.
    fn charge(&mut self, summary: &summary::Summary, was_quiet: bool) -> Vec<peer::Charge> {
        let Some(teller) = self.tellers.get(&summary.sender) else {
            return Vec::new();
        };
        let mut charges = Vec::new();
        for told in &summary.sum.spent {
            let base = teller.base.get(&told.workspace).copied().unwrap_or(0);
            let units = told.units.saturating_add_signed(base);
            let charged = self.charged.entry(told.workspace.clone()).or_default();
            let more = units.saturating_sub(*charged);
            *charged = units.max(*charged);
            // What was used behind a cut was within that side's part, and has drained since.
            let more = match was_quiet {
                true => more.min(told.level.unwrap_or(0)),
                false => more,
            };
            if more > 0 {
                charges.push(peer::Charge {
                    workspace: told.workspace.clone(),
                    units: more,
                });
            }
        }
        charges
    }

    fn is_quiet(&self, now: time::Time) -> bool {
        self.heard.after(QUIET) <= now
    }

    /// Returns the fresh summary of the delegate that hears most instances, the newest of several.
    fn best(&self, now: time::Time) -> Option<&summary::Summary> {
        if self.is_quiet(now) {
            return None;
        }
        let fresh = self.tellers.values().filter(|t| t.heard.after(STALE) > now);
        let best = fresh.max_by_key(|t| (t.summary.sum.heard, t.heard));
        best.map(|t| &t.summary)
    }
}

impl Teller {
    /// Tells whether a summary comes from a process before the one that was heard last.
    fn is_former(&self, now: time::Time, summary: &summary::Summary) -> bool {
        self.summary.incarnation > summary.incarnation && self.heard.after(QUIET) > now
    }
}

fn before(now: time::Time, span: Duration) -> time::Time {
    time::Time::from_micros(now.as_micros().saturating_sub(span.as_micros() as u64))
}
