//! Frames on the links between peers: four bytes of length, then a message by `bincode`.
//!
//! A message that a later version added is skipped, and so are bytes that it appended to a known
//! one; so two versions run beside each other while one replaces the other.

mod decoder;
mod error;

use bincode::config;
use guavausher_core::peering;

pub use decoder::Decoder;
pub use error::Error;

/// The version of the protocol that both ends of a link must speak.
pub const PROTOCOL: u32 = 1;
/// The largest message in bytes, without its length.
pub const MAX_MESSAGE_BYTES: usize = peering::MAX_BODY_BYTES + 64 * 1024;
/// Bytes of the length that precedes each message.
pub const LENGTH_BYTES: usize = 4;
/// Kinds of messages that this version knows; the kind is the first byte.
const KINDS: u8 = 9;

/// Writes a message with its length.
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

/// Reads a message without its length; nothing if it is of a kind that a later version added.
pub fn decode(bytes: &[u8]) -> Result<Option<peering::Message>, Error> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(Error::Oversize(bytes.len()));
    }
    if bytes.first().is_some_and(|kind| *kind >= KINDS) {
        return Ok(None);
    }
    let config = config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let (message, _) = bincode::serde::decode_from_slice(bytes, config)
        .map_err(|error| Error::Malformed(error.to_string()))?;
    check(&message)?;
    Ok(Some(message))
}

fn check(message: &peering::Message) -> Result<(), Error> {
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
