//! Quarantine of request bodies under which upstreams die.
//!
//! When an upstream dies, every request that it was running becomes *suspect*. Suspects run alone
//! and one at a time over the whole fleet: one entry, chosen by rendezvous hash, hands out the
//! turns. A suspect that ends well is cleared; one that dies in its turn is blocked everywhere,
//! and its death is no sign against the requests that ran beside it.

mod coordinators;
mod effect;
mod quarantine;
mod scheduler;
mod suspects;

pub use effect::{Admission, Decision, Effect, Message, Outcome, Run};
pub use quarantine::Quarantine;
pub use suspects::expiry;
