//! Decisions and store calls of the ledger.

use crate::ledger::{record, stored_response};
use crate::store;
use crate::time;

/// A decision or a store call of the ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// The request may run, once, before its deadline.
    Granted {
        /// The request.
        request: u64,
        /// The claim that was written.
        operation: record::Operation,
    },
    /// The key has run, with this response.
    AlreadyRun {
        /// The request.
        request: u64,
        /// The stored response.
        response: stored_response::StoredResponse,
    },
    /// The request may not run.
    Denied {
        /// The request.
        request: u64,
        /// The reason.
        reason: Reason,
    },
    /// The end of a claim is recorded.
    Recorded {
        /// The claim.
        operation: record::Operation,
    },
    /// Make a call to the store; at most one is in flight for each partition.
    Call {
        /// The partition that waits for the reply.
        partition: u64,
        /// The call.
        call: store::Call,
    },
}

/// Why a claim is denied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The key is running at some entry; its response may be available later.
    Busy {
        /// When the caller may retry.
        retry_at: time::Time,
    },
    /// The key has not run; only returned to a lookup.
    NotFound,
    /// The outcome of the key's earlier run is unknown, so it is never retried.
    Unclear,
    /// The key was used with another body.
    Mismatch,
    /// The store cannot record the claim now.
    Unavailable {
        /// When the caller may retry.
        retry_at: time::Time,
    },
    /// Too many claims are waiting for the partition.
    Overloaded {
        /// When the caller may retry.
        retry_at: time::Time,
    },
}
