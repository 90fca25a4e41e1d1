//! The rank of a request among those that compete for the same engines.

/// Highest priorities of a workspace, and of a route, that are told apart.
const LEVELS: u8 = 3;

/// Rank of a request; a lower one goes first.
///
/// A workspace's priority takes precedence over the route's. Among requests of workspaces with the
/// same priority that of the route decides, so that the short requests of a workspace do not wait
/// behind its long ones.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Priority of the workspace, or else of the route; 0 is the highest.
    pub priority: u8,
    /// Priority of the route; 0 is the highest.
    pub route: u8,
}

impl Rank {
    /// Returns the rank as one number from 0, the first, to `LEVELS` squared less one.
    pub fn level(self) -> u8 {
        let last = LEVELS - 1;
        self.priority.min(last) * LEVELS + self.route.min(last)
    }
}
