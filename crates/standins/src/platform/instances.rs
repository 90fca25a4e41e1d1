//! The list of instances.

use std::collections;
use std::time;

use crate::lagged;

/// How many instances can be listed.
const MAX_INSTANCES: usize = 4_096;

/// What an instance does.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// It runs the system.
    Entry,
    /// It serves requests.
    Upstream,
}

/// One listed instance.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Unique name.
    pub name: String,
    /// Address with port.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// What it does.
    pub kind: Kind,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Its incarnation.
    #[serde(default)]
    pub incarnation: u64,
}

/// The list as an observer sees it.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Listing {
    /// Grows with each change.
    pub revision: u64,
    /// Instances in the order of their names.
    pub instances: Vec<Instance>,
}

/// The present list with its recent past.
#[derive(Debug)]
pub struct Instances {
    now: collections::BTreeMap<String, Instance>,
    revision: u64,
    past: lagged::Lagged<Listing>,
}

impl Default for Instances {
    fn default() -> Self {
        let past = lagged::Lagged::new(Listing::default());
        Self {
            now: collections::BTreeMap::new(),
            revision: 0,
            past,
        }
    }
}

impl Instances {
    /// Adds or replaces an instance; returns false if the list is full.
    pub fn register(&mut self, instance: Instance) -> bool {
        if self.now.len() >= MAX_INSTANCES && !self.now.contains_key(&instance.name) {
            return false;
        }
        self.now.insert(instance.name.clone(), instance);
        self.note();
        true
    }

    /// Removes an instance; returns false if there is none.
    pub fn remove(&mut self, name: &str) -> bool {
        let removed = self.now.remove(name).is_some();
        if removed {
            self.note();
        }
        removed
    }

    /// Returns the list as it was `lag` ago.
    pub fn list(&self, lag: time::Duration) -> Listing {
        self.past.get(lag).clone()
    }

    fn note(&mut self) {
        self.revision += 1;
        let instances = self.now.values().cloned().collect();
        self.past.set(Listing {
            revision: self.revision,
            instances,
        });
    }
}
