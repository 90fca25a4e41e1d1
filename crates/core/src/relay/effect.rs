//! What the reducer asks the shell to do.

use std::time::Duration;

use super::fleet;
use crate::name;
use crate::refusal;
use crate::time;

/// A thing for the shell to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a request to an engine.
    Send {
        /// The request.
        request: u64,
        /// Where and how.
        dispatch: Dispatch,
    },
    /// Pass the engine's failure on to the caller.
    ForwardFailure {
        /// The request.
        request: u64,
    },
    /// Give the final answer, or break the one that has begun.
    Refuse {
        /// The request.
        request: u64,
        /// The answer.
        refusal: refusal::Refusal,
        /// What it rests on.
        context: RefusalContext,
    },
    /// An engine is avoided for a while, by what it showed.
    EngineAvoided {
        /// The engine.
        engine: name::Name,
        /// What it showed.
        outcome: fleet::Outcome,
    },
    /// An engine has ended while it worked on a request.
    EngineCrashed {
        /// The engine.
        engine: name::Name,
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Engines that ended under it and count, as far as this instance knows.
        known: usize,
    },
    /// An engine has come into use.
    EngineStarted(name::Name),
    /// An engine gets no new work.
    EngineLeft {
        /// The engine.
        engine: name::Name,
        /// Who said so.
        source: Source,
        /// How old the news is.
        age: Duration,
    },
    /// An engine wants nothing from this instance.
    EngineHeld {
        /// The engine.
        engine: name::Name,
        /// Until when.
        until: time::Time,
    },
    /// A manifest is in force.
    ManifestApplied {
        /// Its version.
        version: u64,
    },
    /// Another instance is taken as gone.
    PeerLost(name::Name),
}

/// From where it is known that an engine leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The engine said so in an answer.
    Answer,
    /// The list of engines says so, or does not have it any more.
    List,
    /// Another instance told it.
    Peer,
}

/// What a final answer of our own rests on, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RefusalContext {
    /// Engines of the service that could get new work.
    pub engines: usize,
    /// Expected time to the first event at the best of them, if that decided.
    pub expected: Option<Duration>,
    /// Part of the workspace's cap that this instance and those it hears may use.
    pub cap_share: f64,
    /// Attempts that were sent.
    pub sent: u32,
}

/// One attempt.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The engine.
    pub choice: fleet::Choice,
    /// Number of the attempt, from 1.
    pub number: usize,
    /// When the first byte of the answer must have come; later only at the deadline.
    pub response_deadline: Option<time::Time>,
    /// Longest pause within the answer before it goes on at another engine.
    pub max_gap: Option<Duration>,
    /// Idle channels to the engine that may be kept afterwards, this one included.
    pub max_idle: usize,
}
