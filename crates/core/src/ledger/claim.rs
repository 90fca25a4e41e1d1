//! A request for the right to run one keyed request.

use crate::name;
use crate::time;

/// Asks for the right to run the request with this key.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The request at this entry.
    pub request: u64,
    /// Workspace, service and idempotency key, joined.
    pub key: name::Name,
    /// Hash of the body; the same key with another body is refused.
    pub fingerprint: u64,
    /// When the run has ended at the latest.
    pub deadline: time::Time,
    /// Whether only an earlier run is looked up and nothing is claimed.
    pub lookup: bool,
    /// Whether the upstreams deduplicate by key, so that a run of unclear end may be repeated.
    pub retryable: bool,
}
