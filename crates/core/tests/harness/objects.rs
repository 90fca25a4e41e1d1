//! An in-memory object store with conditional writes.

use std::collections;

use guavausher_core::{name, store, verdict};

/// An in-memory object store with conditional writes.
#[derive(Debug, Default)]
pub struct ObjectStore {
    /// Stored objects by key.
    pub objects: collections::BTreeMap<name::Name, store::Object>,
    /// Increases with each write.
    pub revision: u64,
}

impl ObjectStore {
    pub fn apply(&mut self, call: &store::Call) -> store::Reply {
        match call {
            store::Call::Read { key } => self
                .objects
                .get(key)
                .cloned()
                .map_or(store::Reply::Missing, store::Reply::Found),
            store::Call::Write {
                key,
                expected,
                body,
            } => {
                if self.objects.get(key).map(|o| o.version) != *expected {
                    return store::Reply::Conflict;
                }
                self.revision += 1;
                let version = self.revision;
                self.objects.insert(
                    key.clone(),
                    store::Object {
                        version,
                        body: body.clone(),
                    },
                );
                store::Reply::Written(version)
            }
            store::Call::List { prefix } => {
                let own = self
                    .objects
                    .iter()
                    .filter(|(k, _)| k.starts_with(prefix.as_str()));
                let objects = own
                    .map(|(k, o)| store::Entry {
                        key: k.clone(),
                        version: o.version,
                    })
                    .collect();
                store::Reply::Listed {
                    revision: self.revision,
                    objects,
                }
            }
            store::Call::Delete { key, expected } => {
                if self.objects.get(key).map(|o| o.version) != Some(*expected) {
                    return store::Reply::Conflict;
                }
                self.objects.remove(key);
                store::Reply::Written(0)
            }
            _ => store::Reply::Failed(verdict::Verdict::NotRun),
        }
    }
}
