//! Upstreams drained by operators.

use std::collections;

use crate::fact;
use crate::name;
use crate::store;
use crate::time;

/// Largest number of drained upstreams; further ones are ignored.
const MAX_DRAINED: usize = 4_096;

/// Upstreams drained by operators, with their incarnations from the instance list.
///
/// A fact about the current incarnation is published repeatedly until the operator cancels the
/// drain, so a new incarnation gets no requests either.
#[derive(Clone, Debug, Default)]
pub struct Drains {
    names: collections::BTreeSet<name::Name>,
    incarnations: collections::BTreeMap<name::Name, u64>,
    revision: u64,
    is_watching: bool,
    is_listing: bool,
    watch_at: time::Time,
    list_at: time::Time,
    publish_at: time::Time,
}

impl Drains {
    /// Returns the watch call if it is due.
    pub fn watch_call(&mut self, now: time::Time) -> Option<store::Call> {
        if self.is_watching || now < self.watch_at {
            return None;
        }
        self.is_watching = true;
        Some(store::Call::Watch {
            prefix: name::Name::from(super::DRAIN_PREFIX),
            since: self.revision,
        })
    }

    /// Returns the read call for the instance list if it is due.
    pub fn list_call(&mut self, now: time::Time) -> Option<store::Call> {
        if self.is_listing || self.names.is_empty() || now < self.list_at {
            return None;
        }
        self.is_listing = true;
        Some(store::Call::Instances)
    }

    /// Handles the reply to the watch call.
    pub fn handle_watch(&mut self, now: time::Time, reply: &store::Reply) {
        self.is_watching = false;
        let store::Reply::Listed { revision, objects } = reply else {
            self.watch_at = now.after(super::RETRY_DELAY);
            return;
        };
        self.revision = *revision;
        objects.iter().for_each(|entry| self.apply_entry(entry));
        if !objects.is_empty() {
            self.list_at = now;
            self.publish_at = time::Time::default();
        }
    }

    /// Handles the reply with the instance list.
    pub fn handle_list(&mut self, now: time::Time, reply: &store::Reply) {
        self.is_listing = false;
        let store::Reply::Instances { instances, .. } = reply else {
            self.list_at = now.after(super::RETRY_DELAY);
            return;
        };
        self.list_at = now.after(super::FACT_REFRESH);
        self.publish_at = time::Time::default();
        for instance in instances {
            if self.names.contains(&instance.name) {
                let known = self.incarnations.entry(instance.name.clone()).or_default();
                *known = instance.incarnation.max(*known);
            }
        }
    }

    /// Returns the facts that are to be published now.
    pub fn due_facts(&mut self, now: time::Time) -> Vec<fact::Fact> {
        if now < self.publish_at {
            return Vec::new();
        }
        self.publish_at = now.after(super::FACT_REFRESH);
        let leaving = |upstream: &name::Name| fact::Fact::Leaving {
            upstream: upstream.clone(),
            incarnation: self.incarnations.get(upstream).copied().unwrap_or(0),
        };
        self.names.iter().map(leaving).collect()
    }

    fn apply_entry(&mut self, entry: &store::Entry) {
        let Some(upstream) = entry.key.strip_prefix(super::DRAIN_PREFIX) else {
            return;
        };
        let upstream = name::Name::from(upstream);
        if entry.version == store::DELETED {
            self.names.remove(&upstream);
            self.incarnations.remove(&upstream);
        } else if self.names.len() < MAX_DRAINED {
            self.names.insert(upstream);
        }
    }
}
