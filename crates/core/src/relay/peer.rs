//! One other instance.

use std::collections;
use std::time::Duration;

use super::digest;
use super::heartbeat;
use crate::name;
use crate::time;

/// Silence after which an instance may be cut off.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1_200);
/// Silence after which another process may have taken an instance's place.
const REPLACED_AFTER: Duration = Duration::from_millis(500);

/// One instance.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its last digest.
    pub digest: digest::Digest,
    /// When that came.
    pub digest_at: time::Time,
    /// When it was last heard.
    pub last_seen: time::Time,
    /// Whether it has been silent for so long that it is taken as lost.
    pub lost: bool,
    /// Highest usage units by workspace that were charged here.
    charged: collections::BTreeMap<name::Name, u64>,
}

/// What a digest adds to a workspace's cap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Charge {
    /// The workspace.
    pub workspace: name::Name,
    /// Units.
    pub units: u64,
}

impl Peer {
    /// Builds what is known after a first digest, whose usage is not charged again.
    pub(super) fn new(now: time::Time, digest: digest::Digest) -> Self {
        let usage = digest.heartbeat.usage.iter();
        Self {
            digest_at: now,
            last_seen: now,
            lost: false,
            charged: usage.map(|s| (s.workspace.clone(), s.units)).collect(),
            digest,
        }
    }

    /// Tells whether it has been silent for so long that it may be cut off.
    pub(super) fn is_unreachable(&self, now: time::Time) -> bool {
        self.last_seen.after(UNREACHABLE_AFTER) <= now
    }

    /// Tells whether a heartbeat comes from a process before the one that was heard last.
    ///
    /// Numbers of processes come from the time of day, which may have jumped back: a process that was
    /// heard a moment ago cannot have been followed by another one, one that is silent can.
    pub(super) fn is_outdated(&self, heartbeat: &heartbeat::Heartbeat, now: time::Time) -> bool {
        self.digest.heartbeat.incarnation > heartbeat.incarnation
            && self.last_seen.after(REPLACED_AFTER) > now
    }

    /// Tells whether a heartbeat comes from the same process.
    pub(super) fn is_same_process(&self, heartbeat: &heartbeat::Heartbeat) -> bool {
        self.digest.heartbeat.incarnation == heartbeat.incarnation
    }

    /// Notes that it was heard; returns what it has admitted since it was last.
    pub(super) fn record_heartbeat(
        &mut self,
        now: time::Time,
        heartbeat: &heartbeat::Heartbeat,
    ) -> Vec<Charge> {
        let was_unreachable = self.is_unreachable(now);
        self.last_seen = now;
        self.lost = false;
        let mut charges = Vec::new();
        for usage in &heartbeat.usage {
            let before = self.charged.entry(usage.workspace.clone()).or_default();
            let units = usage.units.saturating_sub(*before);
            *before = usage.units.max(*before);
            let units = match was_unreachable {
                true => units.min(unreported_share(usage, heartbeat.reachable)),
                false => units,
            };
            if units > 0 {
                charges.push(Charge {
                    workspace: usage.workspace.clone(),
                    units,
                });
            }
        }
        charges
    }

    /// Returns how far it has read a kind of object.
    pub fn position(&self, kind: usize) -> digest::Position {
        self.digest
            .heartbeat
            .positions
            .get(kind)
            .copied()
            .unwrap_or_default()
    }
}

/// Returns an instance's part of what is left of the usage of those on its side of a cut, who
/// kept to their part of the cap all the while.
fn unreported_share(usage: &digest::Usage, reachable: u32) -> u64 {
    usage
        .level
        .unwrap_or(0)
        .div_ceil(u64::from(reachable.max(1)))
}
