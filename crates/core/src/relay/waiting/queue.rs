//! The queue of the requests that wait for a slot.

use std::collections;

use super::entry;
use crate::name;
use crate::relay::rank;
use crate::time;

/// Most requests that wait at one instance.
const MAX_ENTRIES: usize = 256;

/// Requests that wait for a slot, in the order in which they get one.
///
/// Among requests of one rank, workspaces share the slots by work: start-time fair queueing. A
/// workspace that sends many times its usual then delays itself.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    entries: Vec<entry::Entry>,
    flows: collections::BTreeMap<Class, Flows>,
}

/// Requests that compete for the same slots with the same rank.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Class {
    service: name::Name,
    rank: rank::Rank,
}

/// Work of each workspace in a class, in virtual time.
#[derive(Clone, Debug, Default)]
struct Flows {
    /// Start tag of the request that left the queue last.
    now: f64,
    /// Tag at which the next request of a workspace starts at the earliest.
    next: collections::BTreeMap<Option<name::Name>, f64>,
}

impl Queue {
    /// Adds a request. If the queue is full, the one that comes last is removed and returned.
    pub fn push(&mut self, request: entry::Waiting) -> Option<u64> {
        let class = Class {
            service: request.service.clone(),
            rank: request.rank,
        };
        let start = self.flows.entry(class).or_default().start(&request);
        let entry = entry::Entry { request, start };
        let index = self.entries.partition_point(|known| *known <= entry);
        self.entries.insert(index, entry);
        let is_full = self.entries.len() > MAX_ENTRIES;
        let last = is_full.then(|| self.entries.pop()).flatten();
        last.map(|entry| entry.request.id)
    }

    /// Returns `true` if a request of a service and at least this rank waits.
    pub fn is_behind(&self, service: &name::Name, rank: rank::Rank) -> bool {
        self.ahead(service, rank) > 0
    }

    /// Returns how many requests of a service come before a new one of this rank.
    pub fn ahead(&self, service: &name::Name, rank: rank::Rank) -> usize {
        let same = self
            .entries
            .iter()
            .filter(|e| e.request.service == *service);
        same.filter(|e| e.request.rank <= rank).count()
    }

    /// Returns the requests in order.
    pub fn iter(&self) -> impl Iterator<Item = &entry::Waiting> {
        self.entries.iter().map(|entry| &entry.request)
    }

    /// Removes a request that gets a slot, is refused or has ended.
    pub fn remove(&mut self, id: u64) {
        let Some(index) = self.entries.iter().position(|e| e.request.id == id) else {
            return;
        };
        let removed = self.entries.remove(index);
        let class = Class {
            service: removed.request.service,
            rank: removed.request.rank,
        };
        let is_last = !self.has_class(&class);
        if is_last {
            // Work is shared while there is competition; nothing is owed from before.
            self.flows.remove(&class);
        } else if let Some(flows) = self.flows.get_mut(&class) {
            flows.now = flows.now.max(removed.start);
        }
    }

    /// Returns the requests that cannot be on time any more, or whose caller may have left.
    pub fn overdue(&self, now: time::Time) -> Vec<u64> {
        let overdue = self.iter().filter(|request| request.start_by < now);
        overdue.map(|request| request.id).collect()
    }

    /// Returns the number of waiting requests.
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if no request waits.
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn has_class(&self, class: &Class) -> bool {
        let mut requests = self.iter();
        requests.any(|r| r.service == class.service && r.rank == class.rank)
    }
}

impl Flows {
    /// Returns the start tag of a workspace's next request, and charges its work.
    fn start(&mut self, request: &entry::Waiting) -> f64 {
        let next = self.next.entry(request.workspace.clone()).or_default();
        let start = next.max(self.now);
        *next = start + request.work.as_secs_f64();
        start
    }
}
