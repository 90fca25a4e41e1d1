//! Facts shared by all entries, which merge without coordination.

use crate::name;

/// A statement about an upstream, a version or a request body that is never retracted.
///
/// Facts merge by set union, so order and duplicates do not matter.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub enum Fact {
    /// The upstream's incarnation is leaving and gets no new requests.
    Leaving {
        /// The upstream.
        upstream: name::Name,
        /// The incarnation; a later one may be used again.
        incarnation: u64,
    },
    /// The version is halted and gets no new requests.
    Halted {
        /// The service.
        service: name::Name,
        /// The halted version.
        version: name::Name,
        /// The configuration generation that the halt belongs to.
        generation: u64,
    },
    /// An upstream crashed while it ran a request with this fingerprint.
    Suspect {
        /// Hash of service and body.
        fingerprint: u64,
        /// The upstream that crashed.
        upstream: name::Name,
    },
    /// A second upstream crashed while it ran a request with this fingerprint; requests with it are
    /// never dispatched again.
    Blocked {
        /// Hash of service and body.
        fingerprint: u64,
        /// The second upstream, whose crash does not make other requests suspect.
        upstream: name::Name,
    },
    /// A suspect request completed while it ran alone.
    Cleared {
        /// Hash of service and body.
        fingerprint: u64,
        /// The upstream whose crash no longer makes the request suspect.
        upstream: name::Name,
    },
    /// A controller is responsible for the rollouts of a service; a higher fencing token replaces
    /// a lower one.
    Holder {
        /// The service.
        service: name::Name,
        /// The entry next to the controller.
        holder: name::Name,
        /// Fencing token of the lease.
        fencing: u64,
    },
}
