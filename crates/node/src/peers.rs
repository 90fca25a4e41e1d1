//! Links to peers: one `h2` stream each, with frames of [`guavausher_wire::peer`].
//!
//! One thread drives all links. Each holds a bounded queue; a peer that reads too slowly, sends
//! garbage or does not hold the deployment's key loses its link.

mod accept;
mod command;
mod config;
mod counted;
mod counters;
mod dial;
mod error;
mod event;
mod handle;
mod headers;
mod hub;
mod key;
mod link;

pub use config::{Config, Limits};
pub use counters::Counters;
pub use error::Error;
pub use event::Event;
pub use handle::{Handle, start};
pub use key::Key;
