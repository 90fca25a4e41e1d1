//! Callers' open connections, and which of them is closed for a new one.

use std::collections;
use std::net;

use crate::time;

/// Callers' open connections.
#[derive(Debug, Default)]
pub struct Connections {
    open: collections::BTreeMap<u64, Open>,
    counts: collections::HashMap<net::IpAddr, usize>,
    last_id: u64,
}

#[derive(Debug)]
struct Open {
    address: net::IpAddr,
    /// Since when it waits for a head or its rest; `None` while a request is read or answered.
    waiting_since: Option<time::Time>,
}

impl Connections {
    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Adds a connection; returns its number.
    pub fn add(&mut self, now: time::Time, address: net::IpAddr) -> u64 {
        self.last_id += 1;
        let waiting_since = Some(now);
        self.open.insert(
            self.last_id,
            Open {
                address,
                waiting_since,
            },
        );
        *self.counts.entry(address).or_default() += 1;
        self.last_id
    }

    /// Notes since when a connection waits for a head, or that a request is read or answered on it.
    pub fn set_waiting(&mut self, id: u64, since: Option<time::Time>) {
        if let Some(open) = self.open.get_mut(&id) {
            open.waiting_since = since;
        }
    }

    /// Removes a connection.
    pub fn remove(&mut self, id: u64) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        if let Some(count) = self.counts.get_mut(&open.address) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&open.address);
            }
        }
    }

    /// Removes and returns the connection to be closed for a new one: of the addresses with the most
    /// connections, the one that has waited for a head for longest.
    pub fn evict(&mut self) -> Option<u64> {
        let waiting = self.open.iter().filter_map(|(id, open)| {
            let count = self.counts.get(&open.address).copied().unwrap_or(0);
            Some((std::cmp::Reverse(count), open.waiting_since?, *id))
        });
        let (_, _, id) = waiting.min()?;
        self.remove(id);
        Some(id)
    }
}
