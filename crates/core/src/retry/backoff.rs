//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs;

/// Upper bound of the first delay in microseconds.
const BASE_MICROS: u64 = 20_000;
/// Upper bound of every delay in microseconds.
const MAX_MICROS: u64 = 2_000_000;

/// Returns the delay before the retry with number `attempt`, counted from zero.
///
/// The delay is uniformly distributed between half of an exponential bound and the bound. The
/// same seed and attempt give the same delay.
pub fn backoff(seed: u64, attempt: u32) -> Duration {
    let bound = BASE_MICROS
        .saturating_mul(1 << attempt.min(16))
        .min(MAX_MICROS);
    let mut rng = rngs::SmallRng::seed_from_u64(seed ^ (u64::from(attempt) << 48));
    Duration::from_micros(rng.random_range(bound / 2..=bound))
}
