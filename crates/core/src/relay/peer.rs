//! One other member of the own group, as its messages show it.

use std::time::Duration;

use super::digest;
use super::heartbeat;
use super::name_table;
use super::position;
use super::workspace_usage;
use crate::name;
use crate::time;

/// Silence after which an instance may be behind a network partition.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1_200);
/// Silence after which another process may have replaced that of an instance.
const REPLACED_AFTER: Duration = Duration::from_millis(500);

/// One member of the own group.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its last digest, updated by its heartbeats.
    pub digest: digest::Digest,
    /// When the last digest arrived.
    pub digest_at: time::Time,
    /// When its last message arrived.
    pub last_seen: time::Time,
    /// Whether it has been silent for so long that it counts as lost.
    pub lost: bool,
    /// Highest admitted units of each workspace that have been charged to the caps here.
    charged: name_table::NameTable<u64>,
}

/// Units that other instances have admitted and that are to be charged to a workspace's cap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Charge {
    /// The workspace.
    pub workspace: name::Name,
    /// The units.
    pub units: u64,
}

impl Peer {
    /// Builds the record from a first digest, whose usage is not charged.
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

    /// Returns `true` if it has been silent for so long that it may be behind a network partition.
    pub(super) fn is_unreachable(&self, now: time::Time) -> bool {
        self.last_seen.after(UNREACHABLE_AFTER) <= now
    }

    /// Returns `true` if a heartbeat comes from an earlier process than the one last seen.
    ///
    /// Incarnations come from the wall clock, which may have been set back, so a lower one does
    /// not always mean an earlier process. A process that was seen a moment ago cannot have been
    /// replaced, one that is silent can.
    pub(super) fn is_outdated(&self, heartbeat: &heartbeat::Heartbeat, now: time::Time) -> bool {
        self.digest.heartbeat.incarnation > heartbeat.incarnation
            && self.last_seen.after(REPLACED_AFTER) > now
    }

    /// Returns `true` if a heartbeat comes from the process of the last digest.
    pub(super) fn is_same_process(&self, heartbeat: &heartbeat::Heartbeat) -> bool {
        self.digest.heartbeat.incarnation == heartbeat.incarnation
    }

    /// Records a message and returns what the instance has admitted since the one before.
    pub(super) fn record_heartbeat(
        &mut self,
        now: time::Time,
        heartbeat: &heartbeat::Heartbeat,
    ) -> Vec<Charge> {
        let was_unreachable = self.is_unreachable(now);
        self.last_seen = now;
        self.lost = false;
        let mut charges = Vec::new();
        let mut cursor = name_table::Cursor::default();
        for usage in &heartbeat.usage {
            let before = self.charged.next(&mut cursor, &usage.workspace);
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

    /// Returns the position up to which it has read a kind of object.
    pub fn position(&self, kind: usize) -> position::Position {
        self.digest
            .heartbeat
            .positions
            .get(kind)
            .copied()
            .unwrap_or_default()
    }
}

/// Returns an instance's share of the usage that has not drained yet, after a partition in which
/// its side stayed within its share of the cap. The rest is reported by the other instances of
/// that side.
fn unreported_share(usage: &workspace_usage::Usage, reachable: u32) -> u64 {
    usage
        .level
        .unwrap_or(0)
        .div_ceil(u64::from(reachable.max(1)))
}
