//! Counting of runs by key.

use std::collections;

/// How many keys are counted; further ones are counted under [`OVERFLOW_KEY`].
pub const MAX_KEYS: usize = 1 << 17;

/// The key that counts runs beyond [`MAX_KEYS`].
pub const OVERFLOW_KEY: &str = "(overflow)";

/// How often each key ran.
#[derive(Debug, Default, serde::Serialize)]
#[serde(transparent)]
pub struct Runs {
    counts: collections::BTreeMap<String, u64>,
}

impl Runs {
    /// Counts one more run and returns how many there were of the key.
    pub fn count(&mut self, key: &str) -> u64 {
        let full = self.counts.len() >= MAX_KEYS && !self.counts.contains_key(key);
        let key = if full { OVERFLOW_KEY } else { key };
        let count = self.counts.entry(key.to_owned()).or_default();
        *count += 1;
        *count
    }
}
