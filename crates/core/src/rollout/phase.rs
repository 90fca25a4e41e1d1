//! How far a rollout has come.

use std::fmt;

/// How far a rollout has come.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// A small share runs on a few upstreams of the new version.
    Canary,
    /// The share grows step by step.
    Ramp,
    /// The new version has taken over.
    Done,
    /// The old version serves all requests again.
    TakenBack,
}

impl Phase {
    /// Tells whether the rollout has ended.
    pub const fn is_end(self) -> bool {
        matches!(self, Self::Done | Self::TakenBack)
    }

    /// Returns the text used in tables and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Canary => "canary",
            Self::Ramp => "ramp",
            Self::Done => "done",
            Self::TakenBack => "taken-back",
        }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
