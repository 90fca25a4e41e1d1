//! Validates the references between declared objects.

use std::collections;

use crate::declaration;
use crate::declaration::fault;
use crate::declaration::node;
use crate::declaration::place;
use crate::declaration::problem;
use crate::name;

/// Reports undeclared names, duplicates of unique values, missing prices and invalid rollouts.
pub(super) fn check(
    declaration: &declaration::Declaration,
    root: &node::Node,
    faults: &mut Vec<fault::Fault>,
) {
    let mut checker = Checker {
        declaration,
        root,
        faults,
    };
    checker.check_classes();
    checker.check_services();
    checker.check_upstreams();
    checker.check_routes();
    checker.check_rollouts();
}

struct Checker<'a> {
    declaration: &'a declaration::Declaration,
    root: &'a node::Node,
    faults: &'a mut Vec<fault::Fault>,
}

impl Checker<'_> {
    /// Checks that the failure domains with special prices are declared.
    fn check_classes(&mut self) {
        let classes = self.root.table().and_then(|root| root.get("classes"));
        let Some(classes) = classes.and_then(node::Node::table) else {
            return;
        };
        for (class, node) in classes {
            let special = node.table().and_then(|table| table.get("domains"));
            let Some(special) = special.and_then(node::Node::table) else {
                continue;
            };
            for domain in special.keys() {
                let at = ["classes", class, "domains", domain];
                self.check_reference(
                    &at,
                    "domains",
                    &name::Name::from(domain.as_str()),
                    "domains",
                );
            }
        }
    }

    fn check_services(&mut self) {
        for service in &self.declaration.services {
            let at = ["services", &service.name, "version"];
            self.check_served(&at, &service.name, &service.version);
        }
    }

    fn check_upstreams(&mut self) {
        let mut addresses = collections::BTreeMap::new();
        for upstream in &self.declaration.upstreams {
            let name = upstream.name.as_str();
            let at = |key| ["upstreams", name, key];
            self.check_reference(&at("service"), "service", &upstream.service, "services");
            let domain = self.check_reference(&at("domain"), "domain", &upstream.domain, "domains");
            let class = self.check_reference(&at("class"), "class", &upstream.class, "classes");
            if domain && class {
                self.check_priced(&at("class"), upstream);
            }
            if upstream.address.port() != 0 {
                let address = upstream.address.to_string();
                self.check_unique(&mut addresses, &at("address"), "address", address);
            }
        }
    }

    fn check_routes(&mut self) {
        let mut paths = collections::BTreeMap::new();
        for route in &self.declaration.routes {
            let name = route.name.as_str();
            let at = |key| ["routes", name, key];
            self.check_reference(&at("service"), "service", &route.service, "services");
            self.check_unique(&mut paths, &at("path"), "path", route.path.clone());
        }
    }

    fn check_rollouts(&mut self) {
        for rollout in &self.declaration.rollouts {
            let name = rollout.service.as_str();
            let at = |key| ["rollouts", name, key];
            if !self.check_reference(
                &["rollouts", name],
                "rollouts",
                &rollout.service,
                "services",
            ) {
                continue;
            }
            self.check_start(&at("from"), rollout);
            if rollout.from == rollout.to && !rollout.to.is_empty() {
                let version = rollout.to.to_string();
                self.report(&at("to"), problem::Problem::SameVersion { version });
            }
            self.check_served(&at("to"), &rollout.service, &rollout.to);
        }
    }

    /// Reports a rollout from a version other than the service's current one.
    fn check_start(&mut self, at: &[&str], rollout: &declaration::Rollout) {
        let services = &self.declaration.services;
        let Some(service) = services.iter().find(|s| s.name == rollout.service) else {
            return;
        };
        if service.version != rollout.from && !rollout.from.is_empty() {
            let problem = problem::Problem::WrongStart {
                service: service.name.to_string(),
                from: rollout.from.to_string(),
                version: service.version.to_string(),
            };
            self.report(at, problem);
        }
    }

    fn check_served(&mut self, at: &[&str], service: &name::Name, version: &name::Name) {
        let upstreams = &self.declaration.upstreams;
        let found = upstreams
            .iter()
            .any(|upstream| upstream.service == *service && upstream.version == *version);
        if !found && !version.is_empty() {
            let problem = problem::Problem::NoUpstream {
                service: service.to_string(),
                version: version.to_string(),
            };
            self.report(at, problem);
        }
    }

    fn check_priced(&mut self, at: &[&str], upstream: &declaration::Upstream) {
        let priced = self.declaration.classes.iter().any(|class| {
            class.name == upstream.class
                && class.domain == upstream.domain
                && class.market == upstream.market
        });
        if !priced {
            let problem = problem::Problem::NoPrice {
                class: upstream.class.to_string(),
                domain: upstream.domain.to_string(),
                market: upstream.market.as_str(),
            };
            self.report(at, problem);
        }
    }

    /// Returns `true` if the table declares a name; reports it otherwise.
    ///
    /// An empty name counts as declared, because its fault is reported when it is read.
    fn check_reference(
        &mut self,
        at: &[&str],
        key: &'static str,
        name: &name::Name,
        table: &'static str,
    ) -> bool {
        let declared = self.root.table().and_then(|root| root.get(table));
        let declared = declared.and_then(node::Node::table);
        if name.is_empty() || declared.is_some_and(|table| table.contains_key(name.as_str())) {
            return true;
        }
        let known: Vec<_> = declared
            .into_iter()
            .flat_map(|table| table.keys())
            .collect();
        let known = known.iter().take(MAX_LISTED).map(|key| key.as_str());
        let problem = problem::Problem::Undeclared {
            key,
            name: name.to_string(),
            table,
            known: known.collect::<Vec<_>>().join(", "),
        };
        self.report(at, problem);
        false
    }

    fn check_unique(
        &mut self,
        seen: &mut collections::BTreeMap<String, place::Place>,
        at: &[&str],
        key: &'static str,
        value: String,
    ) {
        let place = self.root.locate(at);
        if value.is_empty() {
            return;
        }
        if let Some(first) = seen.get(&value) {
            let first = first.clone();
            self.report(at, problem::Problem::Duplicated { key, value, first });
            return;
        }
        seen.insert(value, place);
    }

    fn report(&mut self, at: &[&str], problem: problem::Problem) {
        let place = self.root.locate(at);
        self.faults.push(fault::Fault { place, problem });
    }
}

/// Largest number of declared names listed in one message.
const MAX_LISTED: usize = 12;
