//! Words, blocks and tokens of prompts.

use std::hash::Hasher;

/// Words in one block of the prefix cache.
pub const BLOCK_WORDS: usize = 16;

/// Returns the chained hashes of the whole blocks of some words.
///
/// The hash of a block is XxHash64 with seed 0 over the previous block's hash as eight little
/// endian bytes (0 before the first block) and the block's words joined by single spaces.
pub fn blocks<'a>(words: impl Iterator<Item = &'a str>) -> Vec<u64> {
    let words = words.collect::<Vec<_>>();
    let chain = words
        .chunks_exact(BLOCK_WORDS)
        .scan(0_u64, |previous, block| {
            *previous = hash(*previous, &block.join(" "));
            Some(*previous)
        });
    chain.collect()
}

/// Returns the token at an offset, which depends on nothing but prompt and offset.
pub fn token(prompt: &str, offset: u64) -> String {
    token_of(fingerprint(prompt), offset)
}

pub(super) fn fingerprint(prompt: &str) -> u64 {
    hash(0, prompt)
}

pub(super) fn token_of(fingerprint: u64, offset: u64) -> String {
    let mut hasher = twox_hash::XxHash64::with_seed(fingerprint);
    hasher.write(&offset.to_le_bytes());
    format!("t{:08x}", hasher.finish() >> 32)
}

fn hash(previous: u64, text: &str) -> u64 {
    let mut hasher = twox_hash::XxHash64::with_seed(0);
    hasher.write(&previous.to_le_bytes());
    hasher.write(text.as_bytes());
    hasher.finish()
}
