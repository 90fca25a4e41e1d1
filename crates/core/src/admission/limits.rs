//! Declared limits and current usage of one workspace.

use super::bucket;

/// Limits of one workspace at this node.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Limits {
    /// Weight of its share relative to the other workspaces.
    pub weight: u32,
    /// Requests a second that may be admitted.
    pub rate: u32,
    /// Requests that may be admitted or queued at once.
    pub concurrency: u32,
    /// Requests admitted or queued.
    pub open: u32,
    /// Limiter of `rate`.
    pub bucket: bucket::Bucket,
}
