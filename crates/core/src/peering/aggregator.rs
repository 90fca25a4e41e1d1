//! Aggregation of reports before they are sent to the controller of their service.

use std::collections;
use std::time::Duration;

use super::{message, report};
use crate::name;
use crate::time;

/// Send interval if a report is urgent.
const URGENT_INTERVAL: Duration = Duration::from_millis(500);
/// Send interval otherwise.
const INTERVAL: Duration = Duration::from_secs(2);
/// Delay of a node's send slot behind the slot of nodes one hop farther from the controller.
const HOP_DELAY: Duration = Duration::from_millis(80);
/// Maximum number of aggregated reports at a node; further ones are dropped and counted.
pub const MAX_REPORTS: usize = 1024;

/// Reports aggregated by service, version and route until they are sent.
#[derive(Debug, Default)]
pub struct Aggregator {
    pending: collections::BTreeMap<Key, report::Report>,
    due: Option<time::Time>,
    dropped: u64,
    sequence: u64,
}

/// Aggregated reports with the same next hop.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The next hop: a peer, or the own name if the reports have arrived.
    pub hop: name::Name,
    /// The aggregated reports.
    pub reports: Vec<report::Report>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Key {
    service: name::Name,
    version: name::Name,
    route: name::Name,
}

impl Aggregator {
    /// Adds reports; `height` is how many hops farther from the controller the farthest node is.
    ///
    /// Nodes send in fixed time slots, the farthest first, so that each node sends one message for
    /// all reports that pass through it. Clock skew only delays the reports.
    pub fn add(&mut self, now: time::Time, reports: &[report::Report], height: u16) {
        let urgent = reports.iter().any(report::Report::is_urgent);
        let interval = if urgent { URGENT_INTERVAL } else { INTERVAL };
        self.add_all(next_slot(now, interval, height), reports);
    }

    /// Removes all reports once they are due and groups them by next hop; those without one are
    /// kept for another [`INTERVAL`].
    pub fn take_batches(
        &mut self,
        now: time::Time,
        mut hop: impl FnMut(&name::Name) -> Option<name::Name>,
    ) -> Vec<Batch> {
        let mut batches: collections::BTreeMap<name::Name, Vec<report::Report>> =
            collections::BTreeMap::new();
        let mut kept = Vec::new();
        for report in self.take_due(now) {
            match hop(&report.service) {
                Some(hop) => batches.entry(hop).or_default().push(report),
                None => kept.push(report),
            }
        }
        self.add_all(now.after(INTERVAL), &kept);
        batches
            .into_iter()
            .map(|(hop, reports)| Batch { hop, reports })
            .collect()
    }

    /// Builds a message with the next sequence number.
    pub fn message(&mut self, reports: Vec<report::Report>) -> message::Message {
        self.sequence += 1;
        let sequence = self.sequence;
        message::Message::Reports(message::Reports { sequence, reports })
    }

    fn add_all(&mut self, due: time::Time, reports: &[report::Report]) {
        for report in reports {
            self.merge(report);
        }
        if !self.pending.is_empty() {
            self.due = Some(self.due.map_or(due, |old| old.min(due)));
        }
    }

    /// Returns when the next send is due.
    pub fn wake(&self) -> time::Time {
        self.due.unwrap_or(time::Time::MAX)
    }

    /// Returns how many reports were dropped because of [`MAX_REPORTS`].
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn take_due(&mut self, now: time::Time) -> Vec<report::Report> {
        if self.due.is_none_or(|due| due > now) {
            return Vec::new();
        }
        self.due = None;
        std::mem::take(&mut self.pending).into_values().collect()
    }

    fn merge(&mut self, report: &report::Report) {
        let key = Key {
            service: report.service.clone(),
            version: report.version.clone(),
            route: report.route.clone(),
        };
        if let Some(sum) = self.pending.get_mut(&key) {
            sum.add(report);
        } else if self.pending.len() < MAX_REPORTS {
            self.pending.insert(key, report.clone());
        } else {
            self.dropped += 1;
        }
    }
}

fn next_slot(now: time::Time, interval: Duration, height: u16) -> time::Time {
    let interval = u64::try_from(interval.as_micros()).unwrap_or(u64::MAX);
    let delay = u64::try_from(HOP_DELAY.as_micros()).unwrap_or(u64::MAX);
    let offset = delay.saturating_mul(height.into()) % interval;
    let elapsed = (now.as_micros() + interval - offset) % interval;
    now.after(Duration::from_micros(interval - elapsed))
}
