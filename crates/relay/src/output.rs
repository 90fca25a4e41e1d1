//! The answer to a caller, over all attempts.

use bytes::Bytes;
use guavausher_core::time;

use crate::events;
use crate::head;

/// A whole answer that is held back.
#[derive(Debug)]
pub(crate) struct Kept {
    /// Its head.
    pub head: head::Head,
    /// Its body.
    pub body: Bytes,
}

impl Kept {
    /// Returns the status of the answer.
    pub const fn status(&self) -> u16 {
        self.head.status()
    }
}

/// How the caller's answer goes, over all attempts.
#[derive(Debug)]
pub(crate) struct Output {
    /// Whether the head was passed on.
    pub begun: bool,
    /// Whether the answer's body is sent in chunks.
    pub chunked: bool,
    /// Whether the caller's channel stays open after the answer.
    pub keeps: bool,
    /// Events that were passed on.
    pub events: events::Events,
    /// When the first event of the answer came.
    pub first: Option<time::Time>,
    /// When the last bytes were passed on.
    pub last: time::Time,
}

impl Output {
    /// Returns the output of a request of which nothing was answered.
    pub fn new(keeps: bool) -> Self {
        Self {
            begun: false,
            chunked: false,
            keeps,
            events: events::Events::default(),
            first: None,
            last: time::Time::default(),
        }
    }
}
