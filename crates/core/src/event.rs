//! What happens to an entry.

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
    /// Time has passed.
    Tick,
    /// A caller sent a request.
    Arrived(request::Request),
    /// The caller has gone away.
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
    /// A peer link changed or brought a message.
    Peer(peering::Input),
    /// The process has been asked to stop.
    Stop {
        /// When it ends at the latest.
        deadline: time::Time,
    },
}

/// Progress or end of an attempt.
#[derive(Clone, Debug)]
pub enum Signal {
    /// The first token has come.
    FirstToken,
    /// The answer is whole.
    Finished(Finish),
    /// The upstream stated that it did not run the request.
    Refused,
    /// The attempt failed.
    Failed(Failure),
}

/// The end of a whole answer.
#[derive(Clone, Debug, Default)]
pub struct Finish {
    /// Whether the upstream itself reports an error status (500 or above).
    pub failed: bool,
    /// Prompt tokens as the upstream counted them.
    pub prompt: u32,
    /// Prompt tokens found in its cache.
    pub cached: u32,
    /// Tokens forwarded by this attempt.
    pub tokens: u32,
    /// The answer to keep for a resend of a keyed request.
    pub kept: Option<ledger::Kept>,
}

/// The failure of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: verdict::Verdict,
    /// Whether the upstream closed the exchange without an answer.
    pub crashed: bool,
    /// Offset of the next token that the caller lacks.
    pub offset: u32,
}
