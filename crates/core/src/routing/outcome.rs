//! Outcome of an attempt.

/// How one attempt at an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The response is complete.
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
    /// The caller cancelled the request.
    Cancelled,
}
