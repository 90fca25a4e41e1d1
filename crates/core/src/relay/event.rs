//! Events that an instance handles.

use std::sync;
use std::time::Duration;

use super::crash_report;
use super::digest;
use super::engine;
use super::heartbeat;
use super::load_report;
use super::manifest;
use super::probes;
use super::process_report;
use super::rate_limit;
use super::request;
use super::rollouts;
use super::saved_suspect;
use super::summary;
use crate::name;
use crate::time;

/// An event for the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A complete request has arrived.
    Arrived(request::Request),
    /// An attempt made progress or ended.
    Attempt {
        /// Number of the request.
        request: u64,
        /// Number of the attempt, from 1.
        attempt: usize,
        /// What happened.
        signal: Signal,
    },
    /// A response of an engine contained a notice.
    EngineNotice {
        /// The engine.
        engine: name::Name,
        /// Its incarnation.
        incarnation: u64,
        /// The notice.
        notice: Notice,
    },
    /// The list of engines has changed.
    Engines(Vec<engine::Engine>),
    /// The next list of engines comes from another instance.
    PeerAhead {
        /// Since when that instance has been known to be ahead.
        since: time::Time,
    },
    /// The evacuated failure domains have changed.
    Evacuations(Vec<name::Name>),
    /// The store has returned from an older copy.
    StoreReturned {
        /// Its era since then.
        era: u64,
    },
    /// This instance has started or stopped watching the store for changes.
    Watching(bool),
    /// A newer manifest is known.
    Manifest(sync::Arc<manifest::Manifest>),
    /// The rollout orders have changed.
    Rollouts(Vec<rollouts::Order>),
    /// Delegates' reports on the processes of their group have arrived.
    ProcessReports(Vec<process_report::ProcessReport>),
    /// A delegate's summary has arrived.
    Summary(summary::Summary),
    /// Another instance's heartbeat has arrived.
    Heartbeat(heartbeat::Heartbeat),
    /// Another instance's digest has arrived.
    Digest(digest::Digest),
    /// Another instance's report of rate limits has arrived.
    RateLimits(Vec<rate_limit::Report>),
    /// Another instance's report of crashes has arrived.
    CrashReport(crash_report::CrashReport),
    /// Another instance's report of bids for probes has arrived.
    Bids(Vec<probes::Bid>),
    /// What the store keeps of crashes has been read.
    SavedSuspects(Vec<saved_suspect::SavedSuspect>),
    /// Time has passed.
    Tick,
}

impl Event {
    /// Returns the kind of the event, for logs and metrics.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Arrived(_) => "arrived",
            Self::Attempt { .. } => "attempt",
            Self::EngineNotice { .. } => "engine-notice",
            Self::Engines(_) => "engines",
            Self::PeerAhead { .. } => "peer-ahead",
            Self::Evacuations(_) => "evacuations",
            Self::StoreReturned { .. } => "store-returned",
            Self::Watching(_) => "watching",
            Self::Manifest(_) => "manifest",
            Self::Rollouts(_) => "rollouts",
            Self::ProcessReports(_) => "process-reports",
            Self::Summary(_) => "summary",
            Self::Heartbeat(_) => "heartbeat",
            Self::Digest(_) => "digest",
            Self::RateLimits(_) => "rate-limits",
            Self::CrashReport(_) => "crash-report",
            Self::Bids(_) => "bids",
            Self::SavedSuspects(_) => "saved-suspects",
            Self::Tick => "tick",
        }
    }
}

/// A notice of an engine about itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Notice {
    /// It is leaving.
    Leaving,
    /// It asks this instance to send no requests until then.
    Hold(time::Time),
    /// It takes a limited rate of requests from all instances together, or no longer does.
    Limit(rate_limit::Statement),
    /// Its load from all instances together.
    Load(load_report::LoadReport),
}

/// Progress or end of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// The first event of a stream, or the head of a plain response, has arrived; or the first event
    /// after a silence.
    First,
    /// A response that states a failure has arrived and nothing of it was forwarded.
    Failing {
        /// Its status.
        status: u16,
    },
    /// The complete response was forwarded.
    Whole {
        /// Its status.
        status: u16,
    },
    /// The same for a response that has neither a length nor chunks, so that it ended as if the engine
    /// had crashed.
    WholeAtClose {
        /// Its status.
        status: u16,
    },
    /// The engine states that it did not run the request.
    NotRun {
        /// Its status.
        status: u16,
        /// How long it asks not to be sent requests.
        wait: Option<Duration>,
    },
    /// No byte was sent.
    Unsent,
    /// No byte was sent, and none will be: the deadline has passed or the caller has left. The end of
    /// the request follows.
    Withheld,
    /// The connection broke or delivered bytes that are no valid response.
    Broken {
        /// Whether the engine closed or reset it before any byte of the response.
        unanswered: bool,
    },
    /// Nothing has arrived for too long. The attempt goes on until another one has responded.
    Stalled,
    /// The request's deadline has passed, which ends all its attempts.
    Expired,
    /// This process ends soon, which ends all attempts of the request.
    Stopped,
    /// The caller has disconnected, which ends all attempts of its request.
    Abandoned,
}

impl Signal {
    /// Returns `true` if it ends the request with all its attempts.
    pub const fn ends_request(self) -> bool {
        matches!(
            self,
            Self::Whole { .. }
                | Self::WholeAtClose { .. }
                | Self::Expired
                | Self::Stopped
                | Self::Abandoned
        )
    }
}
