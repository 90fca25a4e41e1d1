//! What each instance reports.

use guavausher_core::name;
use guavausher_core::time;

/// Prefix of the keys of status reports.
pub const PREFIX: &str = "status/";

/// The report of one instance.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Status {
    /// The generation in force there.
    pub generation: u64,
    /// The instance.
    pub instance: name::Name,
    /// Its failure domain.
    pub domain: name::Name,
    /// Whether it takes requests.
    pub ready: bool,
    /// Upstreams that it knows to be leaving.
    pub leaving: Vec<name::Name>,
    /// When it reported.
    pub at: time::Time,
}
