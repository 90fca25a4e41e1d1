//! Inputs and outputs of the peering reducer.

use std::sync;

use super::{document, member, message, report, topic};
use crate::fact;
use crate::name;
use crate::time;

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time passed.
    Tick,
    /// The list of entries changed; the own entry may be missing from it.
    Members(Vec<member::Member>),
    /// A link came up, dialled by either side.
    Linked(name::Name),
    /// A link went down, or could not be dialled.
    Unlinked(name::Name),
    /// A linked peer sent a message.
    Message {
        /// The peer.
        from: name::Name,
        /// The message.
        message: message::Message,
    },
    /// This node found out a fact.
    Learn {
        /// The fact.
        fact: fact::Fact,
        /// When it is forgotten.
        expiry: time::Time,
    },
    /// This node read a document from the store; generation zero if there is none.
    Publish(document::Document),
    /// This node counted requests.
    Report(Vec<report::Report>),
    /// This node sends bytes to another one that it may not be linked to.
    Forward {
        /// The receiver.
        to: name::Name,
        /// Content.
        body: sync::Arc<[u8]>,
    },
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a linked peer.
    Send {
        /// The peer.
        to: name::Name,
        /// The message.
        message: message::Message,
    },
    /// Dial a peer once; the end of the attempt comes back as `Linked` or `Unlinked`.
    Link(member::Member),
    /// Close the link to a peer; no `Unlinked` needs to come back.
    Unlink(name::Name),
    /// A fact is new here, from a peer or from this node.
    Learned {
        /// The fact.
        fact: fact::Fact,
    },
    /// A newer document is in force here.
    Adopted(document::Document),
    /// This node starts or stops to watch the store for a topic.
    Watch {
        /// The topic.
        topic: topic::Topic,
        /// Whether it watches from now on.
        active: bool,
    },
    /// Sums have arrived for the controller beside this node.
    Reports(Vec<report::Report>),
    /// Bytes have arrived for this node.
    Delivered {
        /// The sender.
        from: name::Name,
        /// Content.
        body: sync::Arc<[u8]>,
    },
}
