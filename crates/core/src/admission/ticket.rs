//! A request offered to the admission controller.

use crate::declaration;
use crate::name;
use crate::time;

/// The properties of a request that its admission depends on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Request id, unique at this node.
    pub request: u64,
    /// The workspace that is charged.
    pub workspace: name::Name,
    /// The requested service.
    pub service: name::Name,
    /// Scheduling class.
    pub priority: declaration::Priority,
    /// Expected work in tokens.
    pub cost: u32,
    /// Latest useful time of the first token or of the complete response.
    pub deadline: time::Time,
}
