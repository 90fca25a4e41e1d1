//! An engine as described by its entry in the platform's store.

use std::net;

use crate::name;
use crate::time;

/// One engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Name, unique among the engines that run.
    pub name: name::Name,
    /// Incarnation: a higher one under the same name has no state of earlier ones; 0 means unknown.
    pub incarnation: u64,
    /// Service that it runs.
    pub service: name::Name,
    /// Address.
    pub address: net::SocketAddr,
    /// Failure domain that it runs in.
    pub domain: name::Name,
    /// Version of its software.
    pub version: name::Name,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Whether the platform may reclaim it.
    pub spot: bool,
    /// End of the time after its start in which it is slow.
    pub warm_at: time::Time,
}
