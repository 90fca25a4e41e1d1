//! An instance by name and address.

use std::net;

use crate::name;

/// An instance.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize)]
pub struct Member {
    /// Its name.
    pub name: name::Name,
    /// Its failure domain.
    pub domain: name::Name,
    /// Where it listens for messages of other instances.
    pub address: net::SocketAddr,
}
