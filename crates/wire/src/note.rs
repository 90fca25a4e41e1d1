//! Encoding of what entries forward to one another about suspect requests.

use std::sync;

use bincode::config;
use guavausher_core::poison;

/// The largest note in bytes.
const MAX_NOTE_BYTES: usize = 64;

/// Why bytes are no note.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// a forwarded note of a peer cannot be read ({0}); run the same version on all entries
    Malformed(String),
}

impl std::error::Error for Error {}

/// Writes a note.
pub fn encode(note: &poison::Note) -> Result<sync::Arc<[u8]>, Error> {
    let config = config::standard().with_limit::<MAX_NOTE_BYTES>();
    let bytes = bincode::serde::encode_to_vec(note, config);
    bytes.map(sync::Arc::from).map_err(malformed)
}

/// Reads a note.
pub fn decode(bytes: &[u8]) -> Result<poison::Note, Error> {
    let config = config::standard().with_limit::<MAX_NOTE_BYTES>();
    let decoded = bincode::serde::decode_from_slice(bytes, config);
    decoded.map(|(note, _)| note).map_err(malformed)
}

fn malformed(error: impl std::fmt::Display) -> Error {
    Error::Malformed(error.to_string())
}
