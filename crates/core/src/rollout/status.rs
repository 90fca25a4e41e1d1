//! The status of one rollout.

use crate::declaration;
use crate::fact;
use crate::name;
use crate::rollout::phase;
use crate::time;

/// Version of the stored format.
pub const FORMAT: u32 = 1;

/// The status of one rollout, as the platform stores it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Status {
    /// Version of the stored format.
    pub format: u32,
    /// ID of the write that stored this status.
    #[serde(default)]
    pub operation: name::Name,
    /// The service that is rolled out.
    pub service: name::Name,
    /// The old version.
    pub from: name::Name,
    /// The new version.
    pub to: name::Name,
    /// Share of requests for the new version, in thousandths.
    pub share: u32,
    /// The largest share in the canary phase, in thousandths.
    pub limit: u32,
    /// The phase of the rollout.
    pub phase: phase::Phase,
    /// The earliest time of the next step.
    pub next: time::Time,
    /// The earliest time at which the rollout may complete.
    pub settle: time::Time,
    /// The time by which the rollout is completed or rolled back.
    pub deadline: time::Time,
    /// The configuration generation that declared the rollout.
    pub generation: u64,
    /// Why the rollout has this share and phase.
    pub reason: String,
}

impl Status {
    /// Returns `true` if this is the status of the declared rollout.
    pub fn matches_declaration(&self, rollout: &declaration::Rollout) -> bool {
        self.service == rollout.service
            && self.from == rollout.from
            && self.to == rollout.to
            && self.limit == rollout.share
            && self.deadline == deadline_of(rollout)
    }

    /// Returns `true` if a version is the old or the new version of the rollout.
    pub fn involves(&self, version: &name::Name) -> bool {
        self.from == *version || self.to == *version
    }

    /// Returns the fact that halts the new version.
    pub fn halt_fact(&self) -> fact::Fact {
        fact::Fact::Halted {
            service: self.service.clone(),
            version: self.to.clone(),
            generation: self.generation,
        }
    }

    /// Returns `true` if a fact halts the new version of this rollout.
    pub fn is_halted_by(&self, fact: &fact::Fact) -> bool {
        matches!(
            fact,
            fact::Fact::Halted { service, version, generation }
                if *service == self.service
                    && *version == self.to
                    && *generation >= self.generation
        )
    }
}

/// Returns the deadline of a declared rollout.
pub fn deadline_of(rollout: &declaration::Rollout) -> time::Time {
    let micros = rollout.deadline.as_microsecond();
    time::Time::from_micros(u64::try_from(micros).unwrap_or_default())
}
