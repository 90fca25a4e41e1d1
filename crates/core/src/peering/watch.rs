//! Selection of the topics that one node watches in the store.

use std::time::Duration;

use super::{event, topic};
use crate::time;

/// Time without any link after which a node watches all topics itself.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(5);

/// The topics that one node watches in the store.
#[derive(Debug, Default)]
pub struct Watch {
    assigned: [bool; topic::Topic::ALL.len()],
    active: [bool; topic::Topic::ALL.len()],
    alone: bool,
    isolation_deadline: Option<time::Time>,
}

impl Watch {
    /// Sets the topics that the member list assigns to this node.
    pub fn set_assigned(&mut self, assigned: [bool; topic::Topic::ALL.len()]) {
        self.assigned = assigned;
    }

    /// Sets whether the member list holds no other entry.
    pub fn set_alone(&mut self, alone: bool) {
        self.alone = alone;
    }

    /// Sets whether the node has no link; the isolation timeout starts with the first such call.
    pub fn set_isolated(&mut self, now: time::Time, isolated: bool) {
        if !isolated {
            self.isolation_deadline = None;
        } else if self.isolation_deadline.is_none() {
            self.isolation_deadline = Some(now.after(ISOLATION_TIMEOUT));
        }
    }

    /// Returns when the isolation timeout elapses, or [`time::Time::MAX`] if nothing more would be
    /// watched.
    pub fn wake(&self) -> time::Time {
        let inactive = self.active.iter().any(|active| !active);
        let deadline = self.isolation_deadline.filter(|_| inactive);
        deadline.unwrap_or(time::Time::MAX)
    }

    /// Returns the watches to start and to stop.
    pub fn changes(&mut self, now: time::Time) -> Vec<event::Output> {
        let isolated = self
            .isolation_deadline
            .is_some_and(|deadline| deadline <= now);
        let mut outputs = Vec::new();
        for topic in topic::Topic::ALL {
            let active = self.assigned[topic.index()] || self.alone || isolated;
            if std::mem::replace(&mut self.active[topic.index()], active) != active {
                outputs.push(event::Output::Watch { topic, active });
            }
        }
        outputs
    }
}
