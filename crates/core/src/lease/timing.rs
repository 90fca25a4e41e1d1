//! Durations that govern a lease.

use std::time::Duration;

use crate::lease;

/// Durations that govern how a lease is acquired, renewed and used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Validity of the lease, measured from the start of its last successful write.
    pub term: Duration,
    /// Time between two renewals, and between two reads of a lease that another holds.
    pub renewal: Duration,
    /// Delay before a failed call is retried.
    pub retry: Duration,
    /// The longest time from the check of the lease for an order to the end of the order.
    pub order_timeout: Duration,
    /// How long a new holder waits before it sends orders to upstreams that don't check fencing
    /// tokens.
    pub grace: Duration,
    /// Head start that each candidate gives to the one before it in the order of preference.
    pub rank_delay: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            term: lease::TERM,
            renewal: lease::RENEWAL,
            retry: Duration::from_secs(1),
            order_timeout: lease::ORDER_TIMEOUT,
            grace: lease::GRACE,
            rank_delay: Duration::from_millis(500),
        }
    }
}
