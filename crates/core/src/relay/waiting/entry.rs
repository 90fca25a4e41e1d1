//! A request that waits for a slot, and the order among several.

use std::cmp;
use std::time::Duration;

use crate::name;
use crate::relay::rank;
use crate::time;

/// A request that waits for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting {
    /// Its number at this instance.
    pub id: u64,
    /// Its service.
    pub service: name::Name,
    /// Its workspace, if any.
    pub workspace: Option<name::Name>,
    /// Its rank.
    pub rank: rank::Rank,
    /// Time for which it is expected to keep an engine busy.
    pub work: Duration,
    /// Latest start with which its response can be on time.
    pub start_by: time::Time,
}

/// A request with its place among those of its rank.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub request: Waiting,
    /// Start tag among the workspaces of its rank.
    pub start: f64,
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        let (own, others) = (&self.request, &other.request);
        // What the operator ranks higher, whatever work it needs.
        let by_rank = own.rank.cmp(&others.rank);
        // Then the workspace that has had the least work done.
        let by_share = self.start.total_cmp(&other.start);
        // Then the one that can wait for the shortest time.
        let by_deadline = own.start_by.cmp(&others.start_by);
        // Then the one that delays the others least.
        let by_work = own.work.cmp(&others.work);
        let by_age = own.id.cmp(&others.id);
        by_rank
            .then(by_share)
            .then(by_deadline)
            .then(by_work)
            .then(by_age)
    }
}

impl Eq for Entry {}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}
