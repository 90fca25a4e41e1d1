//! Versions that a request may be sent to.

use crate::name;

/// Restricts the versions of the engines that a request may be sent to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VersionFilter {
    /// The only version allowed, if set.
    pub only: Option<name::Name>,
    /// Whether other versions are allowed while all engines of the `only` version are on hold.
    pub allows_others: bool,
    /// The version that is not allowed, if set.
    pub excluded: Option<name::Name>,
    /// Whether the excluded version is allowed when no engine of another version is left. The old
    /// engines stop as soon as a rollout is completed, and some instances receive that update
    /// later than others.
    pub allows_excluded: bool,
}
