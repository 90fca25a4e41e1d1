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
    Relay {
        /// The request.
        request: u64,
    },
    /// Give the final answer, or break the one that has begun.
    Refuse {
        /// The request.
        request: u64,
        /// The answer.
        refusal: refusal::Refusal,
    },
    /// An engine has come into use.
    Started(name::Name),
    /// An engine gets no new work.
    Left(name::Name),
    /// A manifest is in force.
    InForce {
        /// Its version.
        version: u64,
    },
    /// Another instance is taken as gone.
    Lost(name::Name),
}

/// One attempt.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The engine.
    pub choice: fleet::Choice,
    /// Number of the attempt, from 1.
    pub number: usize,
    /// When the first byte of the answer must have come; later only at the deadline.
    pub patience: Option<time::Time>,
    /// Longest pause within the answer before it goes on at another engine.
    pub pause: Option<Duration>,
}
