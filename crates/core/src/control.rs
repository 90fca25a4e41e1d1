//! Decisions of a controller: rollouts, drains and orders for the shards that it leases.
//!
//! One controller runs beside each entry. All controllers receive the same data through the links
//! of their entries, and each acts only for the services of the shards whose lease it holds.
//! Decisions are written to the platform's store by conditional update, so another controller can
//! continue from there; all other state can be lost.

mod audit;
mod drains;
mod effect;
mod event;
mod orders;
mod pending_calls;
mod rollouts;
mod state;

pub use audit::AuditRecord;
pub use effect::{Effect, Order};
pub use event::{Event, Outcome};
pub use state::{State, reduce};

use std::time::Duration;

/// Prefix of the keys of drained upstreams.
pub const DRAIN_PREFIX: &str = "drain/";

/// Validity of a published fact.
const FACT_TTL: Duration = Duration::from_secs(60);

/// Time between two publications of a fact that still holds.
const FACT_REFRESH: Duration = Duration::from_secs(20);

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);
