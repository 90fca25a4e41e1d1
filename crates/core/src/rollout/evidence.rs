//! Evidence for or against the new version of one rollout.

use std::collections;

use crate::name;
use crate::peering;
use crate::rollout::{baseline, detector, measure, status};
use crate::time;

/// Routes that are told apart; further ones only count in the total.
const MAX_ROUTES: usize = 64;
/// Requests on a route from which on the new version must have been seen there.
const BUSY_ROUTE_REQUESTS: u64 = 100;
/// Requests of the new version that a busy route must show.
const ROUTE_REQUESTS: u64 = 15;

const NO_EVIDENCE: Ratios = [[0.0; detector::EFFECTS.len()]; measure::Measure::ALL.len()];

type Detectors = [detector::Detector; measure::Measure::ALL.len()];
type Ratios = [[f64; detector::EFFECTS.len()]; measure::Measure::ALL.len()];

/// Evidence for or against the new version of one rollout.
///
/// An entry keeps it over its own requests; the controller over the sums of all entries.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    service: name::Name,
    from: name::Name,
    to: name::Name,
    routes: collections::BTreeMap<name::Name, Route>,
    total: Detectors,
    step: Count,
    whole: Count,
}

/// A fault of the new version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// What shows it.
    pub measure: measure::Measure,
    /// The route that shows it; `None` if only all routes together do.
    pub route: Option<name::Name>,
}

/// Requests of the new version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// Requests that ended.
    pub requests: u64,
    /// Of these, the ones that ran on a loaded upstream.
    pub loaded: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Route {
    baseline: baseline::Baseline,
    detectors: Detectors,
    old: u64,
    new: u64,
}

impl Evidence {
    /// Builds the evidence of a rollout that has none yet.
    pub fn new(status: &status::Status) -> Self {
        Self {
            service: status.service.clone(),
            from: status.from.clone(),
            to: status.to.clone(),
            routes: collections::BTreeMap::new(),
            total: Detectors::default(),
            step: Count::default(),
            whole: Count::default(),
        }
    }

    /// Adds the sums of one interval; those of other services and versions are left out.
    pub fn add<'a>(
        &mut self,
        now: time::Time,
        reports: impl Iterator<Item = &'a peering::Report> + Clone,
    ) {
        for report in reports.clone() {
            self.add_old(now, report);
        }
        let mut total = NO_EVIDENCE;
        for report in reports {
            let evidence = self.add_new(now, report);
            let pairs = total
                .as_flattened_mut()
                .iter_mut()
                .zip(evidence.as_flattened());
            pairs.for_each(|(total, evidence)| *total += evidence);
        }
        for (detector, evidence) in self.total.iter_mut().zip(total) {
            detector.add_evidence(evidence);
        }
    }

    /// Starts to count anew after a change of the share.
    pub fn begin_step(&mut self) {
        self.step = Count::default();
    }

    /// Returns the requests of the new version since the last change of the share.
    pub const fn step(&self) -> Count {
        self.step
    }

    /// Returns all requests of the new version.
    pub const fn whole(&self) -> Count {
        self.whole
    }

    /// Tells whether the new version was seen on each busy route.
    pub fn covers_routes(&self) -> bool {
        self.routes
            .values()
            .filter(|route| route.old.saturating_add(route.new) >= BUSY_ROUTE_REQUESTS)
            .all(|route| route.new >= ROUTE_REQUESTS)
    }

    /// Returns the fault that is called, if any.
    pub fn fault(&self) -> Option<Fault> {
        self.find(detector::Detector::is_alarm)
    }

    /// Tells whether the evidence is too bad to go on, yet not bad enough to call a fault.
    pub fn is_suspicious(&self) -> bool {
        self.find(detector::Detector::is_suspicious).is_some()
    }

    fn add_old(&mut self, now: time::Time, report: &peering::Report) {
        if report.service != self.service || report.version != self.from {
            return;
        }
        if let Some(route) = route_of(&mut self.routes, &report.route) {
            route.add_old(now, report);
        }
    }

    fn add_new(&mut self, now: time::Time, report: &peering::Report) -> Ratios {
        if report.service != self.service || report.version != self.to {
            return NO_EVIDENCE;
        }
        self.step.add(report);
        self.whole.add(report);
        route_of(&mut self.routes, &report.route)
            .map_or(NO_EVIDENCE, |route| route.add_new(now, report))
    }

    fn find(&self, test: impl Fn(&detector::Detector) -> bool) -> Option<Fault> {
        let routes = self.routes.iter();
        let routes = routes.map(|(name, route)| (Some(name), &route.detectors));
        let total = std::iter::once((None, &self.total));
        routes.chain(total).find_map(|(route, detectors)| {
            let measure = measure::Measure::ALL
                .into_iter()
                .find(|measure| test(&detectors[measure.index()]))?;
            let route = route.cloned();
            Some(Fault { measure, route })
        })
    }
}

impl Count {
    fn add(&mut self, report: &peering::Report) {
        self.requests = self.requests.saturating_add(report.requests);
        self.loaded = self.loaded.saturating_add(report.loaded);
    }
}

impl Route {
    fn add_old(&mut self, now: time::Time, report: &peering::Report) {
        self.old = self.old.saturating_add(report.requests);
        self.baseline.age(now);
        self.baseline.add_requests(report.requests);
        for measure in measure::Measure::ALL {
            self.baseline.add_faults(measure, measure.faults(report));
        }
    }

    fn add_new(&mut self, now: time::Time, report: &peering::Report) -> Ratios {
        self.new = self.new.saturating_add(report.requests);
        self.baseline.age(now);
        measure::Measure::ALL.map(|measure| {
            let tolerated = self.baseline.tolerated(measure);
            let evidence = detector::evidence(tolerated, report.requests, measure.faults(report));
            self.detectors[measure.index()].add_evidence(evidence);
            evidence
        })
    }
}

fn route_of<'a>(
    routes: &'a mut collections::BTreeMap<name::Name, Route>,
    name: &name::Name,
) -> Option<&'a mut Route> {
    if routes.len() >= MAX_ROUTES && !routes.contains_key(name) {
        return None;
    }
    Some(routes.entry(name.clone()).or_default())
}
