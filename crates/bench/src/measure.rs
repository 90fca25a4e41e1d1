//! Measures of the decisions, each beside its baselines.

use crate::entry;
use crate::load;
use crate::overload;
use crate::reclaim;
use crate::speed;
use crate::thrift;

/// One measured row.
#[derive(Clone, Debug)]
pub struct Measure {
    /// Name, as in `bounds.toml`.
    pub name: String,
    /// Baselines: round robin and least in flight, where they apply.
    pub baseline: String,
    /// Value under the core's decisions.
    pub now: f64,
}

impl Measure {
    /// Builds a row.
    pub fn new(name: impl Into<String>, baseline: impl Into<String>, now: f64) -> Self {
        Self {
            name: name.into(),
            baseline: baseline.into(),
            now,
        }
    }

    /// Builds a row from one value for each policy.
    pub fn of_policies(name: impl Into<String>, value: impl Fn(entry::Policy) -> f64) -> Self {
        let robin = value(entry::Policy::RoundRobin);
        let least = value(entry::Policy::LeastInFlight);
        let baseline = format!("rr {robin:.3}, lif {least:.3}");
        Self::new(name, baseline, value(entry::Policy::Core))
    }

    /// Runs everything.
    pub fn all(seed: u64) -> Vec<Self> {
        let mut rows = load::measures(seed);
        rows.extend(thrift::measures(seed));
        rows.extend(overload::measures(seed));
        rows.extend(reclaim::measures(seed));
        rows.extend(speed::measures(seed));
        rows
    }
}
