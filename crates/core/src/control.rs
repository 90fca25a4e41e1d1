//! What a controller decides: rollouts, drains and orders for the shards that it leases.
//!
//! One controller runs beside each entry. All hold the same view from their entry's links, and
//! each acts only for the services of the shards whose lease it holds. It keeps nothing but its
//! view: what it decides is written to the platform's store by conditional update, so another
//! controller goes on from there.

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

/// How long a repeated fact is remembered.
const FACT_LIFE: Duration = Duration::from_secs(60);

/// Time between two statements of a fact that is still true.
const FACT_REFRESH: Duration = Duration::from_secs(20);

/// Time before a failed call is made again.
const RETRY: Duration = Duration::from_secs(1);
