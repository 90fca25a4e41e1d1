//! Messages between peers.

use std::sync;

use super::{body, document, heartbeat, member, patch, report, topic};
use crate::fact;
use crate::name;
use crate::time;

/// Facts in one message at most.
pub const MAX_FACTS_IN_MESSAGE: usize = 512;

/// A message between two linked peers.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Message {
    /// The first message on a link.
    Hello(Hello),
    /// What the sender holds, in a few bytes.
    Heartbeat(heartbeat::Heartbeat),
    /// Digests of the sender's facts by bucket; the receiver answers with the facts of those that
    /// differ.
    Buckets(Vec<u64>),
    /// Facts that the receiver may not know.
    Facts(Vec<Known>),
    /// Asks for a document.
    Fetch(Fetch),
    /// A whole document.
    Document(document::Document),
    /// A document as its difference from one that the receiver holds.
    Patch(patch::Patch),
    /// Sums on their way to a controller.
    Reports(Reports),
    /// Bytes on their way to one node.
    Forward(Forward),
}

/// Who the sender is.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Hello {
    /// The sender.
    pub member: member::Member,
    /// Whether the sender is a controller, which gets its entry's messages and relays none.
    pub leaf: bool,
}

/// A fact with the time at which it is forgotten.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Known {
    /// The fact.
    pub fact: fact::Fact,
    /// When it is forgotten.
    pub expiry: time::Time,
}

/// A request for a document.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Fetch {
    /// The topic.
    pub topic: topic::Topic,
    /// The generation that the sender can apply a patch to; zero asks for the whole document.
    pub base: u64,
}

/// Sums on their way to a controller.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Reports {
    /// Grows with every such message of the sender; a repeated one is dropped.
    pub sequence: u64,
    /// The sums.
    pub reports: Vec<report::Report>,
}

/// Bytes on their way to one node.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Forward {
    /// The sender.
    pub from: name::Name,
    /// The receiver.
    pub to: name::Name,
    /// Links that it may still pass.
    pub hops: u8,
    /// Content; its format is the receiver's.
    #[serde(with = "body")]
    pub body: sync::Arc<[u8]>,
}
