//! Settings of an engine.

use std::net;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Config {
    /// Listening address.
    pub listen: net::SocketAddr,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that may wait.
    pub queue: usize,
    /// Gap between two tokens of a stream, in milliseconds.
    pub token_ms: u64,
    /// Time to compute a token that is not cached, in microseconds.
    pub prefill_us: u64,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Lag of load reports in milliseconds.
    pub load_lag_ms: u64,
    /// Lag of cache events in milliseconds.
    pub cache_lag_ms: u64,
    /// Share of dropped cache events, in thousandths.
    pub cache_gap_rate: u16,
    /// Whether an order with a lower fencing number is refused.
    pub fencing: bool,
    /// Whether a body that contains `CRASH` ends the engine.
    pub crash_on_poison: bool,
    /// The version that is served first.
    pub version: String,
    /// Incarnation; 0 takes the start time.
    pub incarnation: u64,
    /// Seed of error rate and cache gaps.
    pub seed: u64,
    /// Runtime threads.
    pub threads: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            slots: 64,
            queue: 256,
            token_ms: 10,
            prefill_us: 0,
            cache_blocks: 4_096,
            load_lag_ms: 0,
            cache_lag_ms: 0,
            cache_gap_rate: 0,
            fencing: false,
            crash_on_poison: false,
            version: "v1".to_owned(),
            incarnation: 0,
            seed: 1,
            threads: 1,
        }
    }
}
