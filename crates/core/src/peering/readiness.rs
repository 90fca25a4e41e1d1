//! Readiness of a node: whether it has caught up with the newest documents since its start.

use std::time::Duration;

use crate::time;

/// Time that a new node which has read the store waits for a heartbeat of a ready peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Whether a node has caught up with the newest documents since its start.
#[derive(Debug, Default)]
pub struct Readiness {
    peer_deadline: Option<time::Time>,
    timed_out: bool,
    store_read: bool,
    synced: bool,
}

/// What the links and the member list show about a node's documents.
#[derive(Clone, Copy, Debug)]
pub struct Evidence {
    /// Whether a peer holds a newer generation.
    pub behind: bool,
    /// Whether a linked peer has reported that it is ready.
    pub peer_synced: bool,
    /// Whether the member list holds no other entry.
    pub alone: bool,
}

impl Readiness {
    /// Records that the store was read.
    pub fn record_read(&mut self) {
        self.store_read = true;
    }

    /// Updates the readiness; the first call starts the timeout for a ready peer.
    ///
    /// A node becomes ready once no peer holds a newer generation and either a ready peer is
    /// linked, or the store was read and the timeout has elapsed or there is no other entry.
    pub fn update(&mut self, now: time::Time, evidence: Evidence) {
        let deadline = *self.peer_deadline.get_or_insert(now.after(PEER_TIMEOUT));
        self.timed_out |= deadline <= now;
        let timed_out = self.timed_out || evidence.alone;
        let confirmed = evidence.peer_synced || (self.store_read && timed_out);
        self.synced |= confirmed && !evidence.behind;
    }

    /// Returns `true` if the node is ready; it never becomes unready again.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Returns when the timeout for a ready peer elapses.
    pub fn wake(&self) -> time::Time {
        let deadline = self
            .peer_deadline
            .filter(|_| !self.synced && !self.timed_out);
        deadline.unwrap_or(time::Time::MAX)
    }
}
