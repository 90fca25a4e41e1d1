//! Counts of requests and their outcomes for one version on one route.

use crate::name;

/// Counts of the requests of one service, version and route since the previous report.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Report {
    /// The service.
    pub service: name::Name,
    /// The version that ran the requests.
    pub version: name::Name,
    /// The route that matched the requests.
    pub route: name::Name,
    /// Requests that ended.
    pub requests: u64,
    /// Requests that ended in an error of the upstream.
    pub errors: u64,
    /// Requests whose first token or response was later than the target.
    pub slow: u64,
    /// Requests with a gap between tokens above the target.
    pub stalls: u64,
    /// Requests that ran while their upstream had no free slot.
    pub loaded: u64,
    /// Sum of the times to first token in microseconds.
    #[serde(rename = "waited")]
    pub ttft_sum: u64,
}

impl Report {
    /// Creates a report with all counts at zero.
    pub fn empty(service: name::Name, version: name::Name, route: name::Name) -> Self {
        Self {
            service,
            version,
            route,
            requests: 0,
            errors: 0,
            slow: 0,
            stalls: 0,
            loaded: 0,
            ttft_sum: 0,
        }
    }

    /// Returns `true` if the report is sent in the shorter interval because the counts indicate a
    /// faulty version: at least a tenth of the requests failed, or at least two and half of them
    /// were late.
    pub fn is_urgent(&self) -> bool {
        let late = self.slow.saturating_add(self.stalls);
        let failing = self.errors > 0 && self.errors.saturating_mul(10) >= self.requests;
        failing || (late > 1 && late.saturating_mul(2) >= self.requests)
    }

    /// Adds the counts of another report about the same version and route.
    pub fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.errors = self.errors.saturating_add(other.errors);
        self.slow = self.slow.saturating_add(other.slow);
        self.stalls = self.stalls.saturating_add(other.stalls);
        self.loaded = self.loaded.saturating_add(other.loaded);
        self.ttft_sum = self.ttft_sum.saturating_add(other.ttft_sum);
    }
}
