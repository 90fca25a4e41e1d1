//! One record of a partition's log.

use crate::ledger::stored_response;
use crate::name;
use crate::time;

/// Id of one claim: the unique number of the process and a counter.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct Operation {
    /// Unique number of the writing process.
    pub writer: u64,
    /// Counter within that process.
    pub number: u64,
}

/// State of a key.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The writer may run the request until the deadline.
    Claimed {
        /// The latest time at which the run ends.
        deadline: time::Time,
    },
    /// The claim was released; the request was not run.
    Released,
    /// The request ran, with this response.
    Ended(stored_response::StoredResponse),
    /// The outcome of the run is unknown, so it must not be retried.
    Unclear,
}

/// A record of the log.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Record {
    /// Workspace, service and idempotency key, joined.
    pub key: name::Name,
    /// Hash of the request's body.
    pub fingerprint: u64,
    /// The claim that the record belongs to.
    pub operation: Operation,
    /// The new state of the key.
    pub step: Step,
    /// When the record expires.
    pub expiry: time::Time,
}
