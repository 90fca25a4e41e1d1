//! The state of one rollout.

use crate::declaration;
use crate::fact;
use crate::name;
use crate::rollout::phase;
use crate::time;

/// Version of the stored format.
pub const FORMAT: u32 = 1;

/// The state of one rollout as the platform holds it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Status {
    /// Version of the stored format.
    pub format: u32,
    /// Id of the write that made this state.
    #[serde(default)]
    pub operation: name::Name,
    /// The service.
    pub service: name::Name,
    /// The version that serves at the start.
    pub from: name::Name,
    /// The version that takes over.
    pub to: name::Name,
    /// Share of requests for the new version, in thousandths.
    pub share: u32,
    /// The largest share before the version is trusted, in thousandths.
    pub limit: u32,
    /// How far the rollout has come.
    pub phase: phase::Phase,
    /// The earliest time of the next step.
    pub next: time::Time,
    /// The earliest time at which the rollout may be done.
    pub settle: time::Time,
    /// When the rollout is done or taken back.
    pub deadline: time::Time,
    /// The configuration generation that declared the rollout.
    pub generation: u64,
    /// Why the rollout is where it is.
    pub reason: String,
}

impl Status {
    /// Tells whether this is the state of the declared rollout.
    pub fn is_of(&self, rollout: &declaration::Rollout) -> bool {
        self.service == rollout.service
            && self.from == rollout.from
            && self.to == rollout.to
            && self.limit == rollout.share
            && self.deadline == deadline_of(rollout)
    }

    /// Tells whether a version is one of the two that the rollout moves between.
    pub fn has(&self, version: &name::Name) -> bool {
        self.from == *version || self.to == *version
    }

    /// Returns the fact that halts the new version.
    pub fn halt(&self) -> fact::Fact {
        fact::Fact::Halted {
            service: self.service.clone(),
            version: self.to.clone(),
            generation: self.generation,
        }
    }

    /// Tells whether a fact halts the new version of this rollout.
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
