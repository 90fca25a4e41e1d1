//! Objects with versions.

use std::collections;

use bytes::Bytes;

/// How many objects can be stored, deleted ones included.
const MAX_OBJECTS: usize = 1 << 16;

/// The longest key in bytes.
const MAX_KEY_BYTES: usize = 512;

/// The condition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// The object has this version.
    Version(u64),
    /// The object does not exist.
    Absent,
}

/// Why a write has no effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The condition does not hold; the current version, if the object exists.
    Conflict(Option<u64>),
    /// The store is full or the key is too long.
    Limit,
}

/// The key and version of an object; version 0 means that it was deleted.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Entry {
    /// Object key.
    pub key: String,
    /// Version of the object.
    pub version: u64,
}

/// Entries at a revision.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Listing {
    /// Revision of the whole store.
    pub revision: u64,
    /// Entries in the order of their keys.
    pub objects: Vec<Entry>,
}

/// All objects and the revision of the store.
#[derive(Debug, Default)]
pub struct Objects {
    objects: collections::BTreeMap<String, Object>,
    revision: u64,
}

#[derive(Debug)]
struct Object {
    version: u64,
    revision: u64,
    body: Option<Bytes>,
}

impl Objects {
    /// Returns the version and content of an object.
    pub fn read(&self, key: &str) -> Option<(u64, Bytes)> {
        let object = self.objects.get(key)?;
        object.body.clone().map(|body| (object.version, body))
    }

    /// Writes an object if its condition holds, and returns the new version.
    pub fn write(&mut self, key: &str, condition: Condition, body: Bytes) -> Result<u64, Refusal> {
        self.check(key, condition)?;
        let full = self.objects.len() >= MAX_OBJECTS && !self.objects.contains_key(key);
        if full || key.len() > MAX_KEY_BYTES {
            return Err(Refusal::Limit);
        }
        Ok(self.put(key, Some(body)))
    }

    /// Deletes an object if its condition holds.
    pub fn delete(&mut self, key: &str, condition: Condition) -> Result<(), Refusal> {
        self.check(key, condition)?;
        self.put(key, None);
        Ok(())
    }

    /// Lists the existing objects under a prefix.
    pub fn list(&self, prefix: &str) -> Listing {
        let under = self
            .under(prefix)
            .filter(|(_, object)| object.body.is_some());
        Listing {
            revision: self.revision,
            objects: under.map(entry).collect(),
        }
    }

    /// Lists what changed under a prefix after a revision, deleted objects included.
    ///
    /// A revision that the store has not reached counts as 0.
    pub fn changed(&self, prefix: &str, since: u64) -> Listing {
        let since = if since > self.revision { 0 } else { since };
        let changed = self
            .under(prefix)
            .filter(|(_, object)| object.revision > since);
        Listing {
            revision: self.revision,
            objects: changed.map(entry).collect(),
        }
    }

    fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Object)> {
        let from = self.objects.range(prefix.to_owned()..);
        from.take_while(move |(key, _)| key.starts_with(prefix))
    }

    fn check(&self, key: &str, condition: Condition) -> Result<(), Refusal> {
        let current = self.read(key).map(|(version, _)| version);
        let holds = match condition {
            Condition::Version(version) => current == Some(version),
            Condition::Absent => current.is_none(),
        };
        if holds {
            Ok(())
        } else {
            Err(Refusal::Conflict(current))
        }
    }

    fn put(&mut self, key: &str, body: Option<Bytes>) -> u64 {
        self.revision += 1;
        let version = self.objects.get(key).map_or(0, |object| object.version) + 1;
        let object = Object {
            version,
            revision: self.revision,
            body,
        };
        self.objects.insert(key.to_owned(), object);
        version
    }
}

fn entry((key, object): (&String, &Object)) -> Entry {
    let version = object.body.as_ref().map_or(0, |_| object.version);
    Entry {
        key: key.clone(),
        version,
    }
}
