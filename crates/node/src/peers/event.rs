//! What happened on the links.

use guavausher_core::name;
use guavausher_core::peering;

/// What happened on the links.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A link came up; one that was up under this name is replaced.
    Linked(name::Name),
    /// A link went down, or could not be dialled.
    Unlinked(name::Name),
    /// A peer sent a message.
    Message {
        /// The peer.
        from: name::Name,
        /// The message.
        message: peering::Message,
    },
}

impl From<Event> for peering::Input {
    fn from(event: Event) -> Self {
        match event {
            Event::Linked(peer) => Self::Linked(peer),
            Event::Unlinked(peer) => Self::Unlinked(peer),
            Event::Message { from, message } => Self::Message { from, message },
        }
    }
}
