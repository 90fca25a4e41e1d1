//! Serde encoding of shared byte strings, for use with `#[serde(with = ..)]`.

use std::fmt;
use std::sync;

use serde::de;

/// Serializes the bytes as one byte string instead of a sequence of numbers.
pub fn serialize<S: serde::Serializer>(
    body: &sync::Arc<[u8]>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(body)
}

/// Deserializes a byte string of at most [`super::MAX_BODY_BYTES`].
pub fn deserialize<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<sync::Arc<[u8]>, D::Error> {
    deserializer.deserialize_byte_buf(BodyVisitor)
}

struct BodyVisitor;

impl de::Visitor<'_> for BodyVisitor {
    type Value = sync::Arc<[u8]>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at most {} bytes", super::MAX_BODY_BYTES)
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
        if bytes.len() > super::MAX_BODY_BYTES {
            return Err(E::invalid_length(bytes.len(), &self));
        }
        Ok(sync::Arc::from(bytes))
    }
}
