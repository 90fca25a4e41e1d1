//! The block-hash chain of a prompt, by which cached prefixes are recognised.

use std::sync;

/// Words in one block.
pub const BLOCK_WORDS: usize = 16;

/// The most blocks that are hashed; the rest of a longer prompt is not looked up.
pub const MAX_BLOCKS: usize = 4_096;

/// A prompt as the router sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// Hashes of the prompt's whole blocks; each covers all words up to its end.
    pub blocks: sync::Arc<[u64]>,
    /// Number of words, taken for tokens.
    pub tokens: u32,
}

/// Hashes the whole blocks of a prompt and counts its words.
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
            *previous = chain(*previous, block);
            Some(*previous)
        });
    Prompt {
        blocks: blocks.collect(),
        tokens: u32::try_from(words.len()).unwrap_or(u32::MAX),
    }
}

fn chain(previous: u64, block: &[&str]) -> u64 {
    let mut bytes = previous.to_le_bytes().to_vec();
    bytes.extend_from_slice(block.join(" ").as_bytes());
    twox_hash::XxHash64::oneshot(0, &bytes)
}
