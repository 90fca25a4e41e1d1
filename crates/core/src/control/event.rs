//! Events that a controller handles.

use std::sync;

use crate::declaration;
use crate::fact;
use crate::name;
use crate::peering;
use crate::rollout;
use crate::store;

/// An event that a controller handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The store replied to a call.
    Reply {
        /// Id of the call.
        id: u64,
        /// The reply.
        reply: store::Reply,
    },
    /// A configuration has come into force.
    Config {
        /// Its generation.
        generation: u64,
        /// Its content.
        declaration: sync::Arc<declaration::Declaration>,
    },
    /// The list of entries has changed.
    Members(Vec<peering::Member>),
    /// The stored rollouts have changed.
    Rollouts {
        /// Version of the stored object; zero if there is none.
        version: store::Version,
        /// Its content.
        book: rollout::Table,
    },
    /// A new fact was received.
    Fact(fact::Fact),
    /// Entries reported request counts.
    Reports(Vec<peering::Report>),
    /// An order to an upstream ended.
    OrderEnded {
        /// The upstream.
        upstream: name::Name,
        /// The outcome of the order.
        outcome: Outcome,
    },
    /// The process is to stop.
    Stop,
}

/// Outcome of an order to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The upstream accepted the order.
    Accepted,
    /// The upstream rejected the order because it has seen a higher fencing token.
    Fenced,
    /// The order failed or its outcome is unknown; it may be sent again.
    Failed,
}
