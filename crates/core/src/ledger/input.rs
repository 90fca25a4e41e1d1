//! What drives the ledger.

use crate::ledger::{claim, record, stored_response};
use crate::store;

/// An event for the ledger.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request wants to run.
    Claim(claim::Claim),
    /// A claimed request ended with an answer.
    Complete {
        /// The claim.
        operation: record::Operation,
        /// Its answer.
        response: stored_response::StoredResponse,
    },
    /// A claimed request ended and may have run.
    Unclear {
        /// The claim.
        operation: record::Operation,
    },
    /// A claimed request was not run.
    Release {
        /// The claim.
        operation: record::Operation,
    },
    /// The store replied to a call of this partition.
    Reply {
        /// The partition that made the call.
        partition: u64,
        /// The reply.
        reply: store::Reply,
    },
    /// Time has passed.
    Tick,
}
