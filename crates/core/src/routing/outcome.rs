//! How an attempt ended.

/// The end of one attempt at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer is whole.
    Finished {
        /// Prompt tokens that the upstream counted.
        prompt: u32,
        /// Prompt tokens that its prefix cache held.
        cached: u32,
    },
    /// The upstream refused the request before running it.
    Refused,
    /// The connection or the upstream failed.
    Failed,
    /// The caller gave up.
    Cancelled,
}
