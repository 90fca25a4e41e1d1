//! The stored form of a declaration.

use displaydoc::Display;

use crate::declaration;
use crate::declaration::fault;
use crate::declaration::place;
use crate::declaration::problem;
use crate::store;

/// Version of the stored format; readers ignore unknown fields of later versions.
pub const FORMAT: u32 = 1;

/// Error of encoding or decoding the stored form.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum StoredError {
    /// the stored form has {bytes} bytes, more than {limit}; declare fewer objects
    TooLarge {
        /// Size of the stored form.
        bytes: usize,
        /// Largest accepted size.
        limit: usize,
    },
    /// the stored form is not readable: {message}; apply a checked declaration again
    Unreadable {
        /// The parser's message.
        message: String,
    },
    /// the stored form lacks a format of at least 1; apply a checked declaration again
    Unversioned,
}

impl std::error::Error for StoredError {}

impl StoredError {
    /// Converts a size error into a fault of the declaration; `None` for other errors.
    pub(super) fn fault(&self, place: &place::Place) -> Option<fault::Fault> {
        let Self::TooLarge { bytes, limit } = *self else {
            return None;
        };
        Some(fault::Fault {
            place: place.clone(),
            problem: problem::Problem::StoredSize { bytes, limit },
        })
    }
}

#[derive(serde::Serialize)]
struct Versioned<'a, T> {
    format: u32,
    #[serde(flatten)]
    content: &'a T,
}

#[derive(serde::Deserialize)]
struct Format {
    #[serde(default)]
    format: u32,
}

impl declaration::Declaration {
    /// Encodes the stored form.
    ///
    /// # Errors
    ///
    /// Fails if the result exceeds the platform's size limit for one object.
    pub fn to_json(&self) -> Result<String, StoredError> {
        encode(self)
    }

    /// Decodes a stored form; unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// Fails if the text is too large or malformed or has no format.
    pub fn from_json(text: &[u8]) -> Result<Self, StoredError> {
        decode(text)
    }
}

/// Encodes content with the format as an additional field.
pub(super) fn encode<T: serde::Serialize>(content: &T) -> Result<String, StoredError> {
    let versioned = Versioned {
        format: FORMAT,
        content,
    };
    let text = serde_json::to_string(&versioned).map_err(unreadable)?;
    check_size(text.len()).map(|()| text)
}

/// Decodes content that has the format as an additional field.
pub(super) fn decode<T: serde::de::DeserializeOwned>(text: &[u8]) -> Result<T, StoredError> {
    check_size(text.len())?;
    let format: Format = serde_json::from_slice(text).map_err(unreadable)?;
    if format.format == 0 {
        return Err(StoredError::Unversioned);
    }
    serde_json::from_slice(text).map_err(unreadable)
}

fn check_size(bytes: usize) -> Result<(), StoredError> {
    let limit = store::MAX_BODY_BYTES;
    if bytes > limit {
        return Err(StoredError::TooLarge { bytes, limit });
    }
    Ok(())
}

fn unreadable(error: serde_json::Error) -> StoredError {
    StoredError::Unreadable {
        message: error.to_string(),
    }
}
