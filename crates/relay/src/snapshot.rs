//! Objects of a kind, and what has changed among them.

use std::hash::Hasher;

use guavausher_core::name;
use guavausher_core::relay::digest;

/// One object of a kind.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Item {
    /// Name.
    pub name: name::Name,
    /// Revision of its last change.
    pub revision: u64,
    /// Content as it was read.
    pub body: Vec<u8>,
}

/// All objects of a kind.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Revision up to which all changes of the kind are in it, 0 before it was read.
    pub changed: u64,
    /// Objects by name.
    pub items: Vec<Item>,
}

/// What one snapshot has that an older one has not.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Delta {
    /// Revision of the newer snapshot.
    pub changed: u64,
    /// Objects that were changed since the older one, by name.
    pub items: Vec<Item>,
    /// Names of all objects of the newer one in order; others are gone.
    pub names: Vec<name::Name>,
}

impl Snapshot {
    /// Returns what has changed since a revision.
    pub fn since(&self, revision: u64) -> Delta {
        let newer = self.items.iter().filter(|item| item.revision > revision);
        Delta {
            changed: self.changed,
            items: newer.cloned().collect(),
            names: self.items.iter().map(|item| item.name.clone()).collect(),
        }
    }

    /// Returns the objects after a delta from a revision up to which this snapshot is complete.
    pub fn after(&self, delta: Delta) -> Vec<Item> {
        let kept = self.items.iter().filter(|item| {
            let is_there = delta.names.binary_search(&item.name).is_ok();
            let is_older = find(&delta.items, &item.name).is_err();
            is_there && is_older
        });
        let mut items: Vec<_> = kept.cloned().collect();
        items.extend(delta.items);
        items.sort_by(|a, b| a.name.cmp(&b.name));
        items
    }

    /// Returns what other instances are told of it.
    pub fn position(&self) -> digest::Position {
        let content = match self.changed {
            0 => 0,
            _ => content(&self.items),
        };
        digest::Position {
            revision: self.changed,
            content_hash: content,
        }
    }
}

/// Finds an object among objects in the order of their names.
///
/// # Errors
///
/// Fails with the place where it would stand.
pub fn find(items: &[Item], name: &name::Name) -> Result<usize, usize> {
    items.binary_search_by(|item| item.name.cmp(name))
}

/// Returns a hash of the names and revisions of objects.
fn content(items: &[Item]) -> u64 {
    let mut hasher = twox_hash::XxHash64::with_seed(0);
    for item in items {
        hasher.write(item.name.as_bytes());
        hasher.write_u64(item.revision);
    }
    hasher.finish()
}
