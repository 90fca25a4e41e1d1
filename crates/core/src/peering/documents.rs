//! The documents in force at one node, with the generations before them.

use std::collections;

use super::{document, message, patch, topic};

/// Earlier generations kept of each topic, as bases of patches.
const HISTORY: usize = 3;

/// The documents in force at one node.
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
    /// Returns the generation in force, or zero.
    pub fn generation(&self, topic: topic::Topic) -> u64 {
        let current = self.slots[topic.index()].current.as_ref();
        current.map_or(0, |document| document.generation)
    }

    /// Returns the generations of all topics.
    pub fn generations(&self) -> [u64; topic::Topic::ALL.len()] {
        topic::Topic::ALL.map(|topic| self.generation(topic))
    }

    /// Puts a document in force; refuses one that is not newer, or too large.
    pub fn adopt(&mut self, document: &document::Document) -> bool {
        if document.generation <= self.generation(document.topic)
            || document.body.len() > document::MAX_BODY_BYTES
        {
            return false;
        }
        let slot = &mut self.slots[document.topic.index()];
        if let Some(old) = slot.current.replace(document.clone()) {
            slot.earlier.push_front(old);
            slot.earlier.truncate(HISTORY);
        }
        slot.patches.clear();
        true
    }

    /// Answers a request for a document by a patch if one is known and pays, else by the whole.
    pub fn answer(&mut self, fetch: message::Fetch) -> Option<message::Message> {
        let slot = &mut self.slots[fetch.topic.index()];
        let current = slot.current.as_ref()?;
        if let Some(known) = slot.patches.iter().find(|known| known.base == fetch.base) {
            return Some(message::Message::Patch(known.clone()));
        }
        let base = slot
            .earlier
            .iter()
            .find(|earlier| earlier.generation == fetch.base);
        let built = base.map(|base| patch::Patch::between(base, current));
        match built.filter(|built| built.size() < current.body.len() / 2) {
            Some(built) => {
                slot.patches.push(built.clone());
                Some(message::Message::Patch(built))
            }
            None => Some(message::Message::Document(current.clone())),
        }
    }

    /// Builds the document that a patch leads to, if its base is in force here.
    pub fn apply(&self, patch: &patch::Patch) -> Option<document::Document> {
        patch.apply(self.slots[patch.topic.index()].current.as_ref()?)
    }
}
