//! What a call to the store was made for.

use std::collections;

use crate::store;

/// What a call to the store was made for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// The lease of a shard.
    Lease(u64),
    /// The stored rollouts.
    Rollouts,
    /// The audit trail.
    Audit,
    /// A change of the drained upstreams.
    Drains,
    /// The instance list.
    Instances,
}

/// Calls that have no answer yet.
#[derive(Clone, Debug, Default)]
pub struct PendingCalls {
    last: u64,
    open: collections::BTreeMap<u64, Purpose>,
}

impl PendingCalls {
    /// Opens a request and returns the effect that makes its call.
    pub fn start(&mut self, purpose: Purpose, call: store::Call) -> super::Effect {
        self.last += 1;
        self.open.insert(self.last, purpose);
        super::Effect::Store {
            id: self.last,
            call,
        }
    }

    /// Closes a request that got its answer.
    pub fn finish(&mut self, id: u64) -> Option<Purpose> {
        self.open.remove(&id)
    }
}
