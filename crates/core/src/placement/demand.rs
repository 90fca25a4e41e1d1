//! Demand of a service.

/// The load that a service must serve within its latency target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Demand {
    /// Requests in progress at once.
    pub slots: u32,
    /// Instances that may start now, limited by the bandwidth of the weight store.
    pub starts: u32,
}
