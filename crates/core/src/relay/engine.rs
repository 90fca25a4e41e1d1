//! An engine as its entry in the platform's store describes it.

use std::net;

use crate::name;
use crate::time;

/// One engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Its name, unique among those that live.
    pub name: name::Name,
    /// Its start; a higher one under the same name knows nothing of before, 0 is not told.
    pub incarnation: u64,
    /// The service that it runs.
    pub service: name::Name,
    /// Its address.
    pub address: net::SocketAddr,
    /// The failure domain that it runs in.
    pub domain: name::Name,
    /// The version of its software.
    pub version: name::Name,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether it may be reclaimed.
    pub spot: bool,
    /// Until when it is slow after its start.
    pub warm_at: time::Time,
}
