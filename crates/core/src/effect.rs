//! Outputs of an entry's reducer.

use std::net;

use crate::declaration;
use crate::ledger;
use crate::name;
use crate::peering;
use crate::refusal;
use crate::store;
use crate::time;

/// An action that the runtime performs.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a request to an upstream.
    Dispatch(Dispatch),
    /// Stop an attempt and cancel it on the upstream.
    Cancel {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: u64,
    },
    /// Go on with an attempt that has been reported as silent.
    Resume {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: u64,
    },
    /// The request has ended; no further effect concerns it.
    Ended {
        /// The request.
        request: u64,
    },
    /// Send a refusal to the caller.
    Refuse {
        /// The request.
        request: u64,
        /// The refusal.
        refusal: refusal::Refusal,
    },
    /// Send the stored response of an earlier run to the caller.
    Replay {
        /// The request.
        request: u64,
        /// The stored response.
        kept: ledger::StoredResponse,
    },
    /// Send the upstream's complete response to the caller.
    Relay {
        /// The request.
        request: u64,
    },
    /// Call the platform's store.
    Call {
        /// Unique id, repeated in the reply.
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
    /// A new configuration was applied.
    ConfigApplied {
        /// Its generation.
        generation: u64,
    },
    /// A document could not be applied; the previous one remains in use.
    DocumentRejected {
        /// Object key of the document.
        key: name::Name,
        /// Description of the fault.
        fault: String,
    },
    /// All requests have ended and the process may exit.
    Stopped,
}

/// One attempt to run a request at an upstream; a silent one of the same request is kept meanwhile.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The request.
    pub request: u64,
    /// Attempt id, unique at this entry.
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
    /// Offset of the first token that the caller needs.
    pub offset: u32,
    /// Deadline for the first token or the complete response; nothing is sent after it.
    pub deadline: time::Time,
    /// When the attempt counts as silent if the response has not begun; earlier than `deadline` if
    /// the request may be retried.
    pub silent_at: time::Time,
}
