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
const REPLACED_AFTER: Duration = Duration::from_secs(3);

/// Work by service, from what each process tells of its life.
#[derive(Clone, Debug, Default)]
pub struct PrefillTotals {
    reported: collections::BTreeMap<name::Name, Reported>,
    /// Microseconds since this process began.
    sums: collections::BTreeMap<name::Name, u64>,
}

#[derive(Clone, Debug)]
struct Reported {
    incarnation: u64,
    work: Vec<digest::PrefillWork>,
    last_seen: time::Time,
}

impl PrefillTotals {
    /// Builds the view of an instance that has heard nothing yet.
    pub const fn new() -> Self {
        Self {
            reported: collections::BTreeMap::new(),
            sums: collections::BTreeMap::new(),
        }
    }

    /// Adds what a process has given since it was last last_seen. One that was never heard may have
    /// run for long: what it gave before is not counted. One that follows another begins at zero.
    pub fn record(
        &mut self,
        now: time::Time,
        process: &usage_counts::Process,
        work: &[digest::PrefillWork],
    ) {
        let known = self.reported.get(&process.name);
        if known.is_none() && self.reported.len() >= MAX_INSTANCES {
            return;
        }
        if known.is_some_and(|reported| reported.is_newer_than(now, process)) {
            return;
        }
        if let Some(reported) = known {
            let same = (reported.incarnation == process.incarnation).then_some(&reported.work);
            for work in work {
                let before = same.and_then(|all| all.iter().find(|w| w.service == work.service));
                let before = before.map_or(0, |w| w.micros);
                let sum = self.sums.entry(work.service.clone()).or_default();
                *sum = sum.saturating_add(work.micros.saturating_sub(before));
            }
        }
        let reported = Reported {
            incarnation: process.incarnation,
            work: work.to_vec(),
            last_seen: now,
        };
        self.reported.insert(process.name.clone(), reported);
    }

    /// Returns the microseconds of work that the others have given to a service.
    pub fn micros(&self, service: &name::Name) -> u64 {
        self.sums.get(service).copied().unwrap_or(0)
    }

    /// Tells whether an instance has been heard since a moment.
    pub fn is_reported_since(&self, name: &name::Name, since: time::Time) -> bool {
        self.reported
            .get(name)
            .is_some_and(|reported| reported.last_seen >= since)
    }
}

impl Reported {
    /// Tells whether what is reported comes from a process before the one that was heard last.
    fn is_newer_than(&self, now: time::Time, process: &usage_counts::Process) -> bool {
        self.incarnation > process.incarnation && self.last_seen.after(REPLACED_AFTER) > now
    }
}
