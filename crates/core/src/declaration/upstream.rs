//! Upstreams.

use std::net;

use crate::declaration::market;
use crate::name;

/// One upstream instance.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Upstream {
    /// Unique name.
    pub name: name::Name,
    /// Service that it serves.
    pub service: name::Name,
    /// Version that it runs.
    pub version: name::Name,
    /// IP address and port.
    pub address: net::SocketAddr,
    /// Failure domain that it runs in.
    pub domain: name::Name,
    /// Machine class.
    pub class: name::Name,
    /// Market in which it is rented.
    pub market: market::Market,
    /// Largest number of concurrent requests.
    pub slots: u32,
}
