//! The bound on the requests to a cold engine in any second, and the rate that keeps to it.

use super::peers;
use super::rate_limit;

/// How far the requests of all instances in one second may exceed the rate of a cold engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Factor on the rate.
    pub overage: f64,
    /// Requests in addition.
    pub slack: f64,
}

impl ColdBound {
    /// Returns the rate at which all instances of `groups` groups together send to an engine that
    /// takes `rate`: that rate itself, unless its senders could pass the bound by sending at the
    /// same time. Each sends at most one request a second, and each group has at least one.
    pub fn paced(self, rate: rate_limit::Rate, groups: usize) -> rate_limit::Rate {
        let most = rate.per_second() * self.overage + self.slack;
        let paced = (most - groups as f64) * peers::RATE_PER_SENDER;
        let paced = rate_limit::Rate::from_per_second(paced.max(0.0));
        paced.map_or(rate, |paced| paced.min(rate))
    }
}
