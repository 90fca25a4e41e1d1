//! Exported and imported KV cache.

use std::collections;

/// How many streams and imports are remembered.
const MAX_ENTRIES: usize = 4_096;

/// The KV cache of one stream, as it is exported.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Export {
    /// The attempt that the stream belongs to.
    pub attempt: String,
    /// Hash of the prompt.
    pub fingerprint: u64,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens that were generated.
    pub offset: u64,
}

/// The streams that can be exported and the imports that can be resumed.
#[derive(Debug, Default)]
pub struct Kv {
    streams: collections::HashMap<String, Export>,
    order: collections::VecDeque<String>,
    imports: collections::HashMap<u64, u64>,
    import_order: collections::VecDeque<u64>,
}

impl Kv {
    /// Remembers a stream; the oldest ones are forgotten.
    pub fn begin(&mut self, export: Export) {
        if self.order.len() == MAX_ENTRIES {
            self.order
                .pop_front()
                .and_then(|attempt| self.streams.remove(&attempt));
        }
        self.order.push_back(export.attempt.clone());
        self.streams.insert(export.attempt.clone(), export);
    }

    /// Notes how many tokens a stream has generated.
    pub fn advance(&mut self, attempt: &str, offset: u64) {
        if let Some(export) = self.streams.get_mut(attempt) {
            export.offset = offset;
        }
    }

    /// Returns the KV cache of a stream.
    pub fn export(&self, attempt: &str) -> Option<&Export> {
        self.streams.get(attempt)
    }

    /// Takes the KV cache of a stream from another engine.
    pub fn import(&mut self, export: &Export) {
        if self.import_order.len() == MAX_ENTRIES {
            self.import_order
                .pop_front()
                .and_then(|oldest| self.imports.remove(&oldest));
        }
        let tokens = export.prompt + export.offset;
        let before = self.imports.insert(export.fingerprint, tokens);
        if before.is_none() {
            self.import_order.push_back(export.fingerprint);
        }
    }

    /// Returns how many tokens of a prompt and its answer were imported.
    pub fn imported(&self, fingerprint: u64) -> u64 {
        self.imports.get(&fingerprint).copied().unwrap_or(0)
    }
}
