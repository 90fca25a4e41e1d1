//! Framing of messages between peers: a big-endian length of four bytes, then a message encoded
//! with `bincode`.
//!
//! Messages of an unknown kind are skipped and trailing bytes after a known message are ignored.
//! A newer version can therefore add kinds and append data, and two versions can run side by side
//! during an upgrade.

mod decoder;
mod error;

use bincode::config;
use guavausher_core::peering;

pub use decoder::Decoder;
pub use error::Error;

/// Protocol version; both ends of a link must use the same one.
pub const PROTOCOL: u32 = 1;
/// Maximum size of a message in bytes, without the length prefix.
pub const MAX_MESSAGE_BYTES: usize = peering::MAX_BODY_BYTES + 64 * 1024;
/// Size in bytes of the length prefix of each message.
pub const LENGTH_BYTES: usize = 4;
/// Number of message kinds that this version knows; the first byte of a message is its kind.
const KNOWN_KINDS: u8 = 9;

/// Encodes a message as a frame with a length prefix.
///
/// # Errors
///
/// Fails if the message cannot be encoded or exceeds [`MAX_MESSAGE_BYTES`].
pub fn encode(message: &peering::Message) -> Result<bytes::Bytes, Error> {
    let config = config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let mut frame = vec![0; LENGTH_BYTES];
    let length = bincode::serde::encode_into_std_write(message, &mut frame, config)
        .map_err(|error| Error::Encode(error.to_string()))?;
    if length > MAX_MESSAGE_BYTES {
        return Err(Error::Oversize(length));
    }
    let length = u32::try_from(length).map_err(|_| Error::Oversize(length))?;
    frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(bytes::Bytes::from(frame))
}

/// Decodes a message without its length prefix. Returns `None` if its kind is unknown, which means
/// that a later version added it.
///
/// # Errors
///
/// Fails if the message exceeds [`MAX_MESSAGE_BYTES`], is malformed or has too many elements.
pub fn decode(bytes: &[u8]) -> Result<Option<peering::Message>, Error> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(Error::Oversize(bytes.len()));
    }
    if bytes.first().is_some_and(|kind| *kind >= KNOWN_KINDS) {
        return Ok(None);
    }
    let config = config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let (message, _) = bincode::serde::decode_from_slice(bytes, config)
        .map_err(|error| Error::Malformed(error.to_string()))?;
    check_element_count(&message)?;
    Ok(Some(message))
}

/// Checks the number of buckets, facts or reports in a message against its limit.
fn check_element_count(message: &peering::Message) -> Result<(), Error> {
    let (what, length, limit) = match message {
        peering::Message::Buckets(buckets) => ("buckets", buckets.len(), peering::BUCKETS),
        peering::Message::Facts(facts) => ("facts", facts.len(), peering::MAX_FACTS_IN_MESSAGE),
        peering::Message::Reports(message) => {
            ("reports", message.reports.len(), peering::MAX_REPORTS)
        }
        _ => return Ok(()),
    };
    if length > limit {
        return Err(Error::TooMany {
            what,
            length,
            limit,
        });
    }
    Ok(())
}
