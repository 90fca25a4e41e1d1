//! Crashes of many engines with a common cause, which are one piece of evidence.
//!
//! Engines of a failure domain or of a version crash at almost the same moment, and a popular part
//! of prompts runs at all of them. A request or part that is the cause also crashes engines outside.

use std::collections;
use std::time::Duration;

use super::crash_report;
use super::culprits;
use super::engine;
use crate::name;
use crate::time;

/// Time within which engines with a common cause crash.
const SPAN: Duration = Duration::from_secs(1);
/// Lowest number of crashes with a common cause; fewer block no part and no request.
const MIN_CRASHES: usize = 3;
/// One of so many engines of a service must run elsewhere for it to be known whether others crash.
const ELSEWHERE_DIVISOR: usize = 3;
/// Time within which entries of engines that crashed together leave the list: they expire with their own heartbeats.
const LEAVING_SPAN: Duration = Duration::from_secs(2);
/// Lowest number of other engines that show, by ending with one, that the cause is none of its requests.
const MIN_OTHERS: usize = 2;
/// How long an engine that is no longer listed is remembered.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of incarnations remembered; those that left first are evicted.
const MAX_SITES: usize = 4_096;

/// Where engines run, by the identifiers that their crashes have.
#[derive(Clone, Debug, Default)]
pub struct Sites {
    sites: collections::HashMap<u64, Site>,
}

#[derive(Clone, Debug)]
struct Site {
    engine: name::Name,
    service: name::Name,
    domain: name::Name,
    version: name::Name,
    /// When it was listed first.
    listed_at: time::Time,
    /// When it was no longer listed.
    left_at: Option<time::Time>,
}

/// What engines that crash together have in common.
type Trait = fn(&Site) -> &name::Name;

impl Sites {
    /// Records the engines that are listed now.
    pub fn record(&mut self, now: time::Time, listed: &[engine::Engine]) {
        for site in self.sites.values_mut() {
            site.left_at.get_or_insert(now);
        }
        for engine in listed {
            let id = crash_report::crash_id(&engine.name, engine.incarnation);
            let listed_at = self.sites.get(&id).map_or(now, |site| site.listed_at);
            self.sites.insert(id, Site::new(engine, listed_at));
        }
        let is_recent = |site: &Site| site.left_at.is_none_or(|at| at.after(RETENTION) > now);
        self.sites.retain(|_, site| is_recent(site));
        if self.sites.len() > MAX_SITES {
            self.sites.retain(|_, site| site.left_at.is_none());
        }
    }

    /// Returns the crashes that belong to an earlier one with the same cause, and that one.
    ///
    /// The work grows with the number of crashes and of engines, not with their product: all
    /// instances do this while many engines crash.
    pub fn duplicates(&self, all: &culprits::Crashes) -> collections::BTreeMap<u64, u64> {
        let mut ordered: Vec<_> = all.iter().map(|(id, at)| (*at, *id)).collect();
        ordered.sort_unstable();
        let traits: [Trait; 2] = [|site| &site.domain, |site| &site.version];
        let [by_domain, by_version] = traits.map(|of| self.groups(&ordered, of));
        let mut duplicates = collections::BTreeMap::new();
        for place in 0..ordered.len() {
            let first = ordered[place].1;
            if duplicates.contains_key(&first) {
                continue;
            }
            let common = by_domain.common(place).or_else(|| by_version.common(place));
            let same = common.into_iter().flatten();
            duplicates.extend(same.map(|other| (ordered[*other].1, first)));
        }
        duplicates
    }

    /// Returns `true` if the engine of a crash left the list together with at least half of the other engines of its
    /// service. Those for which `is_own` holds, by the identifiers of their crashes, are left out.
    pub fn left_with_others(&self, crash: u64, is_own: impl Fn(u64) -> bool) -> bool {
        let Some(site) = self.sites.get(&crash) else {
            return false;
        };
        let Some(left_at) = site.left_at else {
            return false;
        };
        let start = left_at.before(LEAVING_SPAN);
        let end = left_at.after(LEAVING_SPAN);
        let others = self.sites.iter().filter(|(id, other)| {
            let was_listed = other.listed_at < start && other.left_at.is_none_or(|at| at >= start);
            other.service == site.service && was_listed && **id != crash && !is_own(**id)
        });
        let (mut all, mut left) = (0, 0);
        for (_, other) in others {
            all += 1;
            left += usize::from(other.left_at.is_some_and(|at| at <= end));
        }
        left >= MIN_OTHERS && left * 2 >= all
    }

    /// Groups crashes by what their engines have in common.
    fn groups(&self, ordered: &[(time::Time, u64)], of: Trait) -> Groups {
        let mut engines: collections::HashMap<_, usize> = collections::HashMap::new();
        let mut services: collections::HashMap<_, usize> = collections::HashMap::new();
        let distinct = self.sites.values();
        let distinct = distinct.map(|site| (&site.service, &site.engine, of(site)));
        let distinct: collections::HashSet<_> = distinct.collect();
        for (service, _, value) in distinct {
            *engines.entry((service, value)).or_default() += 1;
            *services.entry(service).or_default() += 1;
        }
        let has_others = |site: &Site| {
            let all = services.get(&site.service).copied().unwrap_or(0);
            let same = engines
                .get(&(&site.service, of(site)))
                .copied()
                .unwrap_or(0);
            (all - same) * ELSEWHERE_DIVISOR >= all
        };
        let mut numbers = collections::HashMap::new();
        let mut groups = Groups::default();
        for (place, (at, id)) in ordered.iter().enumerate() {
            let end = ordered[place..].partition_point(|(other, _)| *other <= at.after(SPAN));
            groups.ends.push(place + end);
            let site = self.sites.get(id);
            groups.of_crash.push(site.map(|site| {
                let next = numbers.len();
                let group = *numbers.entry((&site.service, of(site))).or_insert(next);
                if group == groups.members.len() {
                    groups.members.push(Vec::new());
                    groups.has_others.push(has_others(site));
                }
                groups.members[group].push(place);
                group
            }));
        }
        groups
    }
}

/// Crashes, by their places in the order of time, grouped by what their engines have in common.
#[derive(Debug, Default)]
struct Groups {
    /// The group of each crash; `None` if its engine is not known.
    of_crash: Vec<Option<usize>>,
    /// Places of the crashes of each group, in order.
    members: Vec<Vec<usize>>,
    /// Whether enough engines of the service run outside of each group.
    has_others: Vec<bool>,
    /// For each crash, the place behind the last one that may have the same cause.
    ends: Vec<usize>,
}

impl Groups {
    /// Returns the crashes of the group of the crash at `place` from there on, if these are nearly
    /// all and enough engines run outside of the group.
    fn common(&self, place: usize) -> Option<&[usize]> {
        let group = self.of_crash[place]?;
        let end = self.ends[place];
        let members = &self.members[group];
        let from = members.partition_point(|member| *member < place);
        let to = members.partition_point(|member| *member < end);
        let same = &members[from..to];
        let is_nearly_all = same.len() >= MIN_CRASHES && same.len() * 4 > (end - place) * 3;
        (is_nearly_all && self.has_others[group]).then_some(same)
    }
}

impl Site {
    fn new(engine: &engine::Engine, listed_at: time::Time) -> Self {
        Self {
            engine: engine.name.clone(),
            service: engine.service.clone(),
            domain: engine.domain.clone(),
            version: engine.version.clone(),
            listed_at,
            left_at: None,
        }
    }
}
