//! Calls to the platform's object API and their replies, as data.

use std::sync;

use crate::name;
use crate::verdict;

/// The largest object in bytes that the platform holds.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// A version of one object; it grows with every write of that object.
pub type Version = u64;

/// One call to the object API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Reads an object.
    Read {
        /// Object key.
        key: name::Name,
    },
    /// Writes an object if its version is still the expected one.
    Write {
        /// Object key.
        key: name::Name,
        /// The version that must be current; `None` if the object must not exist.
        expected: Option<Version>,
        /// New content, at most [`MAX_BODY_BYTES`].
        body: sync::Arc<[u8]>,
    },
    /// Deletes an object if its version is still the expected one.
    Delete {
        /// Object key.
        key: name::Name,
        /// The version that must be current.
        expected: Version,
    },
    /// Lists objects by key prefix.
    List {
        /// Key prefix.
        prefix: name::Name,
    },
    /// Waits for a change after a revision of the whole store.
    Watch {
        /// Key prefix.
        prefix: name::Name,
        /// The revision that the caller has seen.
        since: u64,
    },
}

/// The reply to a [`Call`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The object that was read.
    Found(Object),
    /// The object does not exist.
    Missing,
    /// The write took effect.
    Written(Version),
    /// The expected version was not current; nothing was written.
    Conflict,
    /// Keys and versions under a prefix at a revision, without bodies.
    Listed {
        /// Revision of the whole store.
        revision: u64,
        /// Objects without bodies.
        objects: Vec<Entry>,
    },
    /// The call failed; a write with [`verdict::Verdict::MayHaveRun`] must be read back.
    Failed(verdict::Verdict),
}

/// A stored object with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Current version.
    pub version: Version,
    /// Content.
    pub body: sync::Arc<[u8]>,
}

/// The key and version of a stored object.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Entry {
    /// Object key.
    pub key: name::Name,
    /// Current version.
    pub version: Version,
}
