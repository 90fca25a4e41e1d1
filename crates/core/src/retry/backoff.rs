//! Exponential backoff with full jitter.

use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs;

/// Upper end of the first delay in microseconds.
const BASE_MICROS: u64 = 20_000;
/// Upper end of any delay in microseconds.
const MAX_MICROS: u64 = 2_000_000;

/// Returns the delay before retry number `attempt`, counted from zero.
///
/// The delay is uniform between half and the whole of an exponential bound, so that the same
/// seed gives the same delay.
pub fn backoff(seed: u64, attempt: u32) -> Duration {
    let bound = BASE_MICROS
        .saturating_mul(1 << attempt.min(16))
        .min(MAX_MICROS);
    let mut rng = rngs::SmallRng::seed_from_u64(seed ^ (u64::from(attempt) << 48));
    Duration::from_micros(rng.random_range(bound / 2..=bound))
}
