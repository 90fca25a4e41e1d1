//! The share of the new version at one entry.

use std::collections;

use crate::name;
use crate::rollout::{FULL_SHARE, phase, status};
use crate::time;

/// The version that each request gets at one entry.
///
/// The share is enforced by error diffusion: of any run of requests from the start of a rollout,
/// no more than the share goes to the new version. A halted version gets nothing, and neither
/// does one whose rollout has not ended by its deadline.
///
/// ```
/// use guavausher_core::name;
/// use guavausher_core::rollout;
/// let mut split = rollout::Split::new();
/// let declared = name::Name::from("v1");
/// let service = name::Name::from("verse-scribe");
/// assert_eq!(split.choose(&service, &declared), declared);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Split {
    lanes: collections::BTreeMap<name::Name, Lane>,
    halted: collections::BTreeSet<Halt>,
}

#[derive(Clone, Debug)]
struct Lane {
    status: status::Status,
    credit: u32,
    expired: bool,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Halt {
    service: name::Name,
    version: name::Name,
    generation: u64,
}

/// Halts that are kept; the ones of the lowest generations go first.
const MAX_HALTS: usize = 1_024;

impl Split {
    /// Builds a split without rollouts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over the rollouts in force; those that are not listed are forgotten.
    pub fn adopt(&mut self, statuses: &[status::Status]) {
        let mut lanes = collections::BTreeMap::new();
        for status in statuses {
            let old = self.lanes.remove(&status.service);
            let same = old.filter(|old| old.status.generation == status.generation);
            let lane = Lane {
                status: status.clone(),
                credit: same.as_ref().map_or(0, |old| old.credit),
                expired: same.is_some_and(|old| old.expired),
            };
            lanes.insert(status.service.clone(), lane);
        }
        self.lanes = lanes;
    }

    /// Gives a version no more requests in rollouts up to this generation.
    pub fn halt(&mut self, service: &name::Name, version: &name::Name, generation: u64) {
        self.halted.insert(Halt {
            service: service.clone(),
            version: version.clone(),
            generation,
        });
        while self.halted.len() > MAX_HALTS {
            self.forget_oldest();
        }
    }

    /// Stops the rollouts that have not ended by their deadline.
    pub fn expire(&mut self, now: time::Time) {
        for lane in self.lanes.values_mut() {
            lane.expired |= now >= lane.status.deadline;
        }
    }

    /// Returns the version for the next request of a service.
    pub fn choose(&mut self, service: &name::Name, declared: &name::Name) -> name::Name {
        let Some(lane) = self.lanes.get_mut(service) else {
            return declared.clone();
        };
        if is_halted(&self.halted, &lane.status) {
            return lane.status.from.clone();
        }
        if !lane.status.involves(declared) {
            return declared.clone();
        }
        lane.choose()
    }

    /// Tells whether a version is on trial, so that its upstreams are filled one after the other.
    pub fn is_rolling_out(&self, service: &name::Name, version: &name::Name) -> bool {
        self.lanes
            .get(service)
            .is_some_and(|lane| lane.status.to == *version && !lane.status.phase.is_end())
    }

    /// Tells whether a version of a service is halted in the rollout in force.
    pub fn is_halted(&self, service: &name::Name, version: &name::Name) -> bool {
        self.lanes
            .get(service)
            .is_some_and(|lane| lane.status.to == *version && is_halted(&self.halted, &lane.status))
    }

    fn forget_oldest(&mut self) {
        let oldest = self.halted.iter().min_by_key(|halt| halt.generation);
        if let Some(oldest) = oldest.cloned() {
            self.halted.remove(&oldest);
        }
    }
}

impl Lane {
    fn choose(&mut self) -> name::Name {
        match self.status.phase {
            phase::Phase::Done => return self.status.to.clone(),
            phase::Phase::RolledBack => return self.status.from.clone(),
            phase::Phase::Canary | phase::Phase::Ramp if self.expired => {
                return self.status.from.clone();
            }
            phase::Phase::Canary | phase::Phase::Ramp => {}
        }
        self.credit += self.status.share.min(FULL_SHARE);
        if self.credit < FULL_SHARE {
            return self.status.from.clone();
        }
        self.credit -= FULL_SHARE;
        self.status.to.clone()
    }
}

fn is_halted(halted: &collections::BTreeSet<Halt>, status: &status::Status) -> bool {
    let from = Halt {
        service: status.service.clone(),
        version: status.to.clone(),
        generation: status.generation,
    };
    halted
        .range(&from..)
        .next()
        .is_some_and(|halt| halt.service == status.service && halt.version == status.to)
}
