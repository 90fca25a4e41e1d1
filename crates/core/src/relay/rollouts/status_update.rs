//! Changes of the status of a rollout.

use super::order;
use super::outcomes;
use crate::name;

/// A change of a rollout's status that the lease holder writes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StatusUpdate {
    /// The service.
    pub service: name::Name,
    /// The new version.
    pub target: name::Name,
    /// The new stage.
    pub stage: order::Stage,
    /// True time of the deadline in microseconds.
    pub deadline_micros: u64,
    /// Revision of the object on which the change is based; the write is conditional on it.
    pub revision: u64,
    /// What the change rests on.
    pub outcomes: outcomes::Outcomes,
}
