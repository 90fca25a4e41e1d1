//! The platform's store and instance list, shared by all entries.

use std::collections;
use std::sync;

use guavausher_core::{name, store};

/// Objects with conditional writes, and every version of the instance list.
#[derive(Debug, Default)]
pub struct Platform {
    objects: collections::BTreeMap<name::Name, store::Object>,
    revision: u64,
    changed: collections::BTreeMap<name::Name, u64>,
    pub lists: Vec<Vec<store::Instance>>,
    pub notices: Vec<store::Notice>,
}

impl Platform {
    /// Returns the reply to a call, or `None` while a long poll has to wait.
    pub fn apply(&mut self, call: &store::Call, list: usize) -> Option<store::Reply> {
        let reply = match call {
            store::Call::Read { key } => match self.objects.get(key) {
                Some(object) => store::Reply::Found(object.clone()),
                None => store::Reply::Missing,
            },
            store::Call::Write {
                key,
                expected,
                body,
            } => {
                if self.objects.get(key).map(|o| o.version) != *expected {
                    return Some(store::Reply::Conflict);
                }
                store::Reply::Written(self.put(key.as_str(), sync::Arc::clone(body)))
            }
            store::Call::Delete { key, expected } => {
                if self.objects.get(key).map(|o| o.version) != Some(*expected) {
                    return Some(store::Reply::Conflict);
                }
                self.objects.remove(key);
                store::Reply::Written(store::DELETED)
            }
            store::Call::List { prefix } => self.list(prefix, 0),
            store::Call::Watch { prefix, since } => {
                let is_new =
                    |(key, at): (&name::Name, &u64)| key.starts_with(prefix.as_str()) && at > since;
                if !self.changed.iter().any(is_new) {
                    return None;
                }
                self.list(prefix, *since)
            }
            store::Call::Instances => store::Reply::Instances {
                revision: list as u64 + 1,
                instances: self.lists[list].clone(),
            },
            store::Call::Notices { since } => {
                let new = self.notices.iter().filter(|n| n.seq >= *since);
                let notices: Vec<_> = new.cloned().collect();
                let next = notices.last()?.seq + 1;
                store::Reply::Notices { next, notices }
            }
        };
        Some(reply)
    }

    /// Writes an object unconditionally and returns its new version.
    pub fn put(&mut self, key: &str, body: sync::Arc<[u8]>) -> store::Version {
        let key = name::Name::from(key);
        let version = self.objects.get(&key).map_or(0, |o| o.version) + 1;
        self.revision += 1;
        self.changed.insert(key.clone(), self.revision);
        self.objects.insert(key, store::Object { version, body });
        version
    }

    fn list(&self, prefix: &str, since: u64) -> store::Reply {
        let own = |key: &name::Name| {
            key.starts_with(prefix) && self.changed.get(key).is_some_and(|at| *at > since)
        };
        let objects = self.objects.iter().filter(|(key, _)| own(key));
        let entry = |(key, object): (&name::Name, &store::Object)| store::Entry {
            key: key.clone(),
            version: object.version,
        };
        store::Reply::Listed {
            revision: self.revision,
            objects: objects.map(entry).collect(),
        }
    }
}
