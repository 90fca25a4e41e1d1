//! What a lease decides.

use crate::store;

/// A call or a change of a lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// A call to the store; one at a time.
    Call(store::Call),
    /// The lease is held from now on.
    Acquired {
        /// Fencing number: the version of the lease object that began the tenure.
        fencing_token: u64,
    },
    /// The lease is held no more.
    Lost,
}
