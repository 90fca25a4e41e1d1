//! Changes of an upstream's prefix cache.

/// One change of an upstream's prefix cache; it may arrive late, and some never arrive.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CacheEvent {
    /// Sequence number; the next event of the same incarnation has the next number.
    pub seq: u64,
    /// Block hashes that entered the cache.
    pub stored: Vec<u64>,
    /// Block hashes that left it.
    pub evicted: Vec<u64>,
}
