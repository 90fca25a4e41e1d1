//! The upstream that a decision picked.

use std::net;

use crate::name;
use crate::time;

/// An upstream picked for one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub upstream: name::Name,
    /// The version that it runs.
    pub version: name::Name,
    /// Its address.
    pub address: net::SocketAddr,
    /// Its incarnation as this node knows it.
    pub incarnation: u64,
    /// When the first token is expected.
    pub expected: time::Time,
}
