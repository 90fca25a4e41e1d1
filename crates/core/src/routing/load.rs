//! Load reports of upstreams.

use crate::time;

/// A lagged load report of one upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// The incarnation that reports.
    pub incarnation: u64,
    /// Requests that wait for a slot.
    pub queue: u32,
    /// Requests that hold a slot.
    pub running: u32,
    /// Slots.
    pub slots: u32,
    /// When the figures held.
    pub at: time::Time,
}
