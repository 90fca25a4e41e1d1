//! What the thread of the links is told.

use std::sync;
use std::sync::atomic;

use guavausher_core::name;
use guavausher_core::peering;
use tokio::sync::{mpsc, oneshot};

/// What the thread of the links is told.
#[derive(Debug)]
pub enum Command {
    /// Dial a peer.
    Link(peering::Member),
    /// Close the link to a peer.
    Unlink(name::Name),
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: name::Name,
        /// The message.
        message: peering::Message,
    },
    /// A connection has shown the key.
    Up(Up),
    /// A peer could not be dialled.
    Failed(name::Name),
    /// A connection ended.
    Down {
        /// The peer.
        peer: name::Name,
        /// Number of the connection.
        id: u64,
    },
    /// A connection received a message.
    Received {
        /// The peer.
        peer: name::Name,
        /// Number of the connection.
        id: u64,
        /// The message.
        message: peering::Message,
    },
}

/// A connection that has shown the key.
#[derive(Debug)]
pub struct Up {
    /// The peer.
    pub peer: name::Name,
    /// The peer's incarnation.
    pub incarnation: u64,
    /// Number of the connection.
    pub id: u64,
    /// Whether this process dialled.
    pub dialled: bool,
    /// Where frames for the peer go.
    pub queue: Queue,
    /// Ends the connection.
    pub cancel: oneshot::Sender<()>,
}

/// Frames that wait for one peer.
#[derive(Clone, Debug)]
pub struct Queue {
    /// The frames.
    pub frames: mpsc::Sender<bytes::Bytes>,
    /// Their bytes.
    pub waiting: sync::Arc<atomic::AtomicUsize>,
}
