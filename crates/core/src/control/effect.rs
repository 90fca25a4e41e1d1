//! What a controller does.

use std::net;

use crate::fact;
use crate::name;
use crate::store;
use crate::time;

/// Something to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Make a call to the store.
    Store {
        /// Returned with the answer.
        id: u64,
        /// The call.
        call: store::Call,
    },
    /// State a fact to all entries.
    Publish {
        /// The fact.
        fact: fact::Fact,
        /// When it is forgotten.
        expiry: time::Time,
    },
    /// Give an order to an upstream.
    Order(Order),
    /// The lease of a shard is held from now on.
    Acquired {
        /// The shard.
        shard: u64,
        /// Fencing number.
        fencing_token: u64,
    },
    /// The lease of a shard is held no more.
    Lost {
        /// The shard.
        shard: u64,
    },
    /// A decision was written.
    Decided(super::audit::AuditRecord),
}

/// An order to an upstream, the same however often it is given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The upstream.
    pub upstream: name::Name,
    /// Its address.
    pub address: net::SocketAddr,
    /// Fencing number of the lease.
    pub fencing_token: u64,
    /// The version to serve.
    pub version: name::Name,
    /// When the order is given up.
    pub deadline: time::Time,
}
