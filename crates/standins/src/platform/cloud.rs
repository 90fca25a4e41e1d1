//! Rented instances and notices about them.

use std::collections;

/// How many instances can be rented at once.
const MAX_RENTED: usize = 4_096;

/// How many past notices can be read.
const MAX_NOTICES: usize = 4_096;

/// A request to rent an instance.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// Machine class.
    pub class: String,
    /// Failure domain.
    pub domain: String,
    /// `reclaimable` or `on-demand`.
    pub market: String,
}

/// A notice that an instance is taken back.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Notice {
    /// Sequence number.
    pub seq: u64,
    /// Name of the instance.
    pub instance: String,
    /// When it is taken back, in Unix milliseconds.
    pub deadline_ms: u64,
}

/// A notice before it has a sequence number.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Draft {
    /// Name of the instance.
    pub instance: String,
    /// When it is taken back, in Unix milliseconds.
    pub deadline_ms: u64,
}

/// A page of notices.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Page {
    /// The first sequence number that the next call should ask for.
    pub next: u64,
    /// Notices in the order of their sequence numbers.
    pub notices: Vec<Notice>,
}

/// The cloud's instances and notices.
#[derive(Debug, Default)]
pub struct Cloud {
    rented: collections::BTreeMap<String, Start>,
    notices: collections::VecDeque<Notice>,
    serial: u64,
    seq: u64,
}

impl Cloud {
    /// Rents an instance and returns its name, or `None` if too many are rented.
    pub fn start(&mut self, start: Start) -> Option<String> {
        if self.rented.len() >= MAX_RENTED {
            return None;
        }
        self.serial += 1;
        let name = format!("i-{}", self.serial);
        self.rented.insert(name.clone(), start);
        Some(name)
    }

    /// Returns an instance; false if it is not rented.
    pub fn stop(&mut self, name: &str) -> bool {
        self.rented.remove(name).is_some()
    }

    /// Returns the rented instances by name.
    pub const fn rented(&self) -> &collections::BTreeMap<String, Start> {
        &self.rented
    }

    /// Sends a notice.
    pub fn notify(&mut self, draft: Draft) {
        self.seq += 1;
        if self.notices.len() == MAX_NOTICES {
            self.notices.pop_front();
        }
        let Draft {
            instance,
            deadline_ms,
        } = draft;
        self.notices.push_back(Notice {
            seq: self.seq,
            instance,
            deadline_ms,
        });
    }

    /// Returns the notices from `since` on.
    pub fn notices(&self, since: u64) -> Page {
        let from = self.notices.iter().filter(|notice| notice.seq >= since);
        let notices = from.cloned().collect::<Vec<_>>();
        let next = notices.last().map_or(since, |notice| notice.seq + 1);
        Page { next, notices }
    }
}
