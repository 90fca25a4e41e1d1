//! The stored configuration object.

use crate::declaration;
use crate::declaration::stored;
use crate::name;
use crate::time;

/// A declaration with its author and time; its generation is the version of the stored object.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Envelope {
    /// Unique ID of the operation that wrote it.
    pub operation: name::Name,
    /// Operator who wrote it.
    pub author: name::Name,
    /// Time at which the operator's tool wrote it.
    #[serde(default)]
    pub at: time::Time,
    /// The declaration.
    pub declaration: declaration::Declaration,
}

impl Envelope {
    /// Encodes the stored object.
    ///
    /// # Errors
    ///
    /// Fails if the result exceeds the platform's size limit for one object.
    pub fn to_json(&self) -> Result<String, stored::StoredError> {
        stored::encode(self)
    }

    /// Decodes a stored object; unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// Fails if the text is too large or malformed or has no format.
    pub fn from_json(text: &[u8]) -> Result<Self, stored::StoredError> {
        stored::decode(text)
    }
}
