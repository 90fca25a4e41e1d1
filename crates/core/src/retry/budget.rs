//! Retries as a share of recent requests.

use std::collections;

use crate::name;
use crate::time;

/// Credit that one request earns; a retry costs [`RETRY_COST`].
const REQUEST_CREDIT: u32 = 1;
/// Credit that one retry costs: a twentieth of the requests may be retried in the long run.
const RETRY_COST: u32 = 20;
/// Credit of a service that has had no request yet.
const FIRST_CREDIT: u32 = 8 * RETRY_COST;
/// The most credit that a service saves up.
const MAX_CREDIT: u32 = 16 * RETRY_COST;

/// Allows retries as a share of each service's requests.
///
/// Requests earn credit and retries spend it. What is saved up lets a service with few requests
/// survive a single fault; an outage is amplified by the share and that one-off reserve alone.
///
/// ```
/// use guavausher_core::name;
/// use guavausher_core::retry;
/// use guavausher_core::time;
/// let mut budget = retry::Budget::new();
/// let service = name::Name::from("verse-scribe");
/// budget.record(time::Time::default(), &service);
/// assert!(budget.spend(time::Time::default(), &service));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Budget {
    credits: collections::BTreeMap<name::Name, u32>,
}

impl Budget {
    /// Builds an empty budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that is not a retry.
    pub fn record(&mut self, _now: time::Time, service: &name::Name) {
        let credit = self.credits.get(service).copied().unwrap_or(FIRST_CREDIT);
        let credit = (credit + REQUEST_CREDIT).min(MAX_CREDIT);
        self.credits.insert(service.clone(), credit);
    }

    /// Takes one retry from the budget; returns whether it may be made.
    pub fn spend(&mut self, _now: time::Time, service: &name::Name) -> bool {
        let Some(credit) = self.credits.get_mut(service) else {
            return false;
        };
        if *credit < RETRY_COST {
            return false;
        }
        *credit -= RETRY_COST;
        true
    }
}
