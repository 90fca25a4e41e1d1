//! Splits the requests of one entry between the versions of a service.

use std::collections;

use crate::name;
use crate::rollout::{FULL_SHARE, phase, status};
use crate::time;

/// Chooses the version for each request at one entry.
///
/// The share is enforced by error diffusion: of any sequence of requests from the start of a
/// rollout, no more than the share goes to the new version. A halted version gets no requests, nor
/// does the new version of a rollout that has not ended by its deadline.
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
    rollouts: collections::BTreeMap<name::Name, ActiveRollout>,
    halted: collections::BTreeSet<Halt>,
}

#[derive(Clone, Debug)]
struct ActiveRollout {
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

/// Largest number of halts kept; those of the lowest generations are evicted first.
const MAX_HALTS: usize = 1_024;

impl Split {
    /// Builds a split without rollouts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adopts the rollouts in force; rollouts that are not listed are removed.
    pub fn adopt(&mut self, statuses: &[status::Status]) {
        let mut rollouts = collections::BTreeMap::new();
        for status in statuses {
            let old = self.rollouts.remove(&status.service);
            let same = old.filter(|old| old.status.generation == status.generation);
            let rollout = ActiveRollout {
                status: status.clone(),
                credit: same.as_ref().map_or(0, |old| old.credit),
                expired: same.is_some_and(|old| old.expired),
            };
            rollouts.insert(status.service.clone(), rollout);
        }
        self.rollouts = rollouts;
    }

    /// Halts a version: it gets no requests in rollouts up to this generation.
    pub fn halt(&mut self, service: &name::Name, version: &name::Name, generation: u64) {
        self.halted.insert(Halt {
            service: service.clone(),
            version: version.clone(),
            generation,
        });
        while self.halted.len() > MAX_HALTS {
            self.evict_oldest_halt();
        }
    }

    /// Stops rollouts that have not ended by their deadline.
    pub fn expire(&mut self, now: time::Time) {
        for rollout in self.rollouts.values_mut() {
            rollout.expired |= now >= rollout.status.deadline;
        }
    }

    /// Returns the version for the next request of a service.
    pub fn choose(&mut self, service: &name::Name, declared: &name::Name) -> name::Name {
        let Some(rollout) = self.rollouts.get_mut(service) else {
            return declared.clone();
        };
        if is_halted(&self.halted, &rollout.status) {
            return rollout.status.from.clone();
        }
        if !rollout.status.involves(declared) {
            return declared.clone();
        }
        rollout.choose()
    }

    /// Returns `true` if a version is being rolled out, so its upstreams are filled one by one.
    pub fn is_rolling_out(&self, service: &name::Name, version: &name::Name) -> bool {
        self.rollouts
            .get(service)
            .is_some_and(|rollout| rollout.status.to == *version && !rollout.status.phase.is_end())
    }

    /// Returns `true` if a version of a service is halted in the rollout in force.
    pub fn is_halted(&self, service: &name::Name, version: &name::Name) -> bool {
        self.rollouts.get(service).is_some_and(|rollout| {
            rollout.status.to == *version && is_halted(&self.halted, &rollout.status)
        })
    }

    fn evict_oldest_halt(&mut self) {
        let oldest = self.halted.iter().min_by_key(|halt| halt.generation);
        if let Some(oldest) = oldest.cloned() {
            self.halted.remove(&oldest);
        }
    }
}

impl ActiveRollout {
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
