//! The result and times of one request.

/// The result and times of one request, as a sample of the version that ran it.
///
/// Requests ended by an announced reclaim, the caller or the entry itself are not sampled.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Sample {
    /// `true` if the upstream failed the request.
    pub failed: bool,
    /// Time to the first token or the complete response, in microseconds; zero if there was none.
    pub first_token: u64,
    /// Time to the first token that routing expected, in microseconds; zero if unknown.
    ///
    /// Only the excess of `first_token` over it is compared, so that a version with a cold prefix
    /// cache does not count as slow.
    pub expected: u64,
    /// Mean gap between tokens in microseconds; zero if there were fewer than two.
    pub gap: u64,
    /// `true` if at least three quarters of the upstream's slots were in use.
    pub loaded: bool,
}

impl Sample {
    /// Returns the excess of the time to the first token over the expected one, in microseconds.
    pub const fn excess(&self) -> u64 {
        self.first_token.saturating_sub(self.expected)
    }
}
