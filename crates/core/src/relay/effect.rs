//! Effects that the reducer asks the runtime to perform.

use std::time::Duration;

use super::evacuations;
use super::fleet;
use super::rate_limit;
use super::subject;
use super::suspects;
use crate::name;
use crate::refusal;
use crate::time;

/// An effect for the runtime to perform.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a request to an engine.
    Send {
        /// Number of the request.
        request: u64,
        /// The engine and the limits of the attempt.
        dispatch: Dispatch,
    },
    /// End an attempt, since another one of the request has responded.
    Cancel {
        /// Number of the request.
        request: u64,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Forward an engine's failure response to the caller.
    ForwardFailure {
        /// Number of the request.
        request: u64,
    },
    /// Send our own final response, or abort the response that has begun.
    Refuse {
        /// Number of the request.
        request: u64,
        /// The response.
        refusal: refusal::Refusal,
        /// Facts that it is based on, for the log.
        context: RefusalContext,
    },
    /// An engine is avoided for a while because of an attempt's outcome.
    EngineAvoided {
        /// The engine.
        engine: name::Name,
        /// Outcome of the attempt.
        outcome: fleet::Outcome,
    },
    /// A version whose rollout is completed has begun or ceased to fail.
    CompletedVersion {
        /// The service.
        service: name::Name,
        /// The version.
        version: name::Name,
        /// Whether it fails now.
        is_failing: bool,
    },
    /// An engine crashed while it ran a request.
    EngineCrashed {
        /// The engine.
        engine: name::Name,
        /// Identifier of the crash, the same at all instances.
        crash: u64,
        /// The request and the parts of its prompt.
        blamed: Vec<Blame>,
    },
    /// A request or a part of prompts is blocked since engines crashed under it, or no longer is.
    SuspectChanged {
        /// What has changed.
        change: suspects::Change,
        /// The instance whose report was the reason, if it was not seen here.
        peer: Option<name::Name>,
    },
    /// A request with a blocked subject is sent as a probe.
    SuspectProbed {
        /// The request or the part that is blocked.
        subject: subject::Subject,
        /// Number of the request.
        request: u64,
        /// The engine.
        engine: name::Name,
    },
    /// An engine has come into use.
    EngineStarted(name::Name),
    /// An engine gets no new requests.
    EngineLeft {
        /// The engine.
        engine: name::Name,
        /// Source of the information.
        source: Source,
        /// Age of the information.
        age: Duration,
    },
    /// An engine is on hold for this instance.
    EngineHeld {
        /// The engine.
        engine: name::Name,
        /// End of the hold.
        until: time::Time,
    },
    /// An engine's rate limit has become known, has changed or has ended.
    EngineLimited {
        /// The engine.
        engine: name::Name,
        /// Its incarnation.
        incarnation: u64,
        /// The limit, or `None` if it has ended.
        rate: Option<rate_limit::Rate>,
        /// Source of the information.
        source: Source,
        /// Age of the information.
        age: Duration,
    },
    /// An evacuation of a failure domain has begun or ended, or cannot be applied.
    EvacuationChanged(evacuations::Change),
    /// A manifest is in force.
    ManifestApplied {
        /// Its version.
        version: u64,
    },
    /// Another instance is considered gone.
    PeerLost(name::Name),
}

/// A request or a part of prompts under which an engine crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Blame {
    /// The request or the part.
    pub subject: subject::Subject,
    /// Number of crashes that count against it, as far as this instance knows.
    pub known: usize,
}

/// Source of information about an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// A notice in a response of the engine.
    Answer,
    /// The list of engines, which says so or no longer contains the engine.
    List,
    /// A report of another instance.
    Peer,
    /// No confirmation for so long that it is not believed any more.
    Expiry,
}

/// Facts that a refusal is based on, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RefusalContext {
    /// Number of engines of the service that could get new requests.
    pub engines: usize,
    /// Number of these whose rate limit left no room.
    pub limited: usize,
    /// Number of these that have a free slot, as far as is known.
    pub free: usize,
    /// Expected time to the first event at the best of them, if that was the reason.
    pub expected: Option<Duration>,
    /// Part of the workspace's cap that this instance and the reachable ones may use.
    pub cap_share: f64,
    /// Number of attempts sent.
    pub sent: u32,
    /// Why no further attempt was sent, if one was considered.
    pub no_retry: Option<NoRetry>,
    /// The request or the part of its prompt that is blocked, since engines crashed under it.
    pub suspect: Option<subject::Subject>,
}

/// Why an attempt that failed or is silent is not followed by another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoRetry {
    /// The request may have run and must not run again, or its response cannot be continued.
    Policy,
    /// It was sent to as many engines as its route allows.
    Attempts,
    /// The retry budget is used up.
    Budget,
    /// No other engine may get it.
    Engines,
    /// Too little time is left.
    Time,
    /// It crashed the engines that ran it.
    Suspect,
    /// Another attempt is in progress and is not silent.
    Running,
}

impl NoRetry {
    /// Returns the reason as text for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Policy => "policy",
            Self::Attempts => "attempts",
            Self::Budget => "budget",
            Self::Engines => "engines",
            Self::Time => "time",
            Self::Suspect => "suspect",
            Self::Running => "running",
        }
    }
}

/// One attempt.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The engine.
    pub choice: fleet::Choice,
    /// Number of the attempt, from 1.
    pub number: usize,
    /// When the reducer decided to send it.
    pub decided_at: time::Time,
    /// When another engine is first considered if nothing of the response has arrived; `None` if the
    /// request cannot be sent to another one.
    pub response_deadline: Option<time::Time>,
    /// Gap within the response after which another engine is considered.
    pub max_gap: Option<Duration>,
    /// Maximum number of idle connections to the engine that are kept afterwards, this one
    /// included.
    pub max_idle: usize,
}
