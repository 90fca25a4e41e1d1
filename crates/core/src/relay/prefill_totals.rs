//! Prefill work that other instances have sent to each service.

use std::collections;
use std::time::Duration;

use super::digest;
use super::usage_counts;
use crate::name;
use crate::time;

/// Instances that are remembered.
const MAX_INSTANCES: usize = 4_096;
/// Silence after which another process may have replaced that of an instance, at the rate of the
/// delegates' reports.
const REPLACED_AFTER: Duration = Duration::from_secs(3);

/// Prefill work by service, from the reports of each process.
#[derive(Clone, Debug, Default)]
pub struct PrefillTotals {
    reported: collections::BTreeMap<name::Name, Reported>,
    /// Microseconds since this process started.
    sums: collections::BTreeMap<name::Name, u64>,
}

/// The last report of one instance.
#[derive(Clone, Debug)]
struct Reported {
    incarnation: u64,
    work: Vec<digest::PrefillWork>,
    last_seen: time::Time,
}

impl PrefillTotals {
    /// Builds the totals of an instance that has received no report yet.
    pub const fn new() -> Self {
        Self {
            reported: collections::BTreeMap::new(),
            sums: collections::BTreeMap::new(),
        }
    }

    /// Adds what a process has sent since its last report.
    ///
    /// What a process sent before its first report is not counted, since it may have run for long.
    /// A process that replaces another one starts at zero.
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

    /// Returns the microseconds of prefill work that other instances have sent to a service.
    pub fn micros(&self, service: &name::Name) -> u64 {
        self.sums.get(service).copied().unwrap_or(0)
    }

    /// Returns `true` if an instance has sent a report at or after a time.
    pub fn is_reported_since(&self, name: &name::Name, since: time::Time) -> bool {
        self.reported
            .get(name)
            .is_some_and(|reported| reported.last_seen >= since)
    }
}

impl Reported {
    /// Returns `true` if a report comes from an earlier process than the one last seen.
    fn is_newer_than(&self, now: time::Time, process: &usage_counts::Process) -> bool {
        self.incarnation > process.incarnation && self.last_seen.after(REPLACED_AFTER) > now
    }
}
