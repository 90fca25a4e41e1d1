//! What a new version is compared on.

use std::fmt;

use crate::peering;

/// What a new version is compared on.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Measure {
    /// Requests that the upstream failed.
    Errors,
    /// Requests with a late first token.
    Slow,
    /// Requests with long gaps between tokens.
    Stalls,
}

impl Measure {
    /// All measures in the order of [`Measure::index`].
    pub const ALL: [Self; 3] = [Self::Errors, Self::Slow, Self::Stalls];

    /// Returns the position in [`Measure::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the faults of this measure in a report.
    pub const fn faults(self, report: &peering::Report) -> u64 {
        match self {
            Self::Errors => report.errors,
            Self::Slow => report.slow,
            Self::Stalls => report.stalls,
        }
    }

    /// Returns the rate of faults that is assumed before any request is seen.
    pub const fn prior(self) -> f64 {
        match self {
            Self::Errors => 0.01,
            Self::Slow | Self::Stalls => 0.1,
        }
    }

    /// Returns by how much the rate may exceed the old version's without being a fault.
    pub const fn tolerance(self) -> f64 {
        match self {
            Self::Errors => 0.02,
            Self::Slow | Self::Stalls => 0.06,
        }
    }
}

impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Errors => "errors",
            Self::Slow => "late first tokens",
            Self::Stalls => "gaps between tokens",
        })
    }
}
