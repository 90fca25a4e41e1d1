//! Leases on shards of the services, held by controllers through the platform's store.
//!
//! There is one lease object for each of [`SHARDS`] shards, however many services and controllers
//! there are, and only a few controllers compete for each. A holder renews by conditional write
//! and measures its term from before the write. Another candidate acquires the lease only after
//! it has observed the object unchanged for a full term on its own clock. So no two clocks are
//! compared, and a holder that was paused finds its term expired when it resumes.

mod candidates;
mod output;
mod record;
mod state;
mod timing;

pub use candidates::candidates;
pub use output::Output;
pub use record::Record;
pub use state::Lease;
pub use timing::Timing;

use std::hash::Hasher;
use std::time::Duration;

use crate::name;

/// Number of shards of the services; it must be the same at all controllers of a deployment.
pub const SHARDS: u64 = 4;

/// Validity of a lease, measured from the start of its last successful write.
pub const TERM: Duration = Duration::from_secs(9);

/// Time between two renewals, and between two reads of a lease that another controller holds.
pub const RENEWAL: Duration = Duration::from_secs(3);

/// The longest time from the check of the lease for an order to the end of the order.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a new holder waits before it sends orders to upstreams that don't check fencing tokens.
pub const GRACE: Duration = Duration::from_secs(3);

/// Number of controllers that compete for one lease.
pub const CANDIDATES: usize = 3;

/// Returns the shard that a service belongs to.
pub fn shard(service: &name::Name) -> u64 {
    let mut hasher = twox_hash::XxHash64::with_seed(0);
    hasher.write(service.as_bytes());
    hasher.finish() % SHARDS
}

/// Returns the key of a shard's lease object.
pub fn key(shard: u64) -> name::Name {
    name::Name::from(format!("leases/{shard:02}"))
}
