//! Contents of objects as another writer left them, which need not be JSON.

use std::collections;
use std::sync;

use serde_json::value;

/// Start of the text that stands for a content.
const MARK: &str = "\"odd content ";

/// Contents by the text that stands for them in the store.
#[derive(Default)]
pub(super) struct OddContents {
    contents: sync::Mutex<collections::BTreeMap<String, Vec<u8>>>,
}

impl OddContents {
    /// Keeps a content and returns the value that stands for it.
    pub fn add(&self, bytes: &[u8]) -> Box<value::RawValue> {
        let mut contents = super::lock(&self.contents);
        let mark = format!("{}{}", MARK.trim_start_matches('"'), contents.len());
        let value = super::raw(&mark);
        contents.insert(String::from(value.get()), bytes.to_vec());
        value
    }

    /// Encodes a reply with the contents in place of what stands for them.
    pub fn encode(&self, reply: &impl serde::Serialize) -> Vec<u8> {
        let text = serde_json::to_string(reply).unwrap_or_default();
        let contents = super::lock(&self.contents);
        let mut encoded = Vec::with_capacity(text.len());
        let mut rest = text.as_str();
        while let Some((before, behind)) = rest.split_once(MARK) {
            encoded.extend_from_slice(before.as_bytes());
            let (number, after) = behind.split_once('"').unwrap_or((behind, ""));
            let mark = format!("{MARK}{number}\"");
            let content = contents.get(&mark).map_or(mark.as_bytes(), Vec::as_slice);
            encoded.extend_from_slice(content);
            rest = after;
        }
        encoded.extend_from_slice(rest.as_bytes());
        encoded
    }
}
