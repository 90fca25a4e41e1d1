//! Quarantine of request bodies that may crash upstreams.
//!
//! When an upstream crashes, every request that it was running becomes *suspect*. Suspect requests
//! run in isolation and one at a time over the whole fleet: one entry, the coordinator, chosen by
//! hash, grants these runs. A suspect request that completes is cleared. One that crashes its
//! upstream in an isolated run is blocked at every entry, and that crash no longer counts against
//! the requests that ran at the same upstream.

mod coordinators;
mod effect;
mod quarantine;
mod scheduler;
mod suspects;

pub use effect::{Admission, Decision, Effect, Message, Outcome, Run};
pub use quarantine::Quarantine;
pub use suspects::expiry;
