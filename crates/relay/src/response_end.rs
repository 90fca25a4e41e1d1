//! How the response of an engine was delimited, and how it ended.

use std::io;

use crate::framing;

/// The end of the response to one attempt, as far as it has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ResponseEnd {
    /// How the body is delimited; `None` without a complete head.
    pub framing: Option<framing::Framing>,
    /// What ended it.
    pub cause: Option<Cause>,
}

/// What ends a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Cause {
    /// Its length or its last chunk.
    Complete,
    /// The engine closed the connection.
    Closed,
    /// The connection failed.
    Reset,
    /// The stream ended within an event.
    WithinEvent,
    /// Bytes that are no valid response to the request.
    Invalid,
    /// It is longer than the limit of this process.
    TooLong,
    /// There is no room for more of it.
    NoRoom,
}

impl ResponseEnd {
    /// Returns how the body is delimited, as text; empty without a complete head.
    pub const fn framing(self) -> &'static str {
        match self.framing {
            None => "",
            Some(framing::Framing::Length(_)) => "length",
            Some(framing::Framing::Chunked) => "chunks",
            Some(framing::Framing::Close) => "close",
        }
    }

    /// Returns what ended the response, as text; empty if it had not ended.
    pub const fn cause(self) -> &'static str {
        match self.cause {
            None => "",
            Some(Cause::Complete) => "complete",
            Some(Cause::Closed) => "closed",
            Some(Cause::Reset) => "reset",
            Some(Cause::WithinEvent) => "within-event",
            Some(Cause::Invalid) => "invalid",
            Some(Cause::TooLong) => "too-long",
            Some(Cause::NoRoom) => "no-room",
        }
    }
}

impl Cause {
    /// Returns the number of bytes read, or the cause if the connection has ended.
    pub fn of_read(read: io::Result<usize>) -> Result<usize, Self> {
        match read {
            Ok(0) => Err(Self::Closed),
            Ok(count) => Ok(count),
            Err(_) => Err(Self::Reset),
        }
    }
}
