//! An instance as a setting names it.

use std::net;

use guavausher_core::name;

/// An instance as a setting names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Its name.
    pub name: name::Name,
    /// Its peer port.
    pub address: net::SocketAddr,
}
