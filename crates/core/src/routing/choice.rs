//! The upstream selected for an attempt.

use std::net;

use crate::name;
use crate::time;

/// The upstream selected for one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub upstream: name::Name,
    /// The version that it runs.
    pub version: name::Name,
    /// Its address.
    pub address: net::SocketAddr,
    /// Its incarnation as known to this node.
    pub incarnation: u64,
    /// When the first token is expected.
    pub expected: time::Time,
}
