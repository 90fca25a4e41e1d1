//! A claim on an idempotency key.

use crate::name;
use crate::time;

/// A claim on an idempotency key: asks for the exclusive right to run its request.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Id of the request at this entry.
    pub request: u64,
    /// Workspace, service and idempotency key, joined.
    pub key: name::Name,
    /// Hash of the body; a claim on the same key with another body is denied.
    pub fingerprint: u64,
    /// The latest time at which the run ends.
    pub deadline: time::Time,
    /// Whether only an earlier run is looked up, without claiming the key.
    pub lookup: bool,
    /// Whether the upstreams deduplicate by key, so that a run with an unknown outcome may be
    /// retried.
    pub retryable: bool,
}
