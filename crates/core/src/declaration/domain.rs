//! Failure domains.

use crate::name;

/// A failure domain.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Domain {
    /// Unique name.
    pub name: name::Name,
    /// The region that holds it.
    pub region: name::Name,
}
