//! The times of a lease.

use std::time::Duration;

use crate::lease;

/// How long a lease holds and how often it is looked at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// How long the lease holds after its last renewal.
    pub term: Duration,
    /// Time between two renewals, and between two looks at another's lease.
    pub renewal: Duration,
    /// Time before a failed call is made again.
    pub retry: Duration,
    /// The longest time that an order takes from the check of the lease to its end.
    pub order_timeout: Duration,
    /// How long a new holder waits before it orders upstreams that ignore fencing numbers.
    pub grace: Duration,
    /// Time that each candidate leaves to the ones before it.
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
