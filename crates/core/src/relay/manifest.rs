//! The manifest: routes, services, workspaces and limits of one version.

use std::collections;
use std::sync;
use std::time::Duration;

use super::route;
use super::service;
use super::workspace;
use crate::name;

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Longest time from the first to the last byte of a head.
    pub head_timeout: Duration,
    /// Longest time that a connection stays open between requests.
    pub idle_timeout: Duration,
}

/// Contents of a manifest.
#[derive(Clone, Debug)]
pub struct Parts {
    /// Version; newer ones are higher.
    pub version: u64,
    /// Routes.
    pub routes: Vec<route::Route>,
    /// Services.
    pub services: Vec<service::Service>,
    /// Workspaces; `None` if requests need no API key.
    pub workspaces: Option<Vec<workspace::Workspace>>,
    /// Bounds on what a caller may send.
    pub limits: Limits,
}

/// One version of the manifest, indexed for lookups.
#[derive(Clone, Debug)]
pub struct Manifest {
    version: u64,
    hosts: collections::HashMap<name::Name, Vec<sync::Arc<route::Route>>>,
    services: collections::BTreeMap<name::Name, service::Service>,
    workspaces: Option<collections::BTreeMap<name::Name, workspace::Workspace>>,
    keys: collections::HashMap<name::Name, name::Name>,
    limits: Limits,
}

/// The route and the workspace of an admitted request.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The route.
    pub route: sync::Arc<route::Route>,
    /// The workspace that the request's API key belongs to, if any.
    pub workspace: Option<workspace::Workspace>,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// No route serves its host and path.
    NoRoute,
    /// Its API key is missing or unknown.
    UnknownKey,
}

impl Manifest {
    /// Indexes the parts of a manifest.
    pub fn new(parts: Parts) -> Self {
        let mut hosts: collections::HashMap<_, Vec<sync::Arc<route::Route>>> =
            collections::HashMap::new();
        for route in parts.routes {
            let routes = hosts.entry(route.host.clone()).or_default();
            routes.push(sync::Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let listed = parts.workspaces.iter().flatten();
        let keys = listed.flat_map(|w| w.keys.iter().map(|key| (key.clone(), w.name.clone())));
        Self {
            version: parts.version,
            hosts,
            keys: keys.collect(),
            services: by_name(parts.services, |service| service.name.clone()),
            workspaces: parts.workspaces.map(|all| by_name(all, |w| w.name.clone())),
            limits: parts.limits,
        }
    }

    /// Returns the version.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the bounds on what a caller may send.
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the services by name.
    pub const fn services(&self) -> &collections::BTreeMap<name::Name, service::Service> {
        &self.services
    }

    /// Returns the workspaces, ordered by name.
    pub fn workspaces(&self) -> impl Iterator<Item = &workspace::Workspace> {
        self.workspaces.iter().flat_map(|all| all.values())
    }

    /// Returns the route with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&sync::Arc<route::Route>> {
        let routes = self.hosts.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Admits a request by its host, path and API key.
    ///
    /// # Errors
    ///
    /// Fails if no route serves the request, or if it needs a key and no workspace has its key.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Result<Admission, Denial> {
        let route = self.route(host, path).ok_or(Denial::NoRoute)?;
        let workspace = key
            .and_then(|key| self.keys.get(key))
            .and_then(|name| self.workspaces.as_ref()?.get(name));
        let needs_key = self.workspaces.is_some() && !route.anonymous;
        if needs_key && workspace.is_none() {
            return Err(Denial::UnknownKey);
        }
        Ok(Admission {
            route: route.clone(),
            workspace: workspace.cloned(),
        })
    }
}

fn by_name<T>(
    items: Vec<T>,
    name: impl Fn(&T) -> name::Name,
) -> collections::BTreeMap<name::Name, T> {
    items.into_iter().map(|item| (name(&item), item)).collect()
}
