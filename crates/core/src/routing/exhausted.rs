//! The lack of any upstream with room.

use crate::time;

/// No upstream can take the request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Exhausted {
    /// When a slot is expected to be free.
    pub retry_at: time::Time,
}
