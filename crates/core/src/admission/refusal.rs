//! Refusals before a request is dispatched.

use crate::time;

/// A refused request; it has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Request id.
    pub request: u64,
    /// Reason of the refusal.
    pub reason: Reason,
    /// When a retry is expected to be admitted.
    pub retry_at: time::Time,
}

/// Why a request was refused.
#[derive(
    Clone,
    Copy,
    Debug,
    displaydoc::Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// the workspace's rate limit is reached; spread requests or raise `rate`
    Rate,
    /// the workspace's concurrency limit is reached; wait for responses or raise `concurrency`
    Concurrency,
    /// the queue is full; retry later
    QueueFull,
    /// the deadline cannot be met under the current load; retry later
    Deadline,
    /// the workspace is not declared; add it to the declaration
    UnknownWorkspace,
}
