//! How much time price and risk are worth.

use std::time;

use crate::declaration;

/// Delay accepted to run at half the price where cost and latency weigh the same.
const EVEN_PRICE: time::Duration = time::Duration::from_millis(20);

/// Most delay accepted to run at half the price.
const MAX_PRICE: time::Duration = time::Duration::from_millis(400);

/// Exchange rates between time to first token and the other aims.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// How often the time to compute prompt tokens counts again, for the streams it delays.
    pub recompute: u32,
    /// Delay accepted to run at half the price.
    pub price: time::Duration,
    /// Delay accepted to stay out of a failure domain that is wholly being reclaimed.
    pub reclaim: time::Duration,
}

impl Weights {
    /// Returns the weights that a declaration asks for.
    ///
    /// ```
    /// use guavausher_core::declaration;
    /// use guavausher_core::routing;
    /// let even = routing::Weights::of(&declaration::Policy::default());
    /// assert_eq!(even, routing::Weights::default());
    /// ```
    pub fn of(policy: &declaration::Policy) -> Self {
        let price = EVEN_PRICE.saturating_mul(policy.cost) / policy.latency.max(1);
        Self {
            price: price.min(MAX_PRICE),
            ..Self::default()
        }
    }
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            recompute: 8,
            price: EVEN_PRICE,
            reclaim: time::Duration::from_millis(400),
        }
    }
}
