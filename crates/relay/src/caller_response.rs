//! State of the response to a caller, over all attempts.

use bytes::Bytes;
use guavausher_core::time;

use crate::budget;
use crate::head;

/// A complete response that is buffered.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    /// Head of the response.
    pub head: head::Head,
    /// Body of the response.
    pub body: Bytes,
    /// Charge of the body.
    pub _charge: budget::Charge,
}

impl BufferedResponse {
    /// Returns the status of the response.
    pub const fn status(&self) -> u16 {
        self.head.status()
    }
}

/// Progress of the response to the caller, over all attempts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerResponse {
    /// Whether the head was sent to the caller; no other one can follow.
    pub is_begun: bool,
    /// Whether the body is sent with chunked transfer coding.
    pub is_chunked: bool,
    /// Whether the caller's connection stays open after the response.
    pub keeps_alive: bool,
    /// Bytes of the body that were sent to the caller.
    pub body_bytes: u64,
    /// Id of the last event that was passed on.
    pub last_event: Option<u64>,
    /// Time of the first event of the response.
    pub first_event: Option<time::Time>,
    /// Time at which the last bytes were written to the caller.
    pub last_write: time::Time,
    /// Whether bytes are being written.
    pub is_writing: bool,
    /// Time of the last probe of a caller that has closed its sending side.
    pub last_probe: time::Time,
    /// Zeros sent as probes before the next chunk.
    pub zeros: u8,
}

impl CallerResponse {
    /// Creates the output of a request without a response so far.
    pub fn new(keeps_alive: bool) -> Self {
        Self {
            is_begun: false,
            is_chunked: false,
            keeps_alive,
            body_bytes: 0,
            last_event: None,
            first_event: None,
            last_write: time::Time::default(),
            is_writing: false,
            last_probe: time::Time::default(),
            zeros: 0,
        }
    }
}
