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
    /// Service that receives the requests.
    pub service: name::Name,
    /// `true` if a request can run more than once without harm.
    pub idempotent: bool,
    /// Scheduling class.
    pub priority: priority::Priority,
    /// Time from arrival to the deadline for the first token or complete response, in milliseconds.
    pub timeout: u64,
}
