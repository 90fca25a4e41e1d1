//! Snapshots of the stored objects of a kind, and deltas between them.

use std::hash::Hasher;

use guavausher_core::name;
use guavausher_core::relay::{position, revision};

/// A stored object.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Item {
    /// Name of the object.
    pub name: name::Name,
    /// Revision of its last change.
    pub revision: revision::Revision,
    /// Content as stored.
    pub body: Vec<u8>,
}

/// All objects of a kind.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Revision up to which all changes are included.
    pub changed: revision::Revision,
    /// Objects by name.
    pub items: Vec<Item>,
}

/// Difference between a snapshot and an older one.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Delta {
    /// Revision of the newer snapshot.
    pub changed: revision::Revision,
    /// Objects that have changed since the older one, by name.
    pub items: Vec<Item>,
    /// Names of all objects of the newer one in order; objects that are not listed were deleted.
    pub names: Vec<name::Name>,
}

impl Snapshot {
    /// Returns the changes since a revision.
    pub fn since(&self, revision: revision::Revision) -> Delta {
        let newer = self.items.iter().filter(|item| item.revision > revision);
        Delta {
            changed: self.changed,
            items: newer.cloned().collect(),
            names: self.items.iter().map(|item| item.name.clone()).collect(),
        }
    }

    /// Returns the objects after applying a delta.
    ///
    /// The delta must start at a revision up to which this snapshot is complete.
    pub fn after(&self, delta: Delta) -> Vec<Item> {
        let kept = self.items.iter().filter(|item| {
            let is_listed = delta.names.binary_search(&item.name).is_ok();
            let is_unchanged = find(&delta.items, &item.name).is_err();
            is_listed && is_unchanged
        });
        let mut items: Vec<_> = kept.cloned().collect();
        items.extend(delta.items);
        items.sort_by(|a, b| a.name.cmp(&b.name));
        items
    }

    /// Returns the position that is advertised to other instances.
    pub fn position(&self) -> position::Position {
        let content = match self.changed.is_none() {
            true => 0,
            false => content_hash(&self.items),
        };
        position::Position {
            revision: self.changed,
            content_hash: content,
        }
    }
}

/// Finds an object by name among objects that are sorted by name.
///
/// # Errors
///
/// Fails with the index at which the object would be inserted.
pub fn find(items: &[Item], name: &name::Name) -> Result<usize, usize> {
    items.binary_search_by(|item| item.name.cmp(name))
}

/// Returns a hash of the names and revisions of objects.
fn content_hash(items: &[Item]) -> u64 {
    let mut hasher = twox_hash::XxHash64::with_seed(0);
    for item in items {
        hasher.write(item.name.as_bytes());
        hasher.write_u64(item.revision.packed());
    }
    hasher.finish()
}
