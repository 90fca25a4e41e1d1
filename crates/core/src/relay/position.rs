//! How far an instance has read.

/// How far an instance has read one kind of object.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Position {
    /// Revision of the store up to which it has all changes, 0 before the first read.
    #[serde(rename = "changed")]
    pub revision: u64,
    /// Hash of the names and revisions of the objects.
    #[serde(rename = "content")]
    pub content_hash: u64,
}
