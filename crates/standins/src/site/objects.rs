//! The objects of a site's store.

use std::collections;

use guavausher_core::name;
use guavausher_platform::wire;
use serde_json::value;

/// Maximum number of changes that are kept for watches.
const MAX_HISTORY: usize = 10_000;

/// Objects by kind and name, with their recent changes.
#[derive(Default)]
pub(super) struct Objects {
    /// Times that the store has returned from a copy.
    era: u64,
    copy: Option<Copy>,
    /// Revisions below which the history of this era does not reach.
    first: u64,
    revision: u64,
    objects: collections::BTreeMap<Key, wire::Object>,
    history: collections::VecDeque<Change>,
    fence: u64,
}

/// The objects as they were at a moment.
struct Copy {
    revision: u64,
    objects: collections::BTreeMap<Key, wire::Object>,
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

/// Outcome of a call for one object.
pub(super) enum Outcome {
    /// The object after the call.
    Object(wire::Object),
    /// The object has another revision, or exists already.
    Conflict(wire::Object),
    /// The object does not exist.
    Missing,
    /// The call cannot be parsed.
    Bad(String),
}

impl Objects {
    /// Returns the store's revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns how often the store has returned from a copy.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Goes on with the revisions after this one.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Keeps a copy of all objects.
    pub fn keep_copy(&mut self) {
        self.copy = Some(Copy {
            revision: self.revision,
            objects: self.objects.clone(),
        });
    }

    /// Returns from the copy; what was written since is lost, and its revisions are given out again.
    pub fn return_from_copy(&mut self) -> bool {
        let Some(copy) = &self.copy else {
            return false;
        };
        self.era += 1;
        self.first = copy.revision;
        self.revision = copy.revision;
        self.objects = copy.objects.clone();
        self.history.clear();
        true
    }

    /// Returns `true` if the history since a revision is known.
    pub fn has_history(&self, revision: u64) -> bool {
        (self.first..=self.revision).contains(&revision)
    }

    /// Records a fencing token; returns `true` if no higher one was seen.
    pub fn accept_fence(&mut self, fence: u64) -> bool {
        let is_accepted = fence >= self.fence;
        self.fence = self.fence.max(fence);
        is_accepted
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

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let listed = self.objects.keys().filter(|key| key.kind == kind);
        listed.map(|key| key.name.clone()).collect()
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

    /// Writes an object without a condition; one that is the same keeps its revision.
    pub fn set(&mut self, kind: &str, name: &str, spec: &value::RawValue) {
        let key = key(kind, name);
        let known = self.objects.get(&key).and_then(|o| o.spec.as_ref());
        if known.is_some_and(|known| known.get() == spec.get()) {
            return;
        }
        let status = self.objects.get(&key).and_then(|o| o.status.clone());
        self.write(key, Some(spec.to_owned()), status);
    }

    /// Removes an object.
    pub fn remove(&mut self, kind: &str, name: &str) -> Option<wire::Object> {
        let key = key(kind, name);
        let object = self.objects.remove(&key)?;
        self.revision += 1;
        self.record_change(key.kind, true, &object);
        Some(object)
    }

    /// Performs a call for one object.
    pub fn call(
        &mut self,
        method: &http::Method,
        kind: &str,
        name: Option<&str>,
        part: Option<&str>,
        body: &[u8],
    ) -> Outcome {
        let Some(name) = name else {
            return self.create(kind, body);
        };
        let known = self.objects.get(&key(kind, name)).cloned();
        let Some(known) = known else {
            return Outcome::Missing;
        };
        match *method {
            http::Method::GET => Outcome::Object(known),
            http::Method::DELETE => match self.remove(kind, name) {
                Some(object) => Outcome::Object(object),
                None => Outcome::Missing,
            },
            _ => self.replace(key(kind, name), known, part, body),
        }
    }

    fn create(&mut self, kind: &str, body: &[u8]) -> Outcome {
        let object: wire::Object = match serde_json::from_slice(body) {
            Ok(object) => object,
            Err(fault) => return Outcome::Bad(fault.to_string()),
        };
        let key = key(kind, &object.metadata.name);
        if let Some(known) = self.objects.get(&key) {
            return Outcome::Conflict(known.clone());
        }
        Outcome::Object(self.write(key, object.spec, None))
    }

    fn replace(
        &mut self,
        key: Key,
        known: wire::Object,
        part: Option<&str>,
        body: &[u8],
    ) -> Outcome {
        let object: wire::Object = match serde_json::from_slice(body) {
            Ok(object) => object,
            Err(fault) => return Outcome::Bad(fault.to_string()),
        };
        let stated = object.metadata.revision;
        if stated != 0 && stated != known.metadata.revision {
            return Outcome::Conflict(known);
        }
        let (spec, status) = match part {
            Some(_) => (known.spec, object.status),
            None => (object.spec, known.status),
        };
        Outcome::Object(self.write(key, spec, status))
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
        self.record_change(key.kind.clone(), false, &object);
        self.objects.insert(key, object.clone());
        object
    }

    fn record_change(&mut self, kind: String, deleted: bool, object: &wire::Object) {
        self.history.push_back(Change {
            revision: self.revision,
            kind,
            event: wire::Event {
                deleted,
                object: Some(super::raw(object)),
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
