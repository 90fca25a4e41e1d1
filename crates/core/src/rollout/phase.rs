//! The phases of a rollout.

use std::fmt;

/// The phase of a rollout.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// A small share of requests runs on a few upstreams of the new version.
    Canary,
    /// The share grows in steps.
    Ramp,
    /// The new version serves all requests.
    Done,
    /// The old version serves all requests again.
    #[serde(rename = "taken-back")]
    RolledBack,
}

impl Phase {
    /// Returns `true` if the rollout has ended.
    pub const fn is_end(self) -> bool {
        matches!(self, Self::Done | Self::RolledBack)
    }

    /// Returns the stored name of the phase, also used in tables and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Canary => "canary",
            Self::Ramp => "ramp",
            Self::Done => "done",
            Self::RolledBack => "taken-back",
        }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
