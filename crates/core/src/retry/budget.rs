//! Budget that limits retries to a share of the requests.

use std::collections;

use crate::name;
use crate::time;

/// Credit added by one request; a retry costs [`RETRY_COST`].
const REQUEST_CREDIT: u32 = 1;
/// Credit spent by one retry: in the long run a twentieth of the requests may be retried.
const RETRY_COST: u32 = 20;
/// Credit of a service before its first request.
const INITIAL_CREDIT: u32 = 8 * RETRY_COST;
/// Largest credit of a service.
const MAX_CREDIT: u32 = 16 * RETRY_COST;

/// Limits retries to a share of the requests of each service.
///
/// Requests add credit and retries spend it. The accumulated credit lets a service with few
/// requests survive a single fault. In an outage, retries add no more load than the share and this
/// one-time reserve.
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

    /// Records a request that is not a retry.
    pub fn record(&mut self, _now: time::Time, service: &name::Name) {
        let credit = self.credits.get(service).copied().unwrap_or(INITIAL_CREDIT);
        let credit = (credit + REQUEST_CREDIT).min(MAX_CREDIT);
        self.credits.insert(service.clone(), credit);
    }

    /// Spends the credit of one retry; returns `true` if the retry is allowed.
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
