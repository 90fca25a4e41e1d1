//! What a service needs.

/// The load that a service must carry at its latency target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Requests in progress at once.
    pub slots: u32,
    /// Instances that may start now, as the weight store's rate allows.
    pub starts: u32,
}
