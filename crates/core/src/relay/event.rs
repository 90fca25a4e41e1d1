//! What happens to an instance.

use std::sync;
use std::time::Duration;

use super::account;
use super::digest;
use super::engine;
use super::heartbeat;
use super::manifest;
use super::pulse;
use super::request;
use super::rollouts;
use super::summary;
use crate::name;
use crate::time;

/// An event for the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request has come whole.
    Arrived(request::Request),
    /// An attempt made progress or ended.
    Attempt {
        /// The request.
        request: u64,
        /// What happened.
        signal: Signal,
    },
    /// An engine has said something of itself in an answer.
    EngineNotice {
        /// The engine.
        engine: name::Name,
        /// Its start.
        incarnation: u64,
        /// What it said.
        notice: Notice,
    },
    /// The list of engines has changed.
    Engines(Vec<engine::Engine>),
    /// The store tells this instance of changes from now on, or does so no more.
    Watching(bool),
    /// A newer manifest is known.
    Manifest(sync::Arc<manifest::Manifest>),
    /// The orders to move services have changed.
    Rollouts(Vec<rollouts::Order>),
    /// What delegates tell of the members of their group has come.
    ProcessReports(Vec<account::Account>),
    /// A delegate's summary has come.
    Summary(summary::Summary),
    /// Another instance's pulse has come.
    Heartbeat(pulse::Pulse),
    /// Another instance's digest has come.
    Digest(digest::Digest),
    /// Time has passed.
    Tick,
}

/// What an engine says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Notice {
    /// It leaves.
    Leaving,
    /// It wants nothing from this instance until then.
    Hold(time::Time),
}

/// Progress or end of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// The first event of a stream, or the head of a plain answer, has come.
    First,
    /// An answer that states a failure has come and nothing of it was passed on.
    Failing {
        /// Its status.
        status: u16,
    },
    /// The answer was passed on whole.
    Whole {
        /// Its status.
        status: u16,
    },
    /// The engine states that it did not run the request.
    NotRun {
        /// Its status.
        status: u16,
        /// How long it asks to stay away.
        wait: Option<Duration>,
    },
    /// No byte was sent.
    Unsent,
    /// The channel broke or brought bytes that are no answer.
    Broken {
        /// Whether the engine closed or reset it before any byte of the answer.
        unanswered: bool,
    },
    /// Nothing has come for too long.
    Stalled,
    /// The request's time is over.
    Expired,
    /// The caller has gone.
    Abandoned,
}
