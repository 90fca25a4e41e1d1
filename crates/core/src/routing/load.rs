//! Load reports of upstreams.

use crate::time;

/// The load of one upstream as it reported it; reports arrive with a delay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// The reporting incarnation.
    pub incarnation: u64,
    /// Requests that wait for a slot.
    pub queue: u32,
    /// Requests that hold a slot.
    pub running: u32,
    /// Total slots.
    pub slots: u32,
    /// When the load was sampled.
    pub at: time::Time,
}
