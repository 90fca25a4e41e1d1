//! Whether a node has heard of the newest documents since its start.

use std::time::Duration;

use crate::time;

/// How long a new node that has read the store waits for a peer's word.
const GRACE: Duration = Duration::from_secs(3);

/// Whether a node has heard of the newest documents since its start.
#[derive(Debug, Default)]
pub struct Readiness {
    grace: Option<time::Time>,
    waited: bool,
    read: bool,
    synced: bool,
}

/// What a node's surroundings say about its documents.
#[derive(Clone, Copy, Debug)]
pub struct Evidence {
    /// Whether a peer holds a newer generation.
    pub behind: bool,
    /// Whether a peer that is ready itself has been heard.
    pub vouched: bool,
    /// Whether the list holds no other entry.
    pub alone: bool,
}

impl Readiness {
    /// Notes that the store was read.
    pub fn note_read(&mut self) {
        self.read = true;
    }

    /// Weighs the evidence; the first call starts the time to wait for a peer's word.
    pub fn update(&mut self, now: time::Time, evidence: Evidence) {
        let grace = *self.grace.get_or_insert(now.after(GRACE));
        self.waited |= grace <= now;
        let waited = self.waited || evidence.alone;
        let sure = evidence.vouched || (self.read && waited);
        self.synced |= sure && !evidence.behind;
    }

    /// Returns whether the node is ready; once true, it stays so.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Returns when the wait for a peer's word ends.
    pub fn wake(&self) -> time::Time {
        let grace = self.grace.filter(|_| !self.synced && !self.waited);
        grace.unwrap_or(time::Time::MAX)
    }
}
