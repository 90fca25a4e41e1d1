//! Work that other instances have given to services.

use std::collections;
use std::time::Duration;

use super::digest;
use super::usage_counts;
use crate::name;
use crate::time;

/// Instances that are remembered.
const MAX_INSTANCES: usize = 4_096;
/// Silence after which another process may have taken an instance's place, as delegates tell it.
const REPLACED: Duration = Duration::from_secs(3);

/// Work by service, from what each process tells of its life.
#[derive(Clone, Debug, Default)]
pub struct Works {
    told: collections::BTreeMap<name::Name, Told>,
    /// Microseconds since this process began.
    sums: collections::BTreeMap<name::Name, u64>,
}

#[derive(Clone, Debug)]
struct Told {
    incarnation: u64,
    work: Vec<digest::Work>,
    heard: time::Time,
}

impl Works {
    /// Builds the view of an instance that has heard nothing yet.
    pub const fn new() -> Self {
        Self {
            told: collections::BTreeMap::new(),
            sums: collections::BTreeMap::new(),
        }
    }

    /// Adds what a process has given since it was last heard. One that was never heard may have
    /// run for long: what it gave before is not counted. One that follows another begins at zero.
    pub fn hear(
        &mut self,
        now: time::Time,
        process: &usage_counts::Process,
        work: &[digest::Work],
    ) {
        let known = self.told.get(&process.name);
        if known.is_none() && self.told.len() >= MAX_INSTANCES {
            return;
        }
        if known.is_some_and(|told| told.is_later(now, process)) {
            return;
        }
        if let Some(told) = known {
            let same = (told.incarnation == process.incarnation).then_some(&told.work);
            for work in work {
                let before = same.and_then(|all| all.iter().find(|w| w.service == work.service));
                let before = before.map_or(0, |w| w.micros);
                let sum = self.sums.entry(work.service.clone()).or_default();
                *sum = sum.saturating_add(work.micros.saturating_sub(before));
            }
        }
        let told = Told {
            incarnation: process.incarnation,
            work: work.to_vec(),
            heard: now,
        };
        self.told.insert(process.name.clone(), told);
    }

    /// Returns the microseconds of work that the others have given to a service.
    pub fn of(&self, service: &name::Name) -> u64 {
        self.sums.get(service).copied().unwrap_or(0)
    }

    /// Tells whether an instance has been heard since a moment.
    pub fn has_heard(&self, name: &name::Name, since: time::Time) -> bool {
        self.told.get(name).is_some_and(|told| told.heard >= since)
    }
}

impl Told {
    /// Tells whether what is told comes from a process before the one that was heard last.
    fn is_later(&self, now: time::Time, process: &usage_counts::Process) -> bool {
        self.incarnation > process.incarnation && self.heard.after(REPLACED) > now
    }
}
