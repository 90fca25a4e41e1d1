//! Requests and parts of prompts to which engines have recently responded completely.

use std::collections;
use std::time::Duration;

use super::subject;
use crate::time;

/// How long a success is remembered; crashes are reported for less.
const RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of requests and parts remembered.
const MAX_SUBJECTS: usize = 4_096;

/// The last success of each request and part.
#[derive(Clone, Debug, Default)]
pub struct Successes {
    latest: collections::HashMap<subject::Subject, time::Time>,
    /// In the order of time; an element is outdated if a later one has the same subject.
    order: collections::VecDeque<(time::Time, subject::Subject)>,
}

impl Successes {
    /// Records a success.
    pub fn record(&mut self, now: time::Time, subject: subject::Subject) {
        self.latest.insert(subject, now);
        self.order.push_back((now, subject));
        let is_due = |(at, _): &(time::Time, subject::Subject)| at.after(RETENTION) <= now;
        while self.order.len() > MAX_SUBJECTS || self.order.front().is_some_and(is_due) {
            self.remove_first();
        }
    }

    /// Returns when an engine last responded completely, if that was not long ago.
    pub fn latest(&self, subject: subject::Subject) -> Option<time::Time> {
        self.latest.get(&subject).copied()
    }

    fn remove_first(&mut self) {
        let Some((at, subject)) = self.order.pop_front() else {
            return;
        };
        if self.latest.get(&subject) == Some(&at) {
            self.latest.remove(&subject);
        }
    }
}
