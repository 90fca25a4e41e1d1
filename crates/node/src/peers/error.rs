//! Why a link could not come up or ended.

use std::io;

use guavausher_wire::peer;

/// Why a link could not come up or ended.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// the peer key must be 16 to 256 visible ASCII characters
    Key,
    /// the peer does not hold the key of this deployment; give all processes the same key
    Refused,
    /// the peer speaks protocol {0}, not ours; upgrade the older of the two
    Protocol(String),
    /// the peer's header {0} is missing or unreadable
    Header(&'static str),
    /// the peer answered with status {0}
    Status(u16),
    /// the peer calls itself {0}; mend the list of members
    Name(String),
    /// the peer took too long to {0}
    Timeout(&'static str),
    /// the peer reads too slowly; its queue is full
    Slow,
    /// the peer closed the link
    Closed,
    /// the link is to this process itself
    Own,
    /// {0}
    Frame(peer::Error),
    /// the link broke: {0}
    Stream(h2::Error),
    /// the connection broke: {0}
    Connection(io::Error),
}

impl std::error::Error for Error {}

impl From<h2::Error> for Error {
    fn from(error: h2::Error) -> Self {
        Self::Stream(error)
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Connection(error)
    }
}

impl From<peer::Error> for Error {
    fn from(error: peer::Error) -> Self {
        Self::Frame(error)
    }
}
