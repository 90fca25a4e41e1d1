//! The stored configuration object.

use crate::declaration;
use crate::declaration::stored;
use crate::name;
use crate::time;

/// A declaration with who wrote it; its generation is the object's version.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Envelope {
    /// Unique id of the operation that wrote it.
    pub operation: name::Name,
    /// The operator who wrote it.
    pub author: name::Name,
    /// When the operator's tool wrote it.
    #[serde(default)]
    pub at: time::Time,
    /// The declared configuration.
    pub declaration: declaration::Declaration,
}

impl Envelope {
    /// Encodes the stored object.
    ///
    /// # Errors
    ///
    /// Fails if it exceeds the platform's limit for one object.
    pub fn to_json(&self) -> Result<String, stored::StoredError> {
        stored::encode(self)
    }

    /// Decodes a stored object; unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// Fails on oversized or malformed text and on a missing format.
    pub fn from_json(text: &[u8]) -> Result<Self, stored::StoredError> {
        stored::decode(text)
    }
}
