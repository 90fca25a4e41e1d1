//! A claim that waits to be written to the log.

use crate::ledger::{self, claim, record};
use crate::time;

/// A claim that waits to be written to the log.
#[derive(Debug)]
pub struct PendingClaim {
    /// The claim.
    pub claim: claim::Claim,
    /// Id of the claim in the log.
    pub operation: record::Operation,
    /// When the claim is denied if it is not written by then.
    pub deny_at: time::Time,
    /// Whether the log was read after the claim arrived.
    pub is_fresh: bool,
    /// Whether the claim has been denied.
    pub is_denied: bool,
}

impl PendingClaim {
    /// Returns the record that claims the key.
    pub fn claim_record(&self, now: time::Time) -> record::Record {
        let deadline = self.claim.deadline;
        self.record(now, record::Step::Claimed { deadline })
    }

    /// Returns the record that releases the claim.
    pub fn release_record(&self, now: time::Time) -> record::Record {
        self.record(now, record::Step::Released)
    }

    fn record(&self, now: time::Time, step: record::Step) -> record::Record {
        record::Record {
            key: self.claim.key.clone(),
            fingerprint: self.claim.fingerprint,
            operation: self.operation,
            step,
            expiry: now.after(ledger::RETENTION),
        }
    }
}
