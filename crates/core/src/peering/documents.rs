//! The current document of each topic at one node, with earlier generations as bases of patches.

use std::collections;

use super::{document, message, patch, topic};

/// Maximum number of earlier generations kept of each topic.
const MAX_EARLIER: usize = 3;

/// The current documents of one node.
#[derive(Debug, Default)]
pub struct Documents {
    slots: [Slot; topic::Topic::ALL.len()],
}

#[derive(Debug, Default)]
struct Slot {
    current: Option<document::Document>,
    earlier: collections::VecDeque<document::Document>,
    patches: Vec<patch::Patch>,
}

impl Documents {
    /// Returns the current generation, or zero if there is none.
    pub fn generation(&self, topic: topic::Topic) -> u64 {
        let current = self.slots[topic.index()].current.as_ref();
        current.map_or(0, |document| document.generation)
    }

    /// Returns the current generation of each topic.
    pub fn generations(&self) -> [u64; topic::Topic::ALL.len()] {
        topic::Topic::ALL.map(|topic| self.generation(topic))
    }

    /// Makes a document the current one; returns `false` if it is not newer or too large.
    pub fn adopt(&mut self, document: &document::Document) -> bool {
        if document.generation <= self.generation(document.topic)
            || document.body.len() > document::MAX_BODY_BYTES
        {
            return false;
        }
        let slot = &mut self.slots[document.topic.index()];
        if let Some(old) = slot.current.replace(document.clone()) {
            slot.earlier.push_front(old);
            slot.earlier.truncate(MAX_EARLIER);
        }
        slot.patches.clear();
        true
    }

    /// Builds the reply to a fetch: a patch if the requested base is kept and the patch is smaller
    /// than half the body, otherwise the complete document.
    pub fn reply(&mut self, fetch: message::Fetch) -> Option<message::Message> {
        let slot = &mut self.slots[fetch.topic.index()];
        let current = slot.current.as_ref()?;
        if let Some(cached) = slot.patches.iter().find(|cached| cached.base == fetch.base) {
            return Some(message::Message::Patch(cached.clone()));
        }
        let base = slot
            .earlier
            .iter()
            .find(|earlier| earlier.generation == fetch.base);
        let patch = base.map(|base| patch::Patch::between(base, current));
        match patch.filter(|patch| patch.size() < current.body.len() / 2) {
            Some(patch) => {
                slot.patches.push(patch.clone());
                Some(message::Message::Patch(patch))
            }
            None => Some(message::Message::Document(current.clone())),
        }
    }

    /// Applies a patch to the current document; returns `None` if the patch doesn't fit it.
    pub fn apply(&self, patch: &patch::Patch) -> Option<document::Document> {
        patch.apply(self.slots[patch.topic.index()].current.as_ref()?)
    }
}
