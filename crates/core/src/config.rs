//! The applied configuration, indexed for lookups.

use std::collections;
use std::sync;

use crate::declaration;
use crate::name;

/// A declaration with its generation.
#[derive(Clone, Debug)]
pub struct Config {
    /// The version of the stored object.
    pub generation: u64,
    /// The complete declaration.
    pub declaration: sync::Arc<declaration::Declaration>,
    routes: collections::HashMap<String, sync::Arc<declaration::Route>>,
    services: collections::HashMap<name::Name, sync::Arc<declaration::Service>>,
    workspaces: collections::HashSet<name::Name>,
    regions: collections::HashMap<name::Name, name::Name>,
}

impl Config {
    /// Builds the indexes of a declaration.
    pub fn new(generation: u64, declaration: declaration::Declaration) -> Self {
        let routes = declaration.routes.iter();
        let services = declaration.services.iter();
        Self {
            generation,
            routes: routes
                .map(|r| (r.path.clone(), sync::Arc::new(r.clone())))
                .collect(),
            services: services
                .map(|s| (s.name.clone(), sync::Arc::new(s.clone())))
                .collect(),
            workspaces: declaration
                .workspaces
                .iter()
                .map(|w| w.name.clone())
                .collect(),
            regions: declaration
                .domains
                .iter()
                .map(|d| (d.name.clone(), d.region.clone()))
                .collect(),
            declaration: sync::Arc::new(declaration),
        }
    }

    /// Returns the route of a path.
    pub fn route(&self, path: &str) -> Option<&sync::Arc<declaration::Route>> {
        self.routes.get(path)
    }

    /// Returns a service by name.
    pub fn service(&self, name: &name::Name) -> Option<&sync::Arc<declaration::Service>> {
        self.services.get(name)
    }

    /// Returns `true` if the workspace is declared.
    pub fn has_workspace(&self, name: &name::Name) -> bool {
        self.workspaces.contains(name)
    }

    /// Returns the region of a failure domain; an undeclared domain is its own region.
    pub fn region(&self, domain: &name::Name) -> name::Name {
        self.regions.get(domain).unwrap_or(domain).clone()
    }
}
