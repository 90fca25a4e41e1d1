//! How far an instance has read.

use super::revision;

/// How far an instance has read one kind of object.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Position {
    /// Revision of the store up to which it has all changes.
    #[serde(rename = "changed")]
    pub revision: revision::Revision,
    /// Hash of the names and revisions of the objects.
    #[serde(rename = "content")]
    pub content_hash: u64,
}
