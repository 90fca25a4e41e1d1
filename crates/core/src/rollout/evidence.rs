//! Compares the new version of a rollout with the old one.

use std::collections;

use crate::name;
use crate::peering;
use crate::rollout::{baseline, detector, measure, status};
use crate::time;

/// Largest number of routes tested separately; others count only in the number of requests.
const MAX_ROUTES: usize = 64;
/// Requests that make a route busy, so that it needs requests of the new version.
const BUSY_ROUTE_REQUESTS: u64 = 100;
/// Requests of the new version that each busy route needs before completion.
const MIN_ROUTE_REQUESTS: u64 = 15;

const NO_EVIDENCE: Ratios = [[0.0; detector::EFFECT_SIZES.len()]; measure::Measure::ALL.len()];

type Detectors = [detector::Detector; measure::Measure::ALL.len()];
type Ratios = [[f64; detector::EFFECT_SIZES.len()]; measure::Measure::ALL.len()];

/// Test results and request counts that compare the new version of a rollout with the old one.
///
/// An entry keeps them for its own requests, the controller for the reports of all entries.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    service: name::Name,
    from: name::Name,
    to: name::Name,
    routes: collections::BTreeMap<name::Name, Route>,
    all_routes: Detectors,
    step: Count,
    total: Count,
}

/// A regression of the new version against the old one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Regression {
    /// The measure that shows it.
    pub measure: measure::Measure,
    /// The route that shows it; `None` if only the test over all routes does.
    pub route: Option<name::Name>,
}

/// Numbers of requests of the new version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// Finished requests.
    pub requests: u64,
    /// Finished requests that ran on a loaded upstream.
    pub loaded: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Route {
    baseline: baseline::Baseline,
    detectors: Detectors,
    old_requests: u64,
    new_requests: u64,
}

impl Evidence {
    /// Builds empty evidence for a rollout.
    pub fn new(status: &status::Status) -> Self {
        Self {
            service: status.service.clone(),
            from: status.from.clone(),
            to: status.to.clone(),
            routes: collections::BTreeMap::new(),
            all_routes: Detectors::default(),
            step: Count::default(),
            total: Count::default(),
        }
    }

    /// Adds the reports of one interval; other services and versions are ignored.
    pub fn add<'a>(
        &mut self,
        now: time::Time,
        reports: impl Iterator<Item = &'a peering::Report> + Clone,
    ) {
        for report in reports.clone() {
            self.add_old(now, report);
        }
        let mut ratios = NO_EVIDENCE;
        for report in reports {
            let evidence = self.add_new(now, report);
            let pairs = ratios
                .as_flattened_mut()
                .iter_mut()
                .zip(evidence.as_flattened());
            pairs.for_each(|(sum, ratio)| *sum += ratio);
        }
        for (detector, ratios) in self.all_routes.iter_mut().zip(ratios) {
            detector.add_ratios(ratios);
        }
    }

    /// Resets the counts of [`Self::step`] after a change of the share.
    pub fn begin_step(&mut self) {
        self.step = Count::default();
    }

    /// Returns the numbers of requests of the new version since the last change of the share.
    pub const fn step(&self) -> Count {
        self.step
    }

    /// Returns the numbers of requests of the new version since the start.
    pub const fn total(&self) -> Count {
        self.total
    }

    /// Returns `true` if the new version had enough requests on each busy route.
    pub fn covers_routes(&self) -> bool {
        self.routes
            .values()
            .filter(|route| {
                route.old_requests.saturating_add(route.new_requests) >= BUSY_ROUTE_REQUESTS
            })
            .all(|route| route.new_requests >= MIN_ROUTE_REQUESTS)
    }

    /// Returns the first measure and route with a regression, if any.
    pub fn regression(&self) -> Option<Regression> {
        self.find(detector::Detector::is_alarm)
    }

    /// Returns `true` if a score is too high to advance, even if it is below the alarm.
    pub fn is_suspicious(&self) -> bool {
        self.find(detector::Detector::is_suspicious).is_some()
    }

    fn add_old(&mut self, now: time::Time, report: &peering::Report) {
        if report.service != self.service || report.version != self.from {
            return;
        }
        if let Some(route) = route_entry(&mut self.routes, &report.route) {
            route.add_old(now, report);
        }
    }

    fn add_new(&mut self, now: time::Time, report: &peering::Report) -> Ratios {
        if report.service != self.service || report.version != self.to {
            return NO_EVIDENCE;
        }
        self.step.add(report);
        self.total.add(report);
        route_entry(&mut self.routes, &report.route)
            .map_or(NO_EVIDENCE, |route| route.add_new(now, report))
    }

    fn find(&self, test: impl Fn(&detector::Detector) -> bool) -> Option<Regression> {
        let routes = self.routes.iter();
        let routes = routes.map(|(name, route)| (Some(name), &route.detectors));
        let all_routes = std::iter::once((None, &self.all_routes));
        routes.chain(all_routes).find_map(|(route, detectors)| {
            let measure = measure::Measure::ALL
                .into_iter()
                .find(|measure| test(&detectors[measure.index()]))?;
            let route = route.cloned();
            Some(Regression { measure, route })
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
        self.old_requests = self.old_requests.saturating_add(report.requests);
        self.baseline.decay(now);
        self.baseline.add_requests(report.requests);
        for measure in measure::Measure::ALL {
            self.baseline.add_faults(measure, measure.faults(report));
        }
    }

    fn add_new(&mut self, now: time::Time, report: &peering::Report) -> Ratios {
        self.new_requests = self.new_requests.saturating_add(report.requests);
        self.baseline.decay(now);
        measure::Measure::ALL.map(|measure| {
            let tolerated_rate = self.baseline.tolerated_rate(measure);
            let ratios = detector::log_likelihood_ratios(
                tolerated_rate,
                report.requests,
                measure.faults(report),
            );
            self.detectors[measure.index()].add_ratios(ratios);
            ratios
        })
    }
}

fn route_entry<'a>(
    routes: &'a mut collections::BTreeMap<name::Name, Route>,
    name: &name::Name,
) -> Option<&'a mut Route> {
    if routes.len() >= MAX_ROUTES && !routes.contains_key(name) {
        return None;
    }
    Some(routes.entry(name.clone()).or_default())
}
