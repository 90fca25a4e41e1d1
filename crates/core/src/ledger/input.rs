//! Events that the ledger handles.

use crate::ledger::{claim, record, stored_response};
use crate::store;

/// An event for the ledger.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request claims its key.
    Claim(claim::Claim),
    /// A claimed request ended with a response.
    Complete {
        /// The claim.
        operation: record::Operation,
        /// The response.
        response: stored_response::StoredResponse,
    },
    /// A claimed request ended with an unknown outcome; it may have run.
    Unclear {
        /// The claim.
        operation: record::Operation,
    },
    /// A claimed request was not run; its claim is released.
    Release {
        /// The claim.
        operation: record::Operation,
    },
    /// The store replied to a call of a partition.
    Reply {
        /// The partition that made the call.
        partition: u64,
        /// The reply.
        reply: store::Reply,
    },
    /// Time has passed.
    Tick,
}
