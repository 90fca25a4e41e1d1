//! What one request came to.

use std::time;

use crate::progress;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// With a whole answer.
    Ok,
    /// With a refusal that says that it was not run.
    Refused,
    /// Without a connection, so that nothing was sent.
    Unreached,
    /// With any other status, or without an answer.
    Failed,
    /// Within a stream, before its end.
    Truncated,
}

/// The measure of one request; times count from its intended send time.
#[derive(Debug)]
pub struct Measure {
    /// How it ended.
    pub end: End,
    /// When the first token came.
    pub first: Option<time::Duration>,
    /// When an answer that is no stream was whole.
    pub answer: Option<time::Duration>,
    /// How often it was sent again with the last offset.
    pub reconnects: u64,
    /// The tokens that came.
    pub progress: progress::Progress,
}

impl Measure {
    /// Starts with a request that has failed so far.
    pub fn new() -> Self {
        Self {
            end: End::Failed,
            first: None,
            answer: None,
            reconnects: 0,
            progress: progress::Progress::default(),
        }
    }
}

impl Default for Measure {
    fn default() -> Self {
        Self::new()
    }
}
