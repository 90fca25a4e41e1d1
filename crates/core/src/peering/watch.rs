//! Which topics of the store one node watches.

use std::time::Duration;

use super::{event, topic};
use crate::time;

/// How long a node without links waits before it watches by itself.
const ISOLATION: Duration = Duration::from_secs(5);

/// Which topics of the store one node watches.
#[derive(Debug, Default)]
pub struct Watch {
    listed: [bool; topic::Topic::ALL.len()],
    active: [bool; topic::Topic::ALL.len()],
    alone: bool,
    isolated: Option<time::Time>,
}

impl Watch {
    /// Sets the topics that the list of entries gives to this node.
    pub fn set_listed(&mut self, listed: [bool; topic::Topic::ALL.len()]) {
        self.listed = listed;
    }

    /// Sets whether the list holds no other entry.
    pub fn set_alone(&mut self, alone: bool) {
        self.alone = alone;
    }

    /// Notes whether the node has no link.
    pub fn set_isolated(&mut self, now: time::Time, isolated: bool) {
        if !isolated {
            self.isolated = None;
        } else if self.isolated.is_none() {
            self.isolated = Some(now.after(ISOLATION));
        }
    }

    /// Returns when a lasting isolation makes the node watch.
    pub fn wake(&self) -> time::Time {
        let pending = self.active.iter().any(|active| !active);
        let isolated = self.isolated.filter(|_| pending);
        isolated.unwrap_or(time::Time::MAX)
    }

    /// Returns what to start and what to stop.
    pub fn changes(&mut self, now: time::Time) -> Vec<event::Output> {
        let isolated = self.isolated.is_some_and(|deadline| deadline <= now);
        let mut outputs = Vec::new();
        for topic in topic::Topic::ALL {
            let active = self.listed[topic.index()] || self.alone || isolated;
            if std::mem::replace(&mut self.active[topic.index()], active) != active {
                outputs.push(event::Output::Watch { topic, active });
            }
        }
        outputs
    }
}
