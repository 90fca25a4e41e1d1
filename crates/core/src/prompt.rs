//! Chained block hashes of a prompt, which identify cached prefixes.

use std::sync;

/// Words in one block.
pub const BLOCK_WORDS: usize = 16;

/// Maximum number of blocks that are hashed; the rest of a longer prompt is ignored.
pub const MAX_BLOCKS: usize = 4_096;

/// A prompt as the router needs it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// Hashes of the complete blocks; each covers all words up to the end of its block.
    pub blocks: sync::Arc<[u64]>,
    /// Number of words, used as an estimate of the tokens.
    pub tokens: u32,
}

/// Hashes the complete blocks of a prompt and counts its words.
///
/// ```
/// use guavausher_core::prompt;
/// let prompt = prompt::hash_blocks(&"word ".repeat(40));
/// assert_eq!(prompt.tokens, 40);
/// assert_eq!(prompt.blocks.len(), 2);
/// ```
pub fn hash_blocks(text: &str) -> Prompt {
    let words: Vec<&str> = text.split_whitespace().collect();
    let blocks = words
        .chunks_exact(BLOCK_WORDS)
        .take(MAX_BLOCKS)
        .scan(0, |previous, block| {
            *previous = chain_hash(*previous, block);
            Some(*previous)
        });
    Prompt {
        blocks: blocks.collect(),
        tokens: u32::try_from(words.len()).unwrap_or(u32::MAX),
    }
}

fn chain_hash(previous: u64, block: &[&str]) -> u64 {
    let mut bytes = previous.to_le_bytes().to_vec();
    bytes.extend_from_slice(block.join(" ").as_bytes());
    twox_hash::XxHash64::oneshot(0, &bytes)
}
