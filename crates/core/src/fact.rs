//! Facts that hold once stated and merge without agreement.

use crate::name;

/// A one-way statement about an upstream, a version or a request body.
///
/// Facts merge by set union, so their order and repetition do not matter.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub enum Fact {
    /// The upstream's incarnation is leaving and gets no new work.
    Leaving {
        /// The upstream.
        upstream: name::Name,
        /// The incarnation; a later one may be used again.
        incarnation: u64,
    },
    /// The version is halted and gets no new work.
    Halted {
        /// The service.
        service: name::Name,
        /// The halted version.
        version: name::Name,
        /// The configuration generation that the halt belongs to.
        generation: u64,
    },
    /// An upstream died while it ran a request with this fingerprint.
    Suspect {
        /// Hash of service and body.
        fingerprint: u64,
        /// The upstream that died.
        upstream: name::Name,
    },
    /// A second upstream died under this fingerprint; it is never dispatched again.
    Blocked {
        /// Hash of service and body.
        fingerprint: u64,
        /// The second upstream, whose death is no sign against other requests.
        upstream: name::Name,
    },
    /// A suspect request ran alone to its end.
    Cleared {
        /// Hash of service and body.
        fingerprint: u64,
        /// The upstream whose death is no sign against the request any more.
        upstream: name::Name,
    },
    /// A controller decides about the rollouts of a service; a higher fencing number replaces a
    /// lower one.
    Holder {
        /// The service.
        service: name::Name,
        /// The entry beside the controller.
        holder: name::Name,
        /// Fencing number of the lease.
        fencing: u64,
    },
}
