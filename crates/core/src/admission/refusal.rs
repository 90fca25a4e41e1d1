//! Refusals before any dispatch.

use crate::time;

/// A refusal; the request has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Request id.
    pub request: u64,
    /// Why it was refused.
    pub reason: Reason,
    /// When a new try is expected to be admitted.
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
    /// the workspace's concurrency limit is reached; wait for answers or raise `concurrency`
    Concurrency,
    /// the queue is full; come back later
    QueueFull,
    /// the deadline cannot be met under the present load; come back later
    Deadline,
    /// the workspace is not declared; add it to the declaration
    UnknownWorkspace,
}
