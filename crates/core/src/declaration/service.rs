//! Services.

use crate::declaration::kind;
use crate::name;

/// A service that upstreams serve.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Service {
    /// Unique name.
    pub name: name::Name,
    /// Model engine or plain service.
    pub kind: kind::Kind,
    /// The version that gets traffic when no rollout moves it.
    pub version: name::Name,
    /// Whether its upstreams refuse an order with an old fencing number.
    pub fencing: bool,
    /// Whether its upstreams deduplicate by idempotency key.
    pub deduplicates: bool,
}
