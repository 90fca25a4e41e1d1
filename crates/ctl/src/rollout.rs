//! The stored progress of rollouts.

use guavausher_core::name;
use guavausher_core::time;

use crate::operation;

/// Key of the progress of every rollout, a map by service.
pub const KEY: &str = "rollouts/current";

/// Phase of a rollout that reached its new version.
pub const DONE: &str = "done";

/// Phase of a rollout that went back to its old version.
pub const TAKEN_BACK: &str = "taken-back";

/// The progress of one rollout.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Rollout {
    /// The version that served before.
    pub from: name::Name,
    /// The version that takes over.
    pub to: name::Name,
    /// Share of requests, in thousandths.
    pub share: u32,
    /// Phase; [`DONE`] and [`TAKEN_BACK`] are final.
    pub phase: name::Name,
    /// When it is done or taken back.
    pub deadline: serde_json::Value,
    /// The generation that declared it.
    pub generation: u64,
}

impl Rollout {
    /// Returns whether the phase is final.
    pub fn is_final(&self) -> bool {
        [DONE, TAKEN_BACK].contains(&self.phase.as_str())
    }

    /// Returns the deadline for tables, whether it is stored as text or as microseconds.
    pub fn deadline_text(&self) -> String {
        match &self.deadline {
            serde_json::Value::String(text) => text.clone(),
            serde_json::Value::Number(micros) => {
                let micros = micros.as_u64().unwrap_or_default();
                operation::format_time(time::Time::from_micros(micros))
            }
            _ => "-".to_owned(),
        }
    }
}
