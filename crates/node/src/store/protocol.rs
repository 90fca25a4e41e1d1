//! JSON bodies of the platform's service.

use guavausher_core::store;

/// Keys and versions under a prefix.
#[derive(Debug, serde::Deserialize)]
pub struct Listing {
    /// Revision of the whole store.
    pub revision: u64,
    /// Objects without bodies.
    pub objects: Vec<store::Entry>,
}

/// The instance list.
#[derive(Debug, serde::Deserialize)]
pub struct Instances {
    /// Revision of the list.
    pub revision: u64,
    /// Known instances.
    pub instances: Vec<store::Instance>,
}

/// Notices of the cloud API.
#[derive(Debug, serde::Deserialize)]
pub struct Notices {
    /// The sequence number to go on at.
    pub next: u64,
    /// New notices.
    pub notices: Vec<store::Notice>,
}
