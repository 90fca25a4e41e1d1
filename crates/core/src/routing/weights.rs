//! Weights of price and risk against time to first token.

use std::time;

use crate::declaration;

/// Delay accepted to run at half the price if cost and latency have equal weight.
const EVEN_PRICE_DELAY: time::Duration = time::Duration::from_millis(20);

/// Largest delay accepted to run at half the price.
const MAX_PRICE_DELAY: time::Duration = time::Duration::from_millis(400);

/// Exchange rates between time to first token and the other objectives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Multiple of the prefill time of a request that is added to its cost, for the streams that it
    /// delays.
    pub recompute: u32,
    /// Delay accepted to run at half the price.
    pub price: time::Duration,
    /// Delay accepted to avoid a failure domain whose reclaimable instances are all being
    /// reclaimed.
    pub reclaim: time::Duration,
}

impl Weights {
    /// Returns the weights for a declared policy.
    ///
    /// ```
    /// use guavausher_core::declaration;
    /// use guavausher_core::routing;
    /// let even = routing::Weights::of(&declaration::Policy::default());
    /// assert_eq!(even, routing::Weights::default());
    /// ```
    pub fn of(policy: &declaration::Policy) -> Self {
        let price = EVEN_PRICE_DELAY.saturating_mul(policy.cost) / policy.latency.max(1);
        Self {
            price: price.min(MAX_PRICE_DELAY),
            ..Self::default()
        }
    }
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            recompute: 8,
            price: EVEN_PRICE_DELAY,
            reclaim: time::Duration::from_millis(400),
        }
    }
}
