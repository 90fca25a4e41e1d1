//! Why a frame cannot be written or read.

/// Why a frame cannot be written or read.
#[derive(Clone, Debug, Eq, PartialEq, displaydoc::Display)]
pub enum Error {
    /// a message cannot be written ({0}); this is a fault of this program
    Encode(String),
    /// a message of {0} bytes is above the limit; the peer must split or shrink it
    Oversize(usize),
    /// a message cannot be read ({0}); the peer runs another program or a damaged one
    Malformed(String),
    /// a message holds {length} {what}, above the limit of {limit}; the peer must split it
    TooMany {
        /// What is counted.
        what: &'static str,
        /// How many there are.
        length: usize,
        /// How many there may be.
        limit: usize,
    },
}

impl std::error::Error for Error {}
