//! Rollouts.

use crate::name;

/// A move of a service from one version to another.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Rollout {
    /// The service.
    pub service: name::Name,
    /// The version that serves now.
    pub from: name::Name,
    /// The version that takes over.
    pub to: name::Name,
    /// Largest share of requests, in thousandths, before the version is trusted.
    pub share: u32,
    /// When the move is done or taken back.
    pub deadline: jiff::Timestamp,
}
