//! Declared limits and present use of one workspace.

use super::bucket;

/// Limits of one workspace at this node.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Limits {
    /// Share against the other workspaces.
    pub weight: u32,
    /// Requests a second.
    pub rate: u32,
    /// Requests in progress.
    pub concurrency: u32,
    /// Requests admitted or queued.
    pub open: u32,
    /// Rate limiter.
    pub bucket: bucket::Bucket,
}
