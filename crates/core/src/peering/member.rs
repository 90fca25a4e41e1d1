//! Members of the peering: entries, and controllers as leaves.

use std::net;

use crate::name;

/// Identity and address of a peer.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Member {
    /// Unique name.
    pub name: name::Name,
    /// Failure domain of the member.
    pub domain: name::Name,
    /// Region of the failure domain.
    pub region: name::Name,
    /// Address at which the member accepts links.
    pub address: net::SocketAddr,
    /// Increases with each start under the same name.
    pub incarnation: u64,
}
