//! What the ledger decides.

use crate::ledger::{record, stored_response};
use crate::store;
use crate::time;

/// A decision or a call of the ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// The request may run, once, before its deadline.
    Granted {
        /// The request.
        request: u64,
        /// The claim that was written.
        operation: record::Operation,
    },
    /// The key has run; this is its answer.
    AlreadyRun {
        /// The request.
        request: u64,
        /// The kept answer.
        response: stored_response::StoredResponse,
    },
    /// The request may not run.
    Denied {
        /// The request.
        request: u64,
        /// Why not.
        reason: Reason,
    },
    /// The end of a claim is recorded.
    Recorded {
        /// The claim.
        operation: record::Operation,
    },
    /// A call to the store; one at a time for each partition.
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
    /// The key is running at some entry; its answer may be there later.
    Busy {
        /// When to ask again.
        retry_at: time::Time,
    },
    /// The key has not run; the answer to a lookup.
    NotFound,
    /// The key's earlier run ended unclear and is never repeated.
    Unclear,
    /// The key was used with another body.
    Mismatch,
    /// The store cannot record the claim now.
    Unavailable {
        /// When to ask again.
        retry_at: time::Time,
    },
    /// Too many claims wait for the partition.
    Overloaded {
        /// When to ask again.
        retry_at: time::Time,
    },
}
