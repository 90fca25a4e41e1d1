//! No upstream has a free slot.

use crate::time;

/// No upstream can accept the request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Exhausted {
    /// When a slot is expected to be free.
    pub retry_at: time::Time,
}
