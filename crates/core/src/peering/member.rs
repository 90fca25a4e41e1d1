//! One entry as its peers see it.

use std::net;

use crate::name;

/// One entry as its peers see it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Member {
    /// Unique name.
    pub name: name::Name,
    /// The failure domain that holds it.
    pub domain: name::Name,
    /// The region that holds the failure domain.
    pub region: name::Name,
    /// Address of the peers' port.
    pub address: net::SocketAddr,
    /// Grows with every start under the same name.
    pub incarnation: u64,
}
