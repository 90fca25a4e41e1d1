//! Attempts in progress.

use std::sync;

use crate::time;

/// One dispatched attempt until its end.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    /// Index of the upstream.
    pub index: usize,
    /// Incarnation of the upstream at dispatch.
    pub incarnation: u64,
    /// When it was dispatched.
    pub started: time::Time,
    /// Prompt tokens expected to miss the prefix cache.
    pub uncached: u32,
    /// The same with the own prompts before it.
    pub queued_prefill: u32,
    /// Whether the upstream was expected to have a free slot.
    pub immediate: bool,
    /// Whether the first token has come.
    pub streaming: bool,
    /// Expected first token.
    pub expected: time::Time,
    /// Block chain of the prompt.
    pub blocks: sync::Arc<[u64]>,
}
