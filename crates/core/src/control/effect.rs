//! Effects that a controller requests.

use std::net;

use crate::fact;
use crate::name;
use crate::store;
use crate::time;

/// An effect for the runtime to perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Make a call to the store.
    Store {
        /// Id of the call, returned with the reply.
        id: u64,
        /// The call.
        call: store::Call,
    },
    /// Publish a fact to all entries.
    Publish {
        /// The fact.
        fact: fact::Fact,
        /// When the fact expires.
        expiry: time::Time,
    },
    /// Send an order to an upstream.
    Order(Order),
    /// The lease of a shard was acquired.
    Acquired {
        /// The shard.
        shard: u64,
        /// Fencing token of the lease.
        fencing_token: u64,
    },
    /// The lease of a shard is no longer held.
    Lost {
        /// The shard.
        shard: u64,
    },
    /// A decision was written to the store.
    Decided(super::audit::AuditRecord),
}

/// An idempotent order to an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The upstream.
    pub upstream: name::Name,
    /// Address of the upstream.
    pub address: net::SocketAddr,
    /// Fencing token of the lease.
    pub fencing_token: u64,
    /// The version to serve.
    pub version: name::Name,
    /// When the attempt to deliver the order ends.
    pub deadline: time::Time,
}
