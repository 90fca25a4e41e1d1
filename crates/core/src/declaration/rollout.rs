//! Rollouts.

use crate::name;

/// A rollout of a service from one version to another.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Rollout {
    /// The service that is rolled out.
    pub service: name::Name,
    /// The old version, which serves now.
    pub from: name::Name,
    /// The new version.
    pub to: name::Name,
    /// Largest share of requests for the new version in the canary phase, in thousandths.
    pub share: u32,
    /// Time by which the rollout is completed or rolled back.
    pub deadline: jiff::Timestamp,
}
