//! Document synchronization: fetches newer generations from peers and replies to their fetches.

use std::time::Duration;

use super::{document, documents, event, links, message, patch, topic};
use crate::name;
use crate::time;

/// Time without a reply after which a document is fetched from another peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// The current documents of one node and its pending fetches.
#[derive(Debug, Default)]
pub struct DocumentSync {
    documents: documents::Documents,
    fetches: [Option<PendingFetch>; topic::Topic::ALL.len()],
}

#[derive(Clone, Debug)]
struct PendingFetch {
    from: name::Name,
    deadline: time::Time,
}

impl DocumentSync {
    /// Returns the current generation, or zero if there is none.
    pub fn generation(&self, topic: topic::Topic) -> u64 {
        self.documents.generation(topic)
    }

    /// Returns the current generation of each topic.
    pub fn generations(&self) -> [u64; topic::Topic::ALL.len()] {
        self.documents.generations()
    }

    /// Returns `true` if a linked peer holds a newer generation of any topic.
    pub fn is_behind(&self, links: &links::Links) -> bool {
        let newer = |topic| !links.peers_ahead(topic, self.generation(topic)).is_empty();
        topic::Topic::ALL.into_iter().any(newer)
    }

    /// Makes a document the current one; returns `false` if it is not newer or too large.
    pub fn adopt(&mut self, document: &document::Document) -> bool {
        let newer = self.documents.adopt(document);
        if newer {
            self.fetches[document.topic.index()] = None;
        }
        newer
    }

    /// Builds the reply to a peer's fetch.
    pub fn reply(&mut self, fetch: message::Fetch) -> Option<message::Message> {
        self.documents.reply(fetch)
    }

    /// Applies a patch to the current document; returns `None` if the patch doesn't fit it.
    pub fn apply(&self, patch: &patch::Patch) -> Option<document::Document> {
        self.documents.apply(patch)
    }

    /// Fetches a complete document from a peer.
    pub fn fetch_full(
        &mut self,
        now: time::Time,
        peer: &name::Name,
        topic: topic::Topic,
    ) -> event::Output {
        self.fetch(now, peer, message::Fetch { topic, base: 0 })
    }

    /// Fetches each topic that a linked peer holds a newer generation of, unless a fetch from a
    /// linked peer is still pending.
    pub fn fetch_newer(&mut self, now: time::Time, links: &links::Links) -> Vec<event::Output> {
        topic::Topic::ALL
            .into_iter()
            .filter_map(|topic| self.fetch_topic(now, topic, links))
            .collect()
    }

    /// Returns `true` if a pending fetch has timed out.
    pub fn has_timed_out(&self, now: time::Time) -> bool {
        let mut fetches = self.fetches.iter().flatten();
        fetches.any(|fetch| fetch.deadline <= now)
    }

    /// Returns when the next pending fetch times out.
    pub fn wake(&self) -> time::Time {
        let deadlines = self.fetches.iter().flatten().map(|fetch| fetch.deadline);
        deadlines.min().unwrap_or(time::Time::MAX)
    }

    fn fetch_topic(
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
        let ahead = links.peers_ahead(topic, base);
        // A peer that did not reply is tried again only if there is no other.
        let other = ahead
            .iter()
            .find(|peer| last.as_ref().is_none_or(|last| last.from != **peer));
        let peer = other.or(ahead.first())?;
        Some(self.fetch(now, peer, message::Fetch { topic, base }))
    }

    fn fetch(
        &mut self,
        now: time::Time,
        peer: &name::Name,
        fetch: message::Fetch,
    ) -> event::Output {
        self.fetches[fetch.topic.index()] = Some(PendingFetch {
            from: peer.clone(),
            deadline: now.after(FETCH_TIMEOUT),
        });
        event::Output::Send {
            to: peer.clone(),
            message: message::Message::Fetch(fetch),
        }
    }
}
