//! One record of a partition's log.

use crate::ledger::stored_response;
use crate::name;
use crate::time;

/// Identifies one claim: the entry's incarnation and a counter.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct Operation {
    /// Unique number of the writing process.
    pub writer: u64,
    /// Counter within that process.
    pub number: u64,
}

/// What happened to a key.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The writer may run the request until the deadline.
    Claimed {
        /// When the run has ended at the latest.
        deadline: time::Time,
    },
    /// The claim was given back; the request was not run.
    Released,
    /// The request ran and this is its answer.
    Ended(stored_response::StoredResponse),
    /// The run ended unclear and must not be repeated.
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
    /// What happened.
    pub step: Step,
    /// When the record may be forgotten.
    pub expiry: time::Time,
}
