//! The state of a deployment.

use std::collections;
use std::fmt;

use guavausher_core::declaration;
use guavausher_core::name;
use guavausher_core::rollout;
use guavausher_core::time;

use crate::history;
use crate::operation;
use crate::progress;
use crate::table;
use crate::viewer;

/// The state of a deployment.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct View {
    /// The deployment.
    pub site: name::Name,
    /// The stored generation.
    pub generation: u64,
    /// Who stored it.
    pub author: name::Name,
    /// When it was stored.
    pub at: time::Time,
    /// Failure domains.
    pub domains: Vec<Domain>,
    /// Services.
    pub services: Vec<Service>,
    /// Upstreams that are leaving or drained.
    pub leaving: collections::BTreeSet<name::Name>,
}

/// The state of one failure domain.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Domain {
    /// Name.
    pub name: name::Name,
    /// The lowest generation that its instances report; `None` if none does.
    pub generation: Option<u64>,
    /// Listed instances of the system that are not leaving.
    pub instances: usize,
    /// Those of them that report.
    pub reports: usize,
    /// Those of them that took requests when they reported.
    pub ready: usize,
}

/// The state of one service.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Service {
    /// Name.
    pub name: name::Name,
    /// Declared version.
    pub version: name::Name,
    /// Upstreams that run the declared version.
    pub upstreams: usize,
    /// Its declared rollout, or the last one.
    pub rollout: Option<progress::Progress>,
}

impl View {
    /// Puts the state together.
    pub fn new(stored: &history::Stored, observed: &viewer::Observed) -> Self {
        let declaration = &stored.envelope.declaration;
        let domain = |domain: &declaration::Domain| Domain::new(&domain.name, observed);
        let service = |service| Service::new(service, declaration, &observed.rollouts);
        Self {
            site: declaration.site.clone(),
            generation: stored.generation,
            author: stored.envelope.author.clone(),
            at: stored.envelope.at,
            domains: declaration.domains.iter().map(domain).collect(),
            services: declaration.services.iter().map(service).collect(),
            leaving: observed.leaving(),
        }
    }

    /// Returns whether every failure domain reports the generation or a later one.
    pub fn is_in_force(&self, generation: u64) -> bool {
        let reached = |domain: &Domain| {
            let whole = domain.reports == domain.instances;
            whole && domain.generation.is_some_and(|seen| seen >= generation)
        };
        self.domains.iter().all(reached)
    }

    /// Returns the progress of a service's rollout.
    pub fn rollout(&self, service: &str) -> Option<&progress::Progress> {
        let mut services = self.services.iter();
        let service = services.find(|known| known.name.as_str() == service)?;
        service.rollout.as_ref()
    }

    fn domain_table(&self) -> table::Table<5> {
        let mut table = table::Table::new(["DOMAIN", "IN FORCE", "INSTANCES", "REPORTS", "READY"]);
        for domain in &self.domains {
            let generation = domain.generation.map(|generation| generation.to_string());
            table.push([
                domain.name.to_string(),
                generation.unwrap_or_else(|| "-".to_owned()),
                domain.instances.to_string(),
                domain.reports.to_string(),
                domain.ready.to_string(),
            ]);
        }
        table
    }

    fn service_table(&self) -> table::Table<7> {
        let mut table = table::Table::new([
            "SERVICE",
            "VERSION",
            "UPSTREAMS",
            "TO",
            "SHARE",
            "PHASE",
            "DEADLINE",
        ]);
        for service in &self.services {
            table.push(service.cells());
        }
        table
    }
}

impl Domain {
    fn new(name: &name::Name, observed: &viewer::Observed) -> Self {
        let entries = observed.entries(name);
        let reports = entries.iter().filter_map(|entry| observed.status(entry));
        let reports: Vec<_> = reports.collect();
        Self {
            name: name.clone(),
            generation: reports.iter().map(|status| status.generation).min(),
            instances: entries.len(),
            reports: reports.len(),
            ready: reports.iter().filter(|status| status.ready).count(),
        }
    }
}

impl Service {
    fn new(
        service: &declaration::Service,
        declaration: &declaration::Declaration,
        rollouts: &rollout::Table,
    ) -> Self {
        let runs = |up: &&declaration::Upstream| {
            up.service == service.name && up.version == service.version
        };
        let declared = declaration
            .rollouts
            .iter()
            .find(|r| r.service == service.name);
        let stored = rollouts.statuses.get(&service.name);
        Self {
            name: service.name.clone(),
            version: service.version.clone(),
            upstreams: declaration.upstreams.iter().filter(runs).count(),
            rollout: progress::Progress::join(declared, stored),
        }
    }

    fn cells(&self) -> [String; 7] {
        let none = || std::array::from_fn(|_| "-".to_owned());
        let rollout = self.rollout.as_ref();
        let [to, share, phase, deadline] = rollout.map_or_else(none, progress::Progress::cells);
        let name = self.name.to_string();
        let version = self.version.to_string();
        let upstreams = self.upstreams.to_string();
        [name, version, upstreams, to, share, phase, deadline]
    }
}

impl fmt::Display for View {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}: generation {} by {} at {}\n",
            self.site,
            self.generation,
            self.author,
            operation::format_time(self.at)
        )?;
        writeln!(f, "{}\n{}", self.domain_table(), self.service_table())?;
        let leaving: Vec<_> = self.leaving.iter().map(name::Name::as_str).collect();
        match leaving.is_empty() {
            true => writeln!(f, "LEAVING  none"),
            false => writeln!(f, "LEAVING  {}", leaving.join(", ")),
        }
    }
}
