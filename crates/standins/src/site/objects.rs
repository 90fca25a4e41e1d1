//! The objects of a site's store.

use std::collections;

use guavausher_core::name;
use guavausher_platform::wire;
use serde_json::value;

/// Changes that are remembered for watches.
const MAX_HISTORY: usize = 10_000;

/// Objects by kind and name, with the changes of late.
#[derive(Default)]
pub(super) struct Objects {
    revision: u64,
    objects: collections::BTreeMap<Key, wire::Object>,
    history: collections::VecDeque<Change>,
    fence: u64,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Key {
    kind: String,
    name: String,
}

struct Change {
    revision: u64,
    kind: String,
    event: wire::Event,
}

/// The answer to a call for one object.
pub(super) enum Answer {
    /// It was done, or read.
    Object(wire::Object),
    /// Its revision is another one, or it exists already.
    Conflict(wire::Object),
    /// There is no such object.
    Missing,
    /// The call cannot be read.
    Bad(String),
}

impl Objects {
    /// Returns the store's revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes a fencing number; returns whether none above it was seen.
    pub fn passes(&mut self, fence: u64) -> bool {
        let passes = fence >= self.fence;
        self.fence = self.fence.max(fence);
        passes
    }

    /// Lists the objects of a kind.
    pub fn list(&self, kind: &str) -> wire::List {
        let listed = self.objects.iter().filter(|(key, _)| key.kind == kind);
        wire::List {
            items: listed.map(|(_, object)| super::raw(object)).collect(),
            has_more: false,
            store_revision: self.revision,
        }
    }

    /// Returns the changes of a kind after a revision.
    pub fn since(&self, kind: &str, revision: u64) -> wire::Watch {
        let later = self.history.iter().filter(|c| c.revision > revision);
        wire::Watch {
            events: later
                .filter(|c| c.kind == kind)
                .map(|c| c.event.clone())
                .collect(),
            store_revision: self.revision,
        }
    }

    /// Writes an object without a condition.
    pub fn set(&mut self, kind: &str, name: &str, spec: &value::RawValue) {
        let key = key(kind, name);
        let status = self.objects.get(&key).and_then(|o| o.status.clone());
        self.write(key, Some(spec.to_owned()), status);
    }

    /// Removes an object.
    pub fn remove(&mut self, kind: &str, name: &str) -> Option<wire::Object> {
        let key = key(kind, name);
        let object = self.objects.remove(&key)?;
        self.revision += 1;
        self.note(key.kind, true, &object);
        Some(object)
    }

    /// Makes a call for one object.
    pub fn call(
        &mut self,
        method: &http::Method,
        kind: &str,
        name: Option<&str>,
        part: Option<&str>,
        body: &[u8],
    ) -> Answer {
        let Some(name) = name else {
            return self.create(kind, body);
        };
        let known = self.objects.get(&key(kind, name)).cloned();
        let Some(known) = known else {
            return Answer::Missing;
        };
        match *method {
            http::Method::GET => Answer::Object(known),
            http::Method::DELETE => match self.remove(kind, name) {
                Some(object) => Answer::Object(object),
                None => Answer::Missing,
            },
            _ => self.replace(key(kind, name), known, part, body),
        }
    }

    fn create(&mut self, kind: &str, body: &[u8]) -> Answer {
        let object: wire::Object = match serde_json::from_slice(body) {
            Ok(object) => object,
            Err(fault) => return Answer::Bad(fault.to_string()),
        };
        let key = key(kind, &object.metadata.name);
        if let Some(known) = self.objects.get(&key) {
            return Answer::Conflict(known.clone());
        }
        Answer::Object(self.write(key, object.spec, None))
    }

    fn replace(
        &mut self,
        key: Key,
        known: wire::Object,
        part: Option<&str>,
        body: &[u8],
    ) -> Answer {
        let object: wire::Object = match serde_json::from_slice(body) {
            Ok(object) => object,
            Err(fault) => return Answer::Bad(fault.to_string()),
        };
        let stated = object.metadata.revision;
        if stated != 0 && stated != known.metadata.revision {
            return Answer::Conflict(known);
        }
        let (spec, status) = match part {
            Some(_) => (known.spec, object.status),
            None => (object.spec, known.status),
        };
        Answer::Object(self.write(key, spec, status))
    }

    fn write(
        &mut self,
        key: Key,
        spec: Option<Box<value::RawValue>>,
        status: Option<Box<value::RawValue>>,
    ) -> wire::Object {
        self.revision += 1;
        let object = wire::Object {
            metadata: wire::Metadata {
                name: name::Name::from(key.name.as_str()),
                revision: self.revision,
            },
            spec,
            status,
        };
        self.note(key.kind.clone(), false, &object);
        self.objects.insert(key, object.clone());
        object
    }

    fn note(&mut self, kind: String, deleted: bool, object: &wire::Object) {
        self.history.push_back(Change {
            revision: self.revision,
            kind,
            event: wire::Event {
                deleted,
                object: super::raw(object),
            },
        });
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }
}

fn key(kind: &str, name: &str) -> Key {
    Key {
        kind: kind.to_owned(),
        name: name.to_owned(),
    }
}
