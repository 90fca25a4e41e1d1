//! What instances tell each other several times a second.

use std::net;

use super::heartbeat;
use super::rollouts;
use super::tracked;
use super::usage_counts;
use super::window_counts;
use crate::name;

/// Work of one instance on one engine.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct EngineLoad {
    /// The engine.
    pub engine: name::Name,
    /// The work.
    pub load: tracked::Load,
}

/// Units that one instance has admitted for one workspace in its life.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Usage {
    /// The workspace.
    pub workspace: name::Name,
    /// Units.
    pub units: u64,
    /// Units a second that callers ask it for.
    pub demand: u64,
    /// Units above what the rate has drained, over all instances, as the sender knows it.
    pub level: Option<u64>,
}

/// Work that one instance has given to one service in its life.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct PrefillWork {
    /// The service.
    pub service: name::Name,
    /// Microseconds that its engines take to read the prompts.
    pub micros: u64,
}

/// Answers of the versions of a service that is moved, on one route.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CanarySamples {
    /// The service.
    pub service: name::Name,
    /// The version that it moves to.
    pub target: name::Name,
    /// The route.
    pub route: name::Name,
    /// Answers.
    pub pair: rollouts::Pair,
}

/// Engines that ended under one request, by hashes of name and incarnation.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Suspect {
    /// Hash of method, path, caller and body.
    pub fingerprint: u64,
    /// Ends that count against it.
    #[serde(rename = "ends")]
    pub crashes: Vec<u64>,
    /// Ends that do not, since an engine has answered it.
    #[serde(rename = "excused")]
    pub cleared: Vec<u64>,
    /// How long this is to be remembered, in milliseconds.
    #[serde(rename = "left")]
    pub remaining_ms: u64,
}

/// An engine that leaves.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Departure {
    /// The engine.
    pub engine: name::Name,
    /// Its start.
    pub incarnation: u64,
    /// How long this is to be remembered, in milliseconds.
    #[serde(rename = "left")]
    pub remaining_ms: u64,
}

/// How far an instance has read one kind of object.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Position {
    /// Revision up to which it knows of all changes, 0 before it has read any.
    #[serde(rename = "changed")]
    pub revision: u64,
    /// Hash of the names and revisions of the objects.
    #[serde(rename = "content")]
    pub content_hash: u64,
}

/// All that one instance tells.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Digest {
    /// What is also told by itself.
    #[serde(rename = "pulse")]
    pub heartbeat: heartbeat::Heartbeat,
    /// Where it listens for digests and serves snapshots.
    pub address: net::SocketAddr,
    /// Its estimate of the true time in microseconds since the Unix epoch.
    #[serde(rename = "micros")]
    pub unix_micros: u64,
    /// Its work on engines.
    pub loads: Vec<EngineLoad>,
    /// Work that it has given to services.
    #[serde(rename = "work")]
    pub prefill_work: Vec<PrefillWork>,
    /// What it has counted in the newest windows.
    pub counts: Vec<window_counts::Count>,
    /// Answers of the versions of services that are moved.
    #[serde(rename = "trials")]
    pub canary_samples: Vec<CanarySamples>,
    /// Requests under which engines ended.
    pub suspects: Vec<Suspect>,
    /// Engines that leave, of which it has heard lately.
    pub departures: Vec<Departure>,
    /// Addresses of some instances that it hears from.
    pub members: Vec<net::SocketAddr>,
}

impl Digest {
    /// Returns the sender's counts.
    pub fn process_counts(&self) -> usage_counts::ProcessCounts {
        usage_counts::ProcessCounts {
            process: usage_counts::Process {
                name: self.heartbeat.sender.clone(),
                incarnation: self.heartbeat.incarnation,
            },
            counts: self.counts.clone(),
        }
    }
}
