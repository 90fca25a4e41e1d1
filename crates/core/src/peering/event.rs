//! Inputs and outputs of the peering reducer.

use std::sync;

use super::{document, member, message, report, topic};
use crate::fact;
use crate::name;
use crate::time;

/// An event that the reducer handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time passed; due by [`Peering::wake`](super::Peering::wake) at the latest.
    Tick,
    /// The member list changed; the own entry may be missing from it.
    Members(Vec<member::Member>),
    /// A link came up, dialled by either end.
    Linked(name::Name),
    /// A link went down or could not be dialled.
    Unlinked(name::Name),
    /// A linked peer sent a message.
    Message {
        /// The peer.
        from: name::Name,
        /// The message.
        message: message::Message,
    },
    /// This node established a fact.
    AddFact {
        /// The fact.
        fact: fact::Fact,
        /// When it expires.
        expiry: time::Time,
    },
    /// This node read a document from the store; its generation is zero if there is none.
    Publish(document::Document),
    /// This node counted finished requests.
    Report(Vec<report::Report>),
    /// Forward bytes from this node to another one, which need not be linked.
    Forward {
        /// The receiver.
        to: name::Name,
        /// Content.
        body: sync::Arc<[u8]>,
    },
}

/// An action that the driver performs.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a linked peer.
    Send {
        /// The peer.
        to: name::Name,
        /// The message.
        message: message::Message,
    },
    /// Dial a peer once; the result is passed back as [`Input::Linked`] or [`Input::Unlinked`].
    Link(member::Member),
    /// Close the link to a peer; [`Input::Unlinked`] need not be passed back.
    Unlink(name::Name),
    /// A fact that a peer sent or this node established is new here.
    FactAdded {
        /// The fact.
        fact: fact::Fact,
    },
    /// A newer document is now the current one.
    Adopted(document::Document),
    /// Start or stop watching the store for a topic.
    Watch {
        /// The topic.
        topic: topic::Topic,
        /// Whether to watch from now on.
        active: bool,
    },
    /// Aggregated reports have arrived for the controller at this node.
    Reports(Vec<report::Report>),
    /// Bytes have arrived for this node.
    Delivered {
        /// The sender.
        from: name::Name,
        /// Content.
        body: sync::Arc<[u8]>,
    },
}
