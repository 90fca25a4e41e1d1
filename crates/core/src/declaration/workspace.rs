//! Workspaces.

use crate::name;

/// A workspace: one customer with its share and limits.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Workspace {
    /// Unique name.
    pub name: name::Name,
    /// Share against the other workspaces.
    pub weight: u32,
    /// Requests a second, averaged over the fleet's entries by each for itself.
    pub rate: u32,
    /// Requests in progress at one entry.
    pub concurrency: u32,
}
