//! What a controller learns.

use std::sync;

use crate::declaration;
use crate::fact;
use crate::name;
use crate::peering;
use crate::rollout;
use crate::store;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The store answered a call.
    Reply {
        /// The id given with the call.
        id: u64,
        /// The reply.
        reply: store::Reply,
    },
    /// A configuration is in force.
    Config {
        /// Its generation.
        generation: u64,
        /// Its content.
        declaration: sync::Arc<declaration::Declaration>,
    },
    /// The list of entries changed.
    Members(Vec<peering::Member>),
    /// The stored rollouts changed.
    Rollouts {
        /// Version of the stored object; zero if there is none.
        version: store::Version,
        /// Its content.
        book: rollout::Book,
    },
    /// A fact is new here.
    Fact(fact::Fact),
    /// Entries counted requests.
    Reports(Vec<peering::Report>),
    /// An order ended.
    OrderEnded {
        /// The upstream.
        upstream: name::Name,
        /// How it ended.
        outcome: Outcome,
    },
    /// The process is to stop.
    Stop,
}

/// How an order to an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The upstream took it.
    Accepted,
    /// The upstream has seen a higher fencing number.
    Fenced,
    /// It failed or its end is unknown; the same order may be given again.
    Failed,
}
