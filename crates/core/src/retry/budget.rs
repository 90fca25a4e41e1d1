//! Retries as a share of recent requests.

use std::collections;

use crate::name;
use crate::time;

/// Length of one bucket in microseconds.
const BUCKET_MICROS: u64 = 250_000;
/// Buckets remembered.
const BUCKETS: u64 = 8;
/// Requests that must be recent for each retry allowed beyond the first.
const REQUESTS_EACH: u32 = 20;

/// Allows retries as a share of each service's recent requests.
///
/// The window is two seconds, so that a long outage is amplified by little more than the share.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    services: collections::BTreeMap<name::Name, Window>,
}

/// Counts of one service in a ring of buckets.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    newest: u64,
    requests: [u32; BUCKETS as usize],
    retries: [u32; BUCKETS as usize],
}

impl Budget {
    /// Builds an empty budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that is not a retry.
    pub fn record(&mut self, now: time::Time, service: &name::Name) {
        let window = self.window(now, service);
        let place = (window.newest % BUCKETS) as usize;
        window.requests[place] = window.requests[place].saturating_add(1);
    }

    /// Takes one retry from the budget; returns whether it may be made.
    pub fn spend(&mut self, now: time::Time, service: &name::Name) -> bool {
        let window = self.window(now, service);
        let requests: u32 = window.requests.iter().sum();
        let retries: u32 = window.retries.iter().sum();
        if retries >= requests.div_ceil(REQUESTS_EACH) {
            return false;
        }
        window.retries[(window.newest % BUCKETS) as usize] += 1;
        true
    }

    fn window(&mut self, now: time::Time, service: &name::Name) -> &mut Window {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Window::default());
        }
        let window = self.services.entry(service.clone()).or_default();
        window.advance(now.as_micros() / BUCKET_MICROS);
        window
    }
}

impl Window {
    fn advance(&mut self, bucket: u64) {
        if bucket <= self.newest {
            return;
        }
        for passed in (self.newest + 1..=bucket).rev().take(BUCKETS as usize) {
            let place = (passed % BUCKETS) as usize;
            self.requests[place] = 0;
            self.retries[place] = 0;
        }
        self.newest = bucket;
    }
}
