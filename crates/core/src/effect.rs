//! What the reducer asks the shell to do.

use std::net;

use crate::declaration;
use crate::ledger;
use crate::name;
use crate::peering;
use crate::refusal;
use crate::store;
use crate::time;

/// A thing for the shell to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a request to an upstream.
    Dispatch(Dispatch),
    /// Stop an attempt and cancel it at the upstream.
    Cancel {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: u64,
    },
    /// The request has ended here; nothing more follows for it.
    Ended {
        /// The request.
        request: u64,
    },
    /// Give the final answer.
    Refuse {
        /// The request.
        request: u64,
        /// The answer.
        refusal: refusal::Refusal,
    },
    /// Give the kept answer of an earlier run.
    Replay {
        /// The request.
        request: u64,
        /// The answer.
        kept: ledger::Kept,
    },
    /// Give the whole answer that the upstream sent.
    Relay {
        /// The request.
        request: u64,
    },
    /// Call the platform's store.
    Call {
        /// Identifies the reply.
        id: u64,
        /// The call.
        call: store::Call,
    },
    /// Send a message to a linked peer.
    Send {
        /// The peer.
        to: name::Name,
        /// The message.
        message: peering::Message,
    },
    /// Open a link to a peer.
    Link(peering::Member),
    /// Close the link to a peer.
    Unlink(name::Name),
    /// A new configuration is in force.
    ConfigApplied {
        /// Its generation.
        generation: u64,
    },
    /// A document could not be read; the former one stays in force.
    DocumentRejected {
        /// Object key of the document.
        key: name::Name,
        /// What is wrong with it.
        fault: String,
    },
    /// All requests have ended and the process may exit.
    Stopped,
}

/// One attempt to run a request at an upstream.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The request.
    pub request: u64,
    /// Unique at this entry.
    pub attempt: u64,
    /// The upstream.
    pub upstream: name::Name,
    /// Its version.
    pub version: name::Name,
    /// Its address.
    pub address: net::SocketAddr,
    /// Model engine or plain service.
    pub kind: declaration::Kind,
    /// Scheduling class.
    pub priority: declaration::Priority,
    /// First token that the caller lacks.
    pub offset: u32,
    /// When the first token or whole answer is due; nothing is sent after it.
    pub deadline: time::Time,
    /// When the answer must have begun; earlier than the deadline where another try is possible.
    pub response_deadline: time::Time,
}
