//! Binary encoding of messages between instances.

/// Largest datagram in bytes.
pub const MAX_BYTES: usize = 32 * 1024;

/// Encodes a message to another instance.
///
/// # Errors
///
/// Fails if the value cannot be encoded.
pub fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, bincode::error::EncodeError> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
}

/// Decodes a message from another instance.
///
/// # Errors
///
/// Fails if the bytes are not an encoding of `T`.
pub fn decode<T: serde::de::DeserializeOwned>(
    bytes: &[u8],
) -> Result<T, bincode::error::DecodeError> {
    /// Largest decoded value in bytes.
    const MAX_VALUE: usize = 16 << 20;
    let config = bincode::config::standard().with_limit::<MAX_VALUE>();
    let (value, _) = bincode::serde::decode_from_slice(bytes, config)?;
    Ok(value)
}
