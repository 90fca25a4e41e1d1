//! Crashes of engines and what may be their cause, as instances report them to each other.

use super::subject;
use crate::name;

/// One instance's report to others.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CrashReport {
    /// The instance.
    pub sender: name::Name,
    /// What may be the cause of crashes.
    pub suspects: Vec<Suspect>,
}

/// A request or a part of prompts that ran at engines when they crashed.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Suspect {
    /// The request or the part.
    pub subject: subject::Subject,
    /// The crashes.
    pub crashes: Vec<Crash>,
    /// How long this is to be remembered, in milliseconds.
    pub remaining_ms: u64,
}

/// One crash of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Crash {
    /// Hash of the engine's name and incarnation, the same at all instances.
    pub id: u64,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Whether the crash has another cause, since an engine has responded to the same completely.
    pub is_cleared: bool,
}

/// Returns the identifier of the crash of an engine's incarnation.
pub fn crash_id(engine: &name::Name, incarnation: u64) -> u64 {
    twox_hash::XxHash64::oneshot(incarnation, engine.as_bytes())
}
