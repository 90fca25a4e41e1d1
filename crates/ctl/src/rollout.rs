//! The stored progress of rollouts.

use guavausher_core::declaration;
use guavausher_core::name;
use guavausher_core::time;

use crate::operation;

/// Key of the progress of every rollout, a map by service.
pub const KEY: &str = "rollouts/current";

/// Phase of a rollout that reached its new version.
pub const DONE: &str = "done";

/// Phase of a rollout that went back to its old version.
pub const TAKEN_BACK: &str = "taken-back";

/// Phase of a declared rollout that no controller has started.
pub const PENDING: &str = "pending";

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
    pub deadline: time::Time,
    /// The generation that declared it.
    pub generation: u64,
    /// Why it is where it is.
    pub reason: String,
}

impl Rollout {
    /// Returns the progress of a declared rollout that was not started.
    pub fn pending(declared: &declaration::Rollout) -> Self {
        Self {
            from: declared.from.clone(),
            to: declared.to.clone(),
            phase: name::Name::from(PENDING),
            deadline: deadline_of(declared),
            ..Self::default()
        }
    }

    /// Returns whether this is the progress of the declared rollout, not of an earlier one.
    pub fn is_of(&self, declared: &declaration::Rollout) -> bool {
        self.from == declared.from
            && self.to == declared.to
            && self.deadline == deadline_of(declared)
    }

    /// Returns whether the phase is final.
    pub fn is_final(&self) -> bool {
        [DONE, TAKEN_BACK].contains(&self.phase.as_str())
    }

    /// Returns the cells of a table: version, share, phase and deadline.
    pub fn cells(&self) -> [String; 4] {
        [
            self.to.to_string(),
            format!("{}.{}%", self.share / 10, self.share % 10),
            self.phase.to_string(),
            operation::format_time(self.deadline),
        ]
    }
}

fn deadline_of(declared: &declaration::Rollout) -> time::Time {
    let micros = declared.deadline.as_microsecond();
    time::Time::from_micros(u64::try_from(micros).unwrap_or_default())
}
