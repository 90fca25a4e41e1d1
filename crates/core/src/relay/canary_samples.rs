//! Outcomes of a rollout as instances report them to each other.

use super::version_stats;
use crate::name;

/// Outcomes of both versions of a service in a rollout, on one route.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CanarySamples {
    /// The service.
    pub service: name::Name,
    /// The version that is rolled out.
    pub target: name::Name,
    /// The route.
    pub route: name::Name,
    /// Counts of outcomes for the two versions.
    pub pair: version_stats::Pair,
}
