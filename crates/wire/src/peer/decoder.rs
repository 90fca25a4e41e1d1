//! Incremental decoder for a byte stream of frames.

use bytes::Buf;
use guavausher_core::peering;

use super::error;

/// Splits a byte stream into messages. Buffers at most one incomplete frame and the last chunk.
///
/// ```
/// use guavausher_core::peering;
/// use guavausher_wire::peer;
/// let message = peering::Message::Buckets(vec![1, 2]);
/// let mut decoder = peer::Decoder::default();
/// decoder.push(&peer::encode(&message).unwrap());
/// assert_eq!(decoder.next_message().unwrap(), Some(message));
/// assert_eq!(decoder.next_message().unwrap(), None);
/// ```
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: bytes::BytesMut,
    skipped: u64,
}

impl Decoder {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete message, or `None` if more bytes are needed. Skips messages of an
    /// unknown kind.
    ///
    /// # Errors
    ///
    /// Fails if a frame is too long or its message cannot be decoded.
    pub fn next_message(&mut self) -> Result<Option<peering::Message>, error::Error> {
        while let Some(frame) = self.next_frame()? {
            if let Some(message) = super::decode(&frame)? {
                return Ok(Some(message));
            }
            self.skipped += 1;
        }
        Ok(None)
    }

    /// Returns `true` if the buffer holds bytes of a frame that is not decoded yet.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the number of messages that were skipped because their kind is unknown.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    fn next_frame(&mut self) -> Result<Option<bytes::BytesMut>, error::Error> {
        let Some(prefix) = self.buffer.first_chunk::<{ super::LENGTH_BYTES }>() else {
            return Ok(None);
        };
        let length = usize::try_from(u32::from_be_bytes(*prefix)).unwrap_or(usize::MAX);
        if length > super::MAX_MESSAGE_BYTES {
            return Err(error::Error::Oversize(length));
        }
        if self.buffer.len() < super::LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(super::LENGTH_BYTES);
        Ok(Some(self.buffer.split_to(length)))
    }
}
