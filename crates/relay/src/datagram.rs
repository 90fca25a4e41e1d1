//! Messages between instances, as bytes.

use guavausher_core::relay::{digest, pulse};

/// Largest datagram in bytes.
pub const MAX_BYTES: usize = 32 * 1024;

/// What one datagram brings.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Datagram {
    /// All that an instance tells.
    Digest(digest::Digest),
    /// The part of it that is told most often.
    Pulse(pulse::Pulse),
}

impl Datagram {
    /// Encodes a message.
    ///
    /// # Errors
    ///
    /// Fails if it has no encoding.
    pub fn encode(&self) -> Result<Vec<u8>, bincode::error::EncodeError> {
        encode(self)
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are none.
    pub fn decode(bytes: &[u8]) -> Result<Self, bincode::error::DecodeError> {
        decode(bytes)
    }
}

/// Encodes a value that instances tell each other.
pub(crate) fn encode<T: serde::Serialize>(
    value: &T,
) -> Result<Vec<u8>, bincode::error::EncodeError> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
}

/// Decodes a value that instances tell each other.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(
    bytes: &[u8],
) -> Result<T, bincode::error::DecodeError> {
    /// Largest value in bytes.
    const MAX_VALUE: usize = 16 << 20;
    let config = bincode::config::standard().with_limit::<MAX_VALUE>();
    let (value, _) = bincode::serde::decode_from_slice(bytes, config)?;
    Ok(value)
}
