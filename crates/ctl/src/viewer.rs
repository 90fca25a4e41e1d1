//! Reads what the state of a deployment is put together from.

use std::collections;

use guavausher_core::name;
use guavausher_core::rollout;
use guavausher_core::store;

use crate::client;
use crate::drain;
use crate::error;
use crate::history;
use crate::status;
use crate::view;

/// Kind of the instances that run the system, in the platform's list.
const ENTRY_KIND: &str = "entry";

/// Reads stored objects and keeps the reports until they change.
#[derive(Debug, Default)]
pub struct Viewer {
    reports: collections::BTreeMap<name::Name, Report>,
}

/// What stands beside the stored configuration.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// Reports of instances.
    pub statuses: Vec<status::Status>,
    /// The platform's list of instances.
    pub instances: Vec<store::Instance>,
    /// Progress of rollouts.
    pub rollouts: rollout::Table,
    /// Drained upstreams.
    pub drained: Vec<name::Name>,
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
    pub fn view(&mut self, client: &client::Client) -> Result<view::View, error::Error> {
        let stored = history::current(client)?.ok_or(error::Error::Unapplied)?;
        self.refresh(client)?;
        let reports = self.reports.values().map(|report| report.status.clone());
        let observed = Observed {
            statuses: reports.collect(),
            instances: client.instances()?,
            rollouts: read_rollouts(client)?,
            drained: read_drained(client)?,
        };
        Ok(view::View::new(&stored, &observed))
    }

    /// Reads the reports whose version changed; one that is not readable is left out.
    fn refresh(&mut self, client: &client::Client) -> Result<(), error::Error> {
        let entries = client.list(status::PREFIX)?.objects;
        let keys: collections::BTreeSet<_> = entries.iter().map(|entry| &entry.key).collect();
        self.reports.retain(|key, _| keys.contains(key));
        for entry in entries {
            let known = self.reports.get(&entry.key);
            if known.is_some_and(|report| report.version == entry.version) {
                continue;
            }
            let Some(object) = client.read(&entry.key)? else {
                continue;
            };
            if let Ok(status) = serde_json::from_slice(&object.body) {
                let version = object.version;
                self.reports.insert(entry.key, Report { version, status });
            }
        }
        Ok(())
    }
}

impl Observed {
    /// Returns the instances of the system in a failure domain that are to stay.
    pub fn entries(&self, domain: &name::Name) -> Vec<&store::Instance> {
        let entry = |instance: &&store::Instance| {
            instance.kind.as_str() == ENTRY_KIND && instance.domain == *domain && !instance.leaving
        };
        self.instances.iter().filter(entry).collect()
    }

    /// Returns the report of an instance.
    pub fn status(&self, entry: &store::Instance) -> Option<&status::Status> {
        let mut statuses = self.statuses.iter();
        statuses.find(|status| status.instance == entry.name && status.domain == entry.domain)
    }

    /// Returns every upstream that is drained, listed as leaving or reported to be.
    pub fn leaving(&self) -> collections::BTreeSet<name::Name> {
        let (leaving, staying): (Vec<_>, Vec<_>) =
            self.instances.iter().partition(|instance| instance.leaving);
        let listed = leaving
            .into_iter()
            .filter(|instance| instance.kind.as_str() != ENTRY_KIND);
        let listed = listed.map(|instance| instance.name.clone());
        let reports = staying.into_iter().filter_map(|entry| self.status(entry));
        let reported = reports.flat_map(|status| status.leaving.clone());
        listed.chain(reported).chain(self.drained.clone()).collect()
    }
}

fn read_rollouts(client: &client::Client) -> Result<rollout::Table, error::Error> {
    let Some(object) = client.read(rollout::KEY)? else {
        return Ok(rollout::Table::default());
    };
    rollout::Table::decode(&object.body).map_err(|error| error::Error::Unreadable {
        key: rollout::KEY.to_owned(),
        message: error.to_string(),
    })
}

fn read_drained(client: &client::Client) -> Result<Vec<name::Name>, error::Error> {
    let entries = client.list(drain::PREFIX)?.objects;
    let upstreams = entries
        .iter()
        .filter_map(|entry| entry.key.strip_prefix(drain::PREFIX));
    Ok(upstreams.map(name::Name::from).collect())
}
