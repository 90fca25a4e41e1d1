//! Upstreams.

use std::net;

use crate::declaration::market;
use crate::name;

/// One upstream instance.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Upstream {
    /// Unique name.
    pub name: name::Name,
    /// The service that it serves.
    pub service: name::Name,
    /// The version that it runs.
    pub version: name::Name,
    /// Address by IP number.
    pub address: net::SocketAddr,
    /// The failure domain that holds it.
    pub domain: name::Name,
    /// Machine class.
    pub class: name::Name,
    /// Reclaimable or on demand.
    pub market: market::Market,
    /// Requests that it runs at once.
    pub slots: u32,
}
