//! Calls to the store that have no reply yet.

use std::collections;

use crate::store;

/// Purpose of a call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Read or write the lease of a shard.
    Lease(u64),
    /// Read or write the rollouts.
    Rollouts,
    /// Write a record of the audit trail.
    Audit,
    /// Watch the drained upstreams.
    Drains,
    /// Read the instance list.
    Instances,
}

/// Calls to the store that have no reply yet.
#[derive(Clone, Debug, Default)]
pub struct PendingCalls {
    last: u64,
    open: collections::BTreeMap<u64, Purpose>,
}

impl PendingCalls {
    /// Registers a call and returns the effect that makes it.
    pub fn start(&mut self, purpose: Purpose, call: store::Call) -> super::Effect {
        self.last += 1;
        self.open.insert(self.last, purpose);
        super::Effect::Store {
            id: self.last,
            call,
        }
    }

    /// Removes a call that got its reply and returns its purpose.
    pub fn finish(&mut self, id: u64) -> Option<Purpose> {
        self.open.remove(&id)
    }
}
