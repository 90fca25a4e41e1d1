//! The service that is moved, and its rollout.

use guavausher_core::declaration;
use guavausher_core::name;
use rand::Rng;
use rand::rngs::SmallRng;

/// Declares a rollout that ends at a time in microseconds, with a random share.
pub fn declare(rng: &mut SmallRng, end: u64) -> declaration::Rollout {
    let deadline = i64::try_from(end).unwrap_or(i64::MAX);
    declaration::Rollout {
        service: service(),
        from: old(),
        to: new(),
        share: rng.random_range(40..=150),
        deadline: jiff::Timestamp::from_microsecond(deadline).unwrap_or_default(),
    }
}

/// Names the service.
pub fn service() -> name::Name {
    name::Name::from("verse-scribe")
}

/// Names the old version.
pub fn old() -> name::Name {
    name::Name::from("v1")
}

/// Names the new version.
pub fn new() -> name::Name {
    name::Name::from("v2")
}
