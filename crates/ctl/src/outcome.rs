//! Outcomes of changes, as the audit trail records them.

use std::fmt;

/// What became of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Recorded before the change was tried; its outcome was never recorded.
    Pending,
    /// The change took effect.
    Accepted,
    /// There was nothing to change.
    Unchanged,
    /// The change was refused.
    Refused,
    /// Another operator's change came first.
    Conflict,
    /// It is unknown whether the change took effect.
    Unknown,
}

impl Outcome {
    /// Returns the text used in tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Pending => "pending",
            Self::Accepted => "accepted",
            Self::Unchanged => "unchanged",
            Self::Refused => "refused",
            Self::Conflict => "conflict",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
