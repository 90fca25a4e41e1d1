//! The measures by which the versions of a rollout are compared.

use std::fmt;

use crate::peering;

/// A measure by which the versions of a rollout are compared.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Measure {
    /// Requests that the upstream failed.
    Errors,
    /// Requests whose first token came late.
    Slow,
    /// Requests with a long mean gap between tokens.
    Stalls,
}

impl Measure {
    /// All measures in the order of [`Measure::index`].
    pub const ALL: [Self; 3] = [Self::Errors, Self::Slow, Self::Stalls];

    /// Returns the position in [`Measure::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the number of requests in a report that are faulty by this measure.
    pub const fn faults(self, report: &peering::Report) -> u64 {
        match self {
            Self::Errors => report.errors,
            Self::Slow => report.slow,
            Self::Stalls => report.stalls,
        }
    }

    /// Returns the rate of faulty requests that is assumed before the first request.
    pub const fn prior_rate(self) -> f64 {
        match self {
            Self::Errors => 0.01,
            Self::Slow | Self::Stalls => 0.1,
        }
    }

    /// Returns the tolerated excess over the scaled rate of the old version, as an absolute rate.
    pub const fn tolerated_excess(self) -> f64 {
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
