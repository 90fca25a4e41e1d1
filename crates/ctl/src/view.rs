//! The state of a deployment, put together from stored objects.

use std::collections;
use std::fmt;

use guavausher_core::declaration;
use guavausher_core::name;
use guavausher_core::store;
use guavausher_core::time;

use crate::client;
use crate::drain;
use crate::error;
use crate::history;
use crate::operation;
use crate::rollout;
use crate::status;
use crate::table;

/// A report older than this, in microseconds, no longer counts against its failure domain.
const STALE_MICROS: u64 = 30_000_000;

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
    /// The lowest generation in force at its instances; `None` if none reports.
    pub generation: Option<u64>,
    /// Instances that reported lately.
    pub instances: usize,
    /// Those of them that take requests.
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
    pub rollout: Option<rollout::Rollout>,
}

/// The progress of rollouts by service.
pub type Rollouts = collections::BTreeMap<name::Name, rollout::Rollout>;

/// Reads stored objects and keeps their bodies until they change.
#[derive(Debug, Default)]
pub struct Viewer {
    reports: collections::BTreeMap<name::Name, Report>,
}

#[derive(Debug)]
struct Report {
    version: store::Version,
    status: status::Status,
}

impl Viewer {
    /// Reads what changed and returns the state.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no answer or nothing is stored.
    pub fn view(&mut self, client: &client::Client) -> Result<View, error::Error> {
        let stored = history::current(client)?.ok_or(error::Error::Unapplied)?;
        let rollouts = read_rollouts(client)?;
        let drained = client.list(drain::PREFIX)?.objects;
        self.refresh(client)?;
        let drained = drained
            .iter()
            .filter_map(|entry| entry.key.strip_prefix(drain::PREFIX));
        let reports = self.reports.values().map(|report| &report.status);
        let statuses: Vec<_> = reports.cloned().collect();
        let mut view = View::new(&stored, &statuses, &rollouts, operation::now());
        view.leaving.extend(drained.map(name::Name::from));
        Ok(view)
    }

    /// Reads the reports whose version changed; one that is not readable is left out.
    fn refresh(&mut self, client: &client::Client) -> Result<(), error::Error> {
        let entries = client.list(status::PREFIX)?.objects;
        let keys: collections::BTreeSet<_> = entries.iter().map(|entry| &entry.key).collect();
        self.reports.retain(|key, _| keys.contains(key));
        for entry in &entries {
            let known = self.reports.get(&entry.key);
            if known.is_some_and(|report| report.version == entry.version) {
                continue;
            }
            let Some(object) = client.read(&entry.key)? else {
                continue;
            };
            if let Ok(status) = serde_json::from_slice(&object.body) {
                let version = object.version;
                self.reports
                    .insert(entry.key.clone(), Report { version, status });
            }
        }
        Ok(())
    }
}

fn read_rollouts(client: &client::Client) -> Result<Rollouts, error::Error> {
    let Some(object) = client.read(rollout::KEY)? else {
        return Ok(Rollouts::new());
    };
    serde_json::from_slice(&object.body).map_err(|error| error::Error::Unreadable {
        key: rollout::KEY.to_owned(),
        message: error.to_string(),
    })
}

impl View {
    /// Puts the state together.
    pub fn new(
        stored: &history::Stored,
        statuses: &[status::Status],
        rollouts: &Rollouts,
        now: time::Time,
    ) -> Self {
        let declaration = &stored.envelope.declaration;
        let fresh = |status: &&status::Status| {
            let age = now.as_micros().saturating_sub(status.at.as_micros());
            age <= STALE_MICROS
        };
        let fresh: Vec<_> = statuses.iter().filter(fresh).collect();
        let domains = declaration
            .domains
            .iter()
            .map(|domain| Domain::new(&domain.name, &fresh));
        let service = |service| Service::new(service, declaration, rollouts);
        let services = declaration.services.iter().map(service);
        Self {
            site: declaration.site.clone(),
            generation: stored.generation,
            author: stored.envelope.author.clone(),
            at: stored.envelope.at,
            domains: domains.collect(),
            services: services.collect(),
            leaving: fresh
                .iter()
                .flat_map(|status| status.leaving.clone())
                .collect(),
        }
    }

    /// Returns whether every failure domain reports the generation or a later one.
    pub fn is_in_force(&self, generation: u64) -> bool {
        let reached = |domain: &Domain| domain.generation.is_some_and(|seen| seen >= generation);
        self.domains.iter().all(reached)
    }

    /// Returns the progress of a service's rollout.
    pub fn rollout(&self, service: &str) -> Option<&rollout::Rollout> {
        let mut services = self.services.iter();
        let service = services.find(|known| known.name.as_str() == service)?;
        service.rollout.as_ref()
    }

    fn domain_table(&self) -> table::Table<4> {
        let mut table = table::Table::new(["DOMAIN", "IN FORCE", "INSTANCES", "READY"]);
        for domain in &self.domains {
            let generation = domain.generation.map(|generation| generation.to_string());
            table.push([
                domain.name.to_string(),
                generation.unwrap_or_else(|| "-".to_owned()),
                domain.instances.to_string(),
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
    fn new(name: &name::Name, fresh: &[&status::Status]) -> Self {
        let own = fresh.iter().filter(|status| status.domain == *name);
        let own: Vec<_> = own.collect();
        Self {
            name: name.clone(),
            generation: own.iter().map(|status| status.generation).min(),
            instances: own.len(),
            ready: own.iter().filter(|status| status.ready).count(),
        }
    }
}

impl Service {
    fn new(
        service: &declaration::Service,
        declaration: &declaration::Declaration,
        rollouts: &Rollouts,
    ) -> Self {
        let runs = |up: &&declaration::Upstream| {
            up.service == service.name && up.version == service.version
        };
        let declared = declaration
            .rollouts
            .iter()
            .find(|r| r.service == service.name);
        let stored = rollouts.get(&service.name).cloned();
        let rollout = match declared {
            Some(declared) => stored
                .filter(|rollout| rollout.is_of(declared))
                .or_else(|| Some(rollout::Rollout::pending(declared))),
            None => stored,
        };
        Self {
            name: service.name.clone(),
            version: service.version.clone(),
            upstreams: declaration.upstreams.iter().filter(runs).count(),
            rollout,
        }
    }

    fn cells(&self) -> [String; 7] {
        let none = || std::array::from_fn(|_| "-".to_owned());
        let rollout = self.rollout.as_ref();
        let [to, share, phase, deadline] = rollout.map_or_else(none, rollout::Rollout::cells);
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
