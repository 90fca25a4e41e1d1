//! Whether a request ran, as far as it is known.

use std::fmt;

/// Whether a request ran at an upstream.
///
/// `NotRun` is a guarantee. It is only returned by [`crate::exchange`], for an exchange that has
/// sent no byte or that the upstream refused, and by refusals made before any exchange.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request was not run and may be retried.
    NotRun,
    /// The request may have run; a non-idempotent one must not be retried.
    MayHaveRun,
    /// The request ran to completion.
    Ran,
}

impl Verdict {
    /// Returns the text used in headers and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
