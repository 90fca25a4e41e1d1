//! Upstreams that operators drain.

use std::collections;

use crate::fact;
use crate::name;
use crate::store;
use crate::time;

/// Drained upstreams that are kept; further ones are left out.
const MAX_DRAINED: usize = 4_096;

/// Upstreams that operators drain, with the incarnations that the instance list knows.
///
/// A fact about the current incarnation is stated again as long as the operator's order stands,
/// so a new incarnation gets no work either.
#[derive(Clone, Debug, Default)]
pub struct Drains {
    names: collections::BTreeSet<name::Name>,
    incarnations: collections::BTreeMap<name::Name, u64>,
    revision: u64,
    is_watching: bool,
    is_listing: bool,
    watch: time::Time,
    list: time::Time,
    stated: time::Time,
}

impl Drains {
    /// Returns the watch that is due.
    pub fn watch_call(&mut self, now: time::Time) -> Option<store::Call> {
        if self.is_watching || now < self.watch {
            return None;
        }
        self.is_watching = true;
        Some(store::Call::Watch {
            prefix: name::Name::from(super::DRAIN_PREFIX),
            since: self.revision,
        })
    }

    /// Returns the look at the instance list that is due.
    pub fn list_call(&mut self, now: time::Time) -> Option<store::Call> {
        if self.is_listing || self.names.is_empty() || now < self.list {
            return None;
        }
        self.is_listing = true;
        Some(store::Call::Instances)
    }

    /// Takes the reply to the watch.
    pub fn handle_watch(&mut self, now: time::Time, reply: &store::Reply) {
        self.is_watching = false;
        let store::Reply::Listed { revision, objects } = reply else {
            self.watch = now.after(super::RETRY);
            return;
        };
        self.revision = *revision;
        objects.iter().for_each(|entry| self.change(entry));
        if !objects.is_empty() {
            self.list = now;
            self.stated = time::Time::default();
        }
    }

    /// Takes the reply with the instance list.
    pub fn handle_list(&mut self, now: time::Time, reply: &store::Reply) {
        self.is_listing = false;
        let store::Reply::Instances { instances, .. } = reply else {
            self.list = now.after(super::RETRY);
            return;
        };
        self.list = now.after(super::FACT_REFRESH);
        self.stated = time::Time::default();
        for instance in instances {
            if self.names.contains(&instance.name) {
                let known = self.incarnations.entry(instance.name.clone()).or_default();
                *known = instance.incarnation.max(*known);
            }
        }
    }

    /// Returns the facts that are to be stated now.
    pub fn due_facts(&mut self, now: time::Time) -> Vec<fact::Fact> {
        if now < self.stated {
            return Vec::new();
        }
        self.stated = now.after(super::FACT_REFRESH);
        let leaving = |upstream: &name::Name| fact::Fact::Leaving {
            upstream: upstream.clone(),
            incarnation: self.incarnations.get(upstream).copied().unwrap_or(0),
        };
        self.names.iter().map(leaving).collect()
    }

    fn change(&mut self, entry: &store::Entry) {
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
