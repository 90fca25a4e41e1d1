//! Workspaces.

use crate::name;

/// A workspace: one customer with its weight and limits.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Workspace {
    /// Unique name.
    pub name: name::Name,
    /// Weight of its share relative to other workspaces.
    pub weight: u32,
    /// Average requests per second; each entry enforces it for itself.
    pub rate: u32,
    /// Largest number of requests in progress at one entry.
    pub concurrency: u32,
}
