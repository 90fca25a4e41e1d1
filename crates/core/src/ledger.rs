//! The ledger of non-idempotent requests: at most one run for each idempotency key.
//!
//! A key hashes to a partition. A partition is a log of records in segments, each an object of the
//! platform's store; only the last segment, the head, is ever written, by conditional update. Only
//! the entry whose claim was written may run the request. No lease guards a partition: the
//! conditional write alone decides, so a paused writer cannot corrupt it.
//!
//! A writer must have read the complete log up to the version that it replaces. If the outcome of
//! a write is unknown, the log is read again, and a claim counts only if the log contains its
//! operation.

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

/// Number of partitions; it must be the same at all entries of a deployment.
pub const PARTITIONS: u64 = 64;

/// How long a key is retained after its last record was created.
pub const RETENTION: time::Duration = time::Duration::from_secs(600);

/// The largest response body that is stored for repeated requests, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 << 10;

/// The size in bytes above which a segment is sealed and the next one begins.
pub const SEAL_BYTES: usize = 32 << 10;

/// Largest number of claims that wait for the next write of a partition.
pub const MAX_WAITING_CLAIMS: usize = 256;

/// Delay after which a caller may retry while its key is running elsewhere.
pub const BUSY_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Delay after which a caller may retry while the store cannot record a claim.
pub const OUTAGE_RETRY_DELAY: time::Duration = time::Duration::from_secs(3);
