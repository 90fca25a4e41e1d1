//! Events of the prefix cache of an upstream.

/// One change of the prefix cache of an upstream; events may arrive late or get lost.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CacheEvent {
    /// Sequence number; the next event of the same incarnation has the next number.
    pub seq: u64,
    /// Block hashes that entered the cache.
    pub stored: Vec<u64>,
    /// Block hashes that were evicted from it.
    pub evicted: Vec<u64>,
}
