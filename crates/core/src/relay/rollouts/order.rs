//! Rollouts as the operator ordered them, and their stages.

use std::time::Duration;

use crate::name;

/// Stage of a rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// No lease holder has started it.
    Ordered,
    /// The new version gets a share of the requests.
    Running,
    /// The new version serves all requests.
    Completed,
    /// The old version serves all requests.
    RolledBack,
}

impl Stage {
    /// Returns the place in the order in which stages follow each other.
    pub(super) const fn rank(self) -> u8 {
        match self {
            Self::Ordered => 0,
            Self::Running => 1,
            Self::Completed | Self::RolledBack => 2,
        }
    }
}

/// A rollout as the operator ordered it and as its status says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The service.
    pub service: name::Name,
    /// The new version.
    pub target: name::Name,
    /// Longest duration of the rollout.
    pub duration: Duration,
    /// Stage of the rollout.
    pub stage: Stage,
    /// True time of the deadline in microseconds; none until a lease holder has started the
    /// rollout.
    pub deadline_micros: Option<u64>,
    /// Revision of the object in the store.
    pub revision: u64,
}
