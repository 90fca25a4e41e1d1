//! Errors of encoding and decoding frames.

/// Reason why a frame cannot be encoded or decoded.
#[derive(Clone, Debug, Eq, PartialEq, displaydoc::Display)]
pub enum Error {
    /// cannot encode a peer message ({0}); this is a bug, report it
    Encode(String),
    /// peer message of {0} bytes exceeds the size limit; the sender must split or shrink it
    Oversize(usize),
    /// cannot decode a peer message ({0}); check that the peer runs an intact build of this program
    Malformed(String),
    /// peer message holds {length} {what}, limit is {limit}; the sender must split it
    TooMany {
        /// Kind of the elements.
        what: &'static str,
        /// Number of elements in the message.
        length: usize,
        /// Maximum number of elements.
        limit: usize,
    },
}

impl std::error::Error for Error {}
