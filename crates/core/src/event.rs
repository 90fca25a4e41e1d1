//! Inputs of an entry's reducer.

use crate::ledger;
use crate::name;
use crate::peering;
use crate::request;
use crate::routing;
use crate::store;
use crate::time;
use crate::verdict;

/// An event for the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// The process has started.
    Start,
    /// The wake-up time of the state has come.
    Tick,
    /// A caller sent a request.
    Arrived(request::Request),
    /// The caller has disconnected.
    Abandoned {
        /// The request.
        request: u64,
    },
    /// An attempt made progress or ended.
    Attempt {
        /// The attempt.
        attempt: u64,
        /// What happened.
        signal: Signal,
    },
    /// An upstream reported its load.
    Load {
        /// The upstream.
        upstream: name::Name,
        /// The report.
        load: routing::Load,
    },
    /// The store replied.
    Replied {
        /// The call.
        call: u64,
        /// The reply.
        reply: store::Reply,
    },
    /// A peer link changed or delivered a message.
    Peer(peering::Input),
    /// The process has been asked to stop.
    Stop {
        /// Time by which the process ends.
        deadline: time::Time,
    },
}

/// Progress or end of an attempt.
#[derive(Clone, Debug)]
pub enum Signal {
    /// The first token arrived, or the first one after a silence.
    FirstToken,
    /// The attempt makes no progress; it is not read until it is resumed.
    Silent {
        /// Offset of the next token that the caller needs.
        offset: u32,
    },
    /// The response is complete.
    Finished(Finish),
    /// The upstream stated that it did not run the request.
    Refused,
    /// The attempt failed.
    Failed(Failure),
}

/// Result of a complete response.
#[derive(Clone, Debug, Default)]
pub struct Finish {
    /// Whether the upstream returned an error status (500 or above).
    pub failed: bool,
    /// Prompt tokens as the upstream counted them.
    pub prompt: u32,
    /// Prompt tokens that were found in the upstream's cache.
    pub cached: u32,
    /// Tokens forwarded by this attempt.
    pub tokens: u32,
    /// The response to store for a repetition of a keyed request.
    pub kept: Option<ledger::StoredResponse>,
}

/// The failure of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: verdict::Verdict,
    /// Whether the upstream closed the connection without a complete response.
    pub crashed: bool,
    /// Offset of the next token that the caller needs.
    pub offset: u32,
}
