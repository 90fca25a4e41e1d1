//! What a failed exchange says about whether the request ran.

use std::fmt;

/// Whether a request ran at an upstream.
///
/// `NotRun` is a promise: it is only given out by [`crate::exchange`], from an exchange that has
/// sent no byte or from the upstream's own refusal, and by refusals made before any exchange.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request was not run and may be sent again.
    NotRun,
    /// The request may have run; a non-idempotent one must not be sent again.
    MayHaveRun,
    /// The request ran to its end.
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
