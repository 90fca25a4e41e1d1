//! An answer from the store to the one who submitted the call.

use guavausher_core::store;

/// The reply to the call that was submitted under an id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The id given with the call.
    pub id: u64,
    /// The reply.
    pub reply: store::Reply,
}
