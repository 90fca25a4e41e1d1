//! Attempts in progress.

use std::sync;

use crate::time;

/// A dispatched attempt that has not ended.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    /// Index of the upstream in the roster.
    pub index: usize,
    /// Incarnation of the upstream at dispatch.
    pub incarnation: u64,
    /// When it was dispatched.
    pub started: time::Time,
    /// Prompt tokens that are expected to miss the prefix cache.
    pub uncached: u32,
    /// The same, together with those of the own attempts still in prefill before it.
    pub queued_prefill: u32,
    /// Whether the upstream was expected to have a free slot.
    pub immediate: bool,
    /// Whether the first token has arrived.
    pub streaming: bool,
    /// When the first token was expected.
    pub expected: time::Time,
    /// Block chain of the prompt.
    pub blocks: sync::Arc<[u64]>,
}
