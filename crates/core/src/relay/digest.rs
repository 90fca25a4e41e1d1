//! Digests, which the members of a group send each other several times a second.

use std::net;

use super::canary_samples;
use super::heartbeat;
use super::load;
use super::usage_counts;
use super::window_counts;
use crate::name;

/// Load from one instance on one engine.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct EngineLoad {
    /// The engine.
    pub engine: name::Name,
    /// The load.
    pub load: load::Load,
}

/// Prefill work that one process has sent to one service since it started.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct PrefillWork {
    /// The service.
    pub service: name::Name,
    /// Microseconds that its engines need to process the prompts.
    pub micros: u64,
}

/// Engine crashes under one request, as earlier builds report them.
///
/// This build sends a [`super::crash_report::CrashReport`]; the type stays for the layout of messages.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Suspect {
    /// Hash of method, path, caller and body.
    pub fingerprint: u64,
    /// Crashes that count against the request.
    #[serde(rename = "ends")]
    pub crashes: Vec<u64>,
    /// Crashes that do not, since an engine has completed the request.
    #[serde(rename = "excused")]
    pub cleared: Vec<u64>,
    /// How long this is to be remembered, in milliseconds.
    #[serde(rename = "left")]
    pub remaining_ms: u64,
}

/// An engine that is shutting down.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Departure {
    /// The engine.
    pub engine: name::Name,
    /// The incarnation of the engine.
    pub incarnation: u64,
    /// How long this is to be remembered, in milliseconds.
    #[serde(rename = "left")]
    pub remaining_ms: u64,
}

/// Full report of one instance.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Digest {
    /// The part that is also sent on its own.
    #[serde(rename = "pulse")]
    pub heartbeat: heartbeat::Heartbeat,
    /// Where it listens for messages and serves snapshots.
    pub address: net::SocketAddr,
    /// Its estimate of the true time in microseconds since the Unix epoch.
    #[serde(rename = "micros")]
    pub unix_micros: u64,
    /// Its load on engines.
    pub loads: Vec<EngineLoad>,
    /// Prefill work that it has sent to services.
    #[serde(rename = "work")]
    pub prefill_work: Vec<PrefillWork>,
    /// Its usage counts of the newest windows.
    pub counts: Vec<window_counts::Count>,
    /// Outcomes on the versions of services in a rollout.
    #[serde(rename = "trials")]
    pub canary_samples: Vec<canary_samples::CanarySamples>,
    /// Requests under which engines crashed, from an earlier build.
    pub suspects: Vec<Suspect>,
    /// Engines that it recently learned are shutting down.
    pub departures: Vec<Departure>,
    /// Addresses of some instances that it can reach.
    pub members: Vec<net::SocketAddr>,
}

impl Digest {
    /// Returns the sender's usage counts.
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
