//! The documents in force at one node, and its requests for newer ones.

use std::time::Duration;

use super::{document, documents, event, links, message, patch, topic};
use crate::name;
use crate::time;

/// How long the answer to a fetch may take before another peer is asked.
const FETCH: Duration = Duration::from_millis(800);

/// The documents in force at one node, and its requests for newer ones.
#[derive(Debug, Default)]
pub struct Relay {
    documents: documents::Documents,
    fetches: [Option<Fetching>; topic::Topic::ALL.len()],
}

#[derive(Clone, Debug)]
struct Fetching {
    from: name::Name,
    deadline: time::Time,
}

impl Relay {
    /// Returns the generation in force, or zero.
    pub fn generation(&self, topic: topic::Topic) -> u64 {
        self.documents.generation(topic)
    }

    /// Returns the generations of all topics.
    pub fn generations(&self) -> [u64; topic::Topic::ALL.len()] {
        self.documents.generations()
    }

    /// Returns whether a linked peer holds a newer generation of any topic.
    pub fn is_behind(&self, links: &links::Links) -> bool {
        let newer = |topic| !links.peers_ahead(topic, self.generation(topic)).is_empty();
        topic::Topic::ALL.into_iter().any(newer)
    }

    /// Puts a document in force; refuses one that is not newer.
    pub fn adopt(&mut self, document: &document::Document) -> bool {
        let newer = self.documents.adopt(document);
        if newer {
            self.fetches[document.topic.index()] = None;
        }
        newer
    }

    /// Answers a peer's request.
    pub fn answer(&mut self, fetch: message::Fetch) -> Option<message::Message> {
        self.documents.answer(fetch)
    }

    /// Builds the document that a patch leads to, if its base is in force here.
    pub fn build(&self, patch: &patch::Patch) -> Option<document::Document> {
        self.documents.apply(patch)
    }

    /// Asks a peer for a whole document.
    pub fn ask_whole(
        &mut self,
        now: time::Time,
        peer: &name::Name,
        topic: topic::Topic,
    ) -> event::Output {
        self.ask(now, peer, message::Fetch { topic, base: 0 })
    }

    /// Asks for every topic that a peer holds a newer generation of, unless an answer is due.
    pub fn ask_missing(&mut self, now: time::Time, links: &links::Links) -> Vec<event::Output> {
        topic::Topic::ALL
            .into_iter()
            .filter_map(|topic| self.ask_for(now, topic, links))
            .collect()
    }

    /// Returns whether an answer is overdue.
    pub fn is_overdue(&self, now: time::Time) -> bool {
        let mut fetches = self.fetches.iter().flatten();
        fetches.any(|fetch| fetch.deadline <= now)
    }

    /// Returns when the next answer is overdue.
    pub fn wake(&self) -> time::Time {
        let deadlines = self.fetches.iter().flatten().map(|fetch| fetch.deadline);
        deadlines.min().unwrap_or(time::Time::MAX)
    }

    fn ask_for(
        &mut self,
        now: time::Time,
        topic: topic::Topic,
        links: &links::Links,
    ) -> Option<event::Output> {
        let last = self.fetches[topic.index()].take();
        if let Some(fetch) = &last
            && fetch.deadline > now
            && links.get(&fetch.from).is_some()
        {
            self.fetches[topic.index()] = last;
            return None;
        }
        let base = self.generation(topic);
        let newer = links.peers_ahead(topic, base);
        // A peer that did not answer is asked again only if there is no other.
        let other = newer
            .iter()
            .find(|peer| last.as_ref().is_none_or(|last| last.from != **peer));
        let peer = other.or(newer.first())?;
        Some(self.ask(now, peer, message::Fetch { topic, base }))
    }

    fn ask(&mut self, now: time::Time, peer: &name::Name, fetch: message::Fetch) -> event::Output {
        self.fetches[fetch.topic.index()] = Some(Fetching {
            from: peer.clone(),
            deadline: now.after(FETCH),
        });
        event::Output::Send {
            to: peer.clone(),
            message: message::Message::Fetch(fetch),
        }
    }
}
