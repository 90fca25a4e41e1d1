//! Settings of the links.

use std::net;
use std::time::Duration;

use guavausher_core::peering;

use super::key;

/// Settings of the links.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen at; none for a controller, which only dials.
    pub listen: Option<net::SocketAddr>,
    /// The secret of the deployment.
    pub key: key::Key,
    /// This process.
    pub own: peering::Member,
    /// Bounds of sizes and times.
    pub limits: Limits,
}

/// Bounds of sizes and times.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Connections at most, of peers and of those that have not yet shown the key.
    pub connections: usize,
    /// Bytes that wait for one peer at most.
    pub queue: usize,
    /// Time to connect and show the key.
    pub handshake: Duration,
    /// Time to send or receive one frame.
    pub frame: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 128,
            queue: 4 << 20,
            handshake: Duration::from_secs(3),
            frame: Duration::from_secs(5),
        }
    }
}
