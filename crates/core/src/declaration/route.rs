//! Routes.

use crate::declaration::priority;
use crate::name;

/// A route from a path to a service.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Route {
    /// Unique name.
    pub name: name::Name,
    /// Exact request path, for example `/v1/verse`.
    pub path: String,
    /// The service that serves it.
    pub service: name::Name,
    /// Whether a repeated run does no harm.
    pub idempotent: bool,
    /// Scheduling class.
    pub priority: priority::Priority,
    /// Milliseconds from arrival to the deadline of the first token or whole answer.
    pub timeout: u64,
}
