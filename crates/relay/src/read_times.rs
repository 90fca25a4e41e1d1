//! When stored objects were first read in their present revisions.

use std::cell;
use std::collections;

use guavausher_core::name;
use guavausher_core::relay::revision;
use guavausher_core::time;

use crate::snapshot;

/// Times of the first read of each object of a kind. A time span in an object counts from there:
/// all objects of a kind are decoded again after a change of any one.
#[derive(Debug, Default)]
pub struct ReadTimes {
    reads: cell::RefCell<collections::HashMap<name::Name, Read>>,
}

#[derive(Clone, Copy, Debug)]
struct Read {
    revision: revision::Revision,
    at: time::Time,
}

impl ReadTimes {
    /// Replaces the objects of the kind with those read at `now`.
    pub fn replace(&self, now: time::Time, items: &[snapshot::Item]) {
        let mut reads = self.reads.borrow_mut();
        let new = items.iter().map(|item| {
            let known = reads.get(&item.name).copied();
            let same = known.filter(|read| read.revision == item.revision);
            let read = same.unwrap_or(Read {
                revision: item.revision,
                at: now,
            });
            (item.name.clone(), read)
        });
        *reads = new.collect();
    }

    /// Returns when the present revision of an object was first read, or `now` if it is unknown.
    pub fn first_read(&self, now: time::Time, name: &name::Name) -> time::Time {
        self.reads.borrow().get(name).map_or(now, |read| read.at)
    }
}
