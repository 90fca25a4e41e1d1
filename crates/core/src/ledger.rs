//! The ledger of non-idempotent requests: at most one run for each idempotency key.
//!
//! A key hashes to a partition. A partition is a log of records in segments, each an object of the
//! platform's store; only the last segment, the head, is ever written, by conditional update. The
//! entry whose claim was written is the only one that may run the request. No lease guards a
//! partition: the conditional write alone decides, so a paused writer cannot harm it.
//!
//! A writer must hold the whole log up to the version that it replaces. If a write ends unclear,
//! the log is read again and a claim counts only if its own operation stands in it.

mod breaker;
mod claim;
mod input;
mod log;
mod output;
mod partition;
mod pending_claim;
mod record;
mod segment;
mod stored_response;
mod table;

pub use breaker::Breaker;
pub use claim::Claim;
pub use input::Input;
pub use output::{Output, Reason};
pub use partition::Partition;
pub use record::{Operation, Record, Step};
pub use segment::{Malformed, Segment};
pub use stored_response::StoredResponse;
pub use table::Ledger;

use std::time;

/// Number of partitions; all entries of a deployment must agree on it.
pub const PARTITIONS: u64 = 64;

/// How long a key is remembered after its claim.
pub const RETENTION: time::Duration = time::Duration::from_secs(600);

/// The largest answer that is kept for a resend, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 << 10;

/// The size in bytes at which a segment is sealed and the next one begins.
pub const SEAL_BYTES: usize = 32 << 10;

/// Claims that may wait for one partition's next write.
pub const MAX_WAITING_CLAIMS: usize = 256;

/// How long a caller is asked to wait while its key is still running elsewhere.
pub const BUSY_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// How long a caller is asked to wait while the store cannot record a claim.
pub const OUTAGE_RETRY_DELAY: time::Duration = time::Duration::from_secs(3);
