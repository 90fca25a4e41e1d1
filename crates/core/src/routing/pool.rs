//! The upstreams of one service.

use std::collections;

use crate::name;

/// Indices of the upstreams of one service, by version.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    /// The version that is used when a request names none.
    pub version: Option<name::Name>,
    /// Upstreams of all versions.
    pub all: Vec<usize>,
    versions: collections::BTreeMap<name::Name, Vec<usize>>,
}

impl Pool {
    /// Adds an upstream that runs a version.
    pub fn push(&mut self, version: &name::Name, index: usize) {
        self.all.push(index);
        self.versions
            .entry(version.clone())
            .or_default()
            .push(index);
    }

    /// Returns the upstreams of a version, or all.
    pub fn of(&self, version: Option<&name::Name>) -> &[usize] {
        match version {
            Some(version) => self
                .versions
                .get(version)
                .map(Vec::as_slice)
                .unwrap_or_default(),
            None => &self.all,
        }
    }
}
