//! Messages between instances, as bytes.

/// Largest datagram in bytes.
pub const MAX_BYTES: usize = 32 * 1024;

/// Encodes a value that instances tell each other.
///
/// # Errors
///
/// Fails if it has no encoding.
pub fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, bincode::error::EncodeError> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
}

/// Decodes a value that instances tell each other.
///
/// # Errors
///
/// Fails if the bytes are none.
pub fn decode<T: serde::de::DeserializeOwned>(
    bytes: &[u8],
) -> Result<T, bincode::error::DecodeError> {
    /// Largest value in bytes.
    const MAX_VALUE: usize = 16 << 20;
    let config = bincode::config::standard().with_limit::<MAX_VALUE>();
    let (value, _) = bincode::serde::decode_from_slice(bytes, config)?;
    Ok(value)
}
