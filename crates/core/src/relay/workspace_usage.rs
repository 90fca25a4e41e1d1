//! Usage of workspaces as instances report it to each other.

use crate::name;

/// Units that one process has admitted for one workspace since it started.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Usage {
    /// The workspace.
    pub workspace: name::Name,
    /// Admitted units.
    pub units: u64,
    /// Units per second that callers request.
    pub demand: u64,
    /// Units admitted by all instances beyond what the rate has drained, as far as the sender
    /// knows.
    pub level: Option<u64>,
}
