//! Failure domains.

use crate::name;

/// A failure domain.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Domain {
    /// Unique name.
    pub name: name::Name,
    /// Region that contains the failure domain.
    pub region: name::Name,
}
