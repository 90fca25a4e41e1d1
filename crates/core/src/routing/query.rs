//! What a request needs from an upstream.

use std::sync;

use crate::declaration;
use crate::name;

/// The properties of one attempt that its routing depends on.
#[derive(Clone, Debug)]
pub struct Query {
    /// The service asked for.
    pub service: name::Name,
    /// The version asked for; `None` for the one that the service declares.
    pub version: Option<name::Name>,
    /// The workspace that pays.
    pub workspace: name::Name,
    /// Scheduling class.
    pub priority: declaration::Priority,
    /// Hash chain over the prompt's blocks of [`super::BLOCK_TOKENS`] tokens.
    pub blocks: sync::Arc<[u64]>,
    /// Prompt tokens.
    pub prompt: u32,
    /// Expected output tokens.
    pub output: u32,
    /// Whether upstreams are filled one after the other, by [`crate::rollout::rank`], instead of evenly.
    pub packed: bool,
    /// Upstreams that this request has already tried.
    pub excluded: Vec<name::Name>,
    /// The upstream that holds the request's stream, when it resumes.
    pub sticky: Option<name::Name>,
}
