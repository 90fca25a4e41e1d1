//! Messages between linked peers.

use std::sync;

use super::{body, document, heartbeat, member, patch, report, topic};
use crate::fact;
use crate::name;
use crate::time;

/// Maximum number of facts in one message.
pub const MAX_FACTS_IN_MESSAGE: usize = 512;

/// A message between two linked peers.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Message {
    /// The first message on a link.
    Hello(Hello),
    /// Digest of the sender's facts and the generations of its documents.
    Heartbeat(heartbeat::Heartbeat),
    /// Digest of each bucket of the sender's facts; the receiver replies with its facts in the
    /// buckets that differ.
    Buckets(Vec<u64>),
    /// Facts that the receiver may not hold.
    Facts(Vec<ExpiringFact>),
    /// Request for a document.
    Fetch(Fetch),
    /// Complete document.
    Document(document::Document),
    /// Difference between a document and an earlier generation that the receiver holds.
    Patch(patch::Patch),
    /// Aggregated reports, forwarded towards a controller.
    Reports(Reports),
    /// Bytes forwarded towards one node.
    Forward(Forward),
}

/// The sender's identity.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Hello {
    /// The sender.
    pub member: member::Member,
    /// Whether the sender is a controller, which receives its entry's messages and forwards none.
    pub leaf: bool,
}

/// A fact and its expiry.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ExpiringFact {
    /// The fact.
    pub fact: fact::Fact,
    /// When it expires.
    pub expiry: time::Time,
}

/// A request for a document.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Fetch {
    /// The topic.
    pub topic: topic::Topic,
    /// Generation that the sender can apply a patch to; zero requests the complete document.
    pub base: u64,
}

/// Aggregated reports, forwarded towards a controller.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Reports {
    /// Increases with each such message of the sender; the receiver drops duplicates.
    pub sequence: u64,
    /// The aggregated reports.
    pub reports: Vec<report::Report>,
}

/// Bytes forwarded towards one node.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Forward {
    /// The sender.
    pub from: name::Name,
    /// The receiver.
    pub to: name::Name,
    /// Remaining hops.
    pub hops: u8,
    /// Content in a format that the receiver defines.
    #[serde(with = "body")]
    pub body: sync::Arc<[u8]>,
}
