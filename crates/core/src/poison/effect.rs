//! Decisions, effects and messages of the quarantine.

use crate::fact;
use crate::name;

/// Whether a request may be dispatched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It may be dispatched like any other request.
    Allowed,
    /// It may be dispatched in isolation, to an upstream that runs as few other requests as
    /// possible; no other suspect request starts before its first token.
    Isolated,
    /// It waits for [`Effect::Start`], [`Effect::StartIsolated`] or [`Effect::Refuse`].
    Wait,
    /// It has crashed two upstreams and is not dispatched again.
    Blocked,
    /// Too many requests wait; it has not run and may be retried later.
    Full,
}

/// The decision about a request with its effects.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Admission {
    /// Whether it may be dispatched.
    pub decision: Decision,
    /// Effects to perform, in order.
    pub effects: Vec<Effect>,
}

/// An effect that the caller performs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Send a fact to all instances; [`super::expiry`] returns until when it holds.
    Broadcast(fact::Fact),
    /// Send a message to another entry.
    Send {
        /// The receiving entry.
        to: name::Name,
        /// The message.
        message: Message,
    },
    /// Dispatch a waiting request like any other; it is no longer suspect.
    Start(u64),
    /// Dispatch a waiting request in an isolated run.
    StartIsolated(u64),
    /// Reject a waiting request for good: it crashes upstreams.
    Block(u64),
    /// Reject a waiting request as not run: no run was granted in time.
    Refuse(u64),
}

/// An isolated run of a request.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct Run {
    /// Hash of service and body.
    pub fingerprint: u64,
    /// Number of the request, unique at its entry.
    pub request: u64,
}

/// A message between two entries about an isolated run.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Message {
    /// Requests a run.
    Ask(Run),
    /// Confirms that the run is queued.
    Queued(Run),
    /// Grants the run.
    Grant(Run),
    /// Reports the first token, so that the next run may start while this one goes on.
    Started(Run),
    /// Reports the end of the run.
    Done {
        /// The run.
        #[serde(rename = "turn")]
        run: Run,
        /// The outcome of the run.
        outcome: Outcome,
    },
}

/// How an isolated run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum Outcome {
    /// The request completed.
    Finished,
    /// The upstream crashed while running the request.
    #[serde(rename = "Died")]
    Crashed,
    /// The request was given up; this is no evidence for or against it.
    Released,
}
