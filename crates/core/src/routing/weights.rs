//! How much time price and risk are worth.

use std::time;

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

impl Default for Weights {
    fn default() -> Self {
        Self {
            recompute: 8,
            price: time::Duration::from_millis(20),
            reclaim: time::Duration::from_millis(400),
        }
    }
}
