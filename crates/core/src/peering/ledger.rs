//! Sums of reports that wait for the next message towards their controller.

use std::collections;
use std::time::Duration;

use super::{message, report};
use crate::name;
use crate::time;

/// Time between two messages of a node while something in its sums is urgent.
const URGENT: Duration = Duration::from_millis(500);
/// Time between two messages of a node while nothing is.
const CALM: Duration = Duration::from_secs(2);
/// How much later a node sends than those that are one link farther from the controller.
const STEP: Duration = Duration::from_millis(80);
/// Sums that a node holds at most; further ones are dropped and counted.
pub const MAX_SUMS: usize = 1024;

/// Sums of reports that wait for the next message.
#[derive(Debug, Default)]
pub struct Ledger {
    sums: collections::BTreeMap<Key, report::Report>,
    due: Option<time::Time>,
    dropped: u64,
    sequence: u64,
}

/// Sums that leave by the same link.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The peer, or the own name if they have arrived.
    pub hop: name::Name,
    /// The sums.
    pub reports: Vec<report::Report>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Key {
    service: name::Name,
    version: name::Name,
    route: name::Name,
}

impl Ledger {
    /// Adds reports to the sums; up to `behind` links lie between this node and those that send
    /// their sums through it.
    ///
    /// The nodes send at fixed moments of the clock, the farthest first, so that each sends once
    /// for all that come through it. Clocks that differ only delay the sums.
    pub fn add(&mut self, now: time::Time, reports: &[report::Report], behind: u16) {
        let urgent = reports.iter().any(report::Report::is_urgent);
        let period = if urgent { URGENT } else { CALM };
        self.hold(next_slot(now, period, behind), reports);
    }

    /// Takes all sums once they are due, by the link that each leaves by; those without one stay.
    pub fn take(
        &mut self,
        now: time::Time,
        mut hop: impl FnMut(&name::Name) -> Option<name::Name>,
    ) -> Vec<Batch> {
        let mut batches: collections::BTreeMap<name::Name, Vec<report::Report>> =
            collections::BTreeMap::new();
        let mut held = Vec::new();
        for report in self.take_due(now) {
            match hop(&report.service) {
                Some(hop) => batches.entry(hop).or_default().push(report),
                None => held.push(report),
            }
        }
        self.hold(now.after(CALM), &held);
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

    fn hold(&mut self, due: time::Time, reports: &[report::Report]) {
        for report in reports {
            self.add_one(report);
        }
        if !self.sums.is_empty() {
            self.due = Some(self.due.map_or(due, |old| old.min(due)));
        }
    }

    /// Returns when the sums are to be sent.
    pub fn wake(&self) -> time::Time {
        self.due.unwrap_or(time::Time::MAX)
    }

    /// Returns how many reports found no room.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn take_due(&mut self, now: time::Time) -> Vec<report::Report> {
        if self.due.is_none_or(|due| due > now) {
            return Vec::new();
        }
        self.due = None;
        std::mem::take(&mut self.sums).into_values().collect()
    }

    fn add_one(&mut self, report: &report::Report) {
        let key = Key {
            service: report.service.clone(),
            version: report.version.clone(),
            route: report.route.clone(),
        };
        if let Some(sum) = self.sums.get_mut(&key) {
            sum.add(report);
        } else if self.sums.len() < MAX_SUMS {
            self.sums.insert(key, report.clone());
        } else {
            self.dropped += 1;
        }
    }
}

fn next_slot(now: time::Time, period: Duration, behind: u16) -> time::Time {
    let period = u64::try_from(period.as_micros()).unwrap_or(u64::MAX);
    let step = u64::try_from(STEP.as_micros()).unwrap_or(u64::MAX);
    let phase = step.saturating_mul(behind.into()) % period;
    let passed = (now.as_micros() + period - phase) % period;
    now.after(Duration::from_micros(period - passed))
}
