//! Inputs of the choice of an upstream.

use std::sync;

use crate::declaration;
use crate::name;

/// The properties of one attempt that the choice of its upstream depends on.
#[derive(Clone, Debug)]
pub struct Query {
    /// The requested service.
    pub service: name::Name,
    /// The requested version; `None` selects the one that the service declares.
    pub version: Option<name::Name>,
    /// The workspace that is charged.
    pub workspace: name::Name,
    /// Scheduling class.
    pub priority: declaration::Priority,
    /// Hash chain over the prompt's blocks of [`super::BLOCK_TOKENS`] tokens.
    pub blocks: sync::Arc<[u64]>,
    /// Prompt tokens.
    pub prompt: u32,
    /// Expected output tokens.
    pub output: u32,
    /// Whether upstreams are filled one after the other, in the order of
    /// [`crate::rollout::rank`], instead of evenly.
    pub packed: bool,
    /// Upstreams that this request has already tried.
    pub excluded: Vec<name::Name>,
    /// The upstream that holds the stream of the request, when it is resumed.
    pub sticky: Option<name::Name>,
}
