//! Counts of one node.

use std::time::Duration;

/// Bytes of the `h2` header before each frame.
pub const FRAME_HEADER_BYTES: u64 = 9;
/// Bytes of the TCP and IP headers of each packet.
const PACKET_HEADER_BYTES: u64 = 52;
/// Bytes of content of each packet.
const PACKET_BYTES: u64 = 1448;

/// Counts of one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    /// Bytes of frames, sent and received.
    pub bytes: u64,
    /// The same with the headers of the packets and as many acknowledgements.
    pub wire: u64,
    /// Time in the reducer, the encoder and the decoder.
    pub busy: Duration,
}

impl Meter {
    /// Counts one frame that was sent or received.
    pub fn count(&mut self, frame: usize) {
        let bytes = frame as u64 + FRAME_HEADER_BYTES;
        let packets = bytes.div_ceil(PACKET_BYTES);
        self.bytes += bytes;
        self.wire += bytes + packets * 2 * PACKET_HEADER_BYTES;
    }
}
