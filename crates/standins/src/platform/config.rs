//! Settings of a platform.

use std::net;

/// Settings of a platform.
#[derive(Clone, Debug)]
pub struct Config {
    /// Listening address.
    pub listen: net::SocketAddr,
    /// Time that each call takes, in milliseconds.
    pub call_ms: u64,
    /// Lag of the instance list in milliseconds.
    pub list_lag_ms: u64,
    /// Share of refused instance starts, in thousandths.
    pub refuse_rate: u16,
    /// Bytes a second that the weight store gives out.
    pub weight_rate: u64,
    /// Seed of error rate and refused starts.
    pub seed: u64,
    /// Runtime threads.
    pub threads: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            call_ms: 0,
            list_lag_ms: 0,
            refuse_rate: 0,
            weight_rate: 64 << 20,
            seed: 1,
            threads: 1,
        }
    }
}
