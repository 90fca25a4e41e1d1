//! What one request tells about the version that ran it.

/// What one request tells about the version that ran it.
///
/// Requests that an announced reclaim, the caller or the entry itself ended are no samples.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Sample {
    /// Whether the upstream failed the request.
    pub failed: bool,
    /// Time to the first token or the whole answer, in microseconds; zero if there was none.
    pub first: u64,
    /// Time to the first token that routing expected, in microseconds; zero if unknown.
    ///
    /// Only what `first` exceeds it by is compared, so a version with a cold prefix cache is not
    /// taken for a slow one.
    pub expected: u64,
    /// Mean gap between tokens in microseconds; zero if there were fewer than two.
    pub gap: u64,
    /// Whether at least three quarters of the upstream's slots were in use.
    pub loaded: bool,
}

impl Sample {
    /// Returns the time to the first token beyond what was expected, in microseconds.
    pub const fn excess(&self) -> u64 {
        self.first.saturating_sub(self.expected)
    }
}
