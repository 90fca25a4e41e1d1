//! Store calls and state changes of a lease.

use crate::store;

/// A store call that a lease requests, or a change of its holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Make a call to the store; at most one is in flight.
    Call(store::Call),
    /// This controller has acquired the lease.
    Acquired {
        /// Version of the lease object that was written when the lease was acquired.
        fencing_token: u64,
    },
    /// This controller no longer holds the lease.
    Lost,
}
