//! What the quarantine answers and asks for.

use crate::fact;
use crate::name;

/// Whether a request may be dispatched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It may be dispatched like any other.
    Allowed,
    /// It may be dispatched in its turn, to an upstream that runs as little else as possible.
    Isolated,
    /// It waits for [`Effect::Start`], [`Effect::StartIsolated`] or [`Effect::Refuse`].
    Wait,
    /// It has crashed two upstreams and is never dispatched again.
    Blocked,
    /// Too many requests wait; it was not run and may be sent again later.
    Full,
}

/// The answer to a request with what has to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Admission {
    /// Whether it may be dispatched.
    pub decision: Decision,
    /// What has to be done.
    pub effects: Vec<Effect>,
}

/// Something to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Spread a fact; [`super::expiry`] says until when.
    Broadcast(fact::Fact),
    /// Send a note to another entry.
    Send {
        /// The entry.
        to: name::Name,
        /// The message.
        message: Message,
    },
    /// Dispatch a waiting request like any other; it is not suspect any more.
    Start(u64),
    /// Dispatch a waiting request in its turn.
    StartIsolated(u64),
    /// Answer a waiting request for good: it crashes upstreams.
    Block(u64),
    /// Answer a waiting request as not run; its turn did not come in time.
    Refuse(u64),
}

/// A request's turn at one entry.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct Run {
    /// Hash of service and body.
    pub fingerprint: u64,
    /// Number of the request, unique at its entry.
    pub request: u64,
}

/// A note between two entries about a turn.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Message {
    /// Asks for a turn.
    Ask(Run),
    /// Says that the turn will be given.
    Queued(Run),
    /// Gives the turn.
    Grant(Run),
    /// Says that the request brought its first token, so that the next turn may begin beside it.
    Started(Run),
    /// Says how the turn ended.
    Done {
        /// The turn.
        #[serde(rename = "turn")]
        run: Run,
        /// How it ended.
        outcome: Outcome,
    },
}

/// How a turn ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Outcome {
    /// The request ran to its end.
    Finished,
    /// The upstream died under the request.
    #[serde(rename = "Died")]
    Crashed,
    /// The request was given up; this says nothing about it.
    Released,
}
