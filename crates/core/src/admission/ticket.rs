//! A request that asks to be admitted.

use crate::declaration;
use crate::name;
use crate::time;

/// What admission needs to know of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Request id, unique at this node.
    pub request: u64,
    /// The workspace that pays.
    pub workspace: name::Name,
    /// The service asked for.
    pub service: name::Name,
    /// Scheduling class.
    pub priority: declaration::Priority,
    /// Expected work in tokens.
    pub cost: u32,
    /// Latest useful time of the first token or whole answer.
    pub deadline: time::Time,
}
