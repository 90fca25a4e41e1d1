//! A claim on its way into the log.

use crate::ledger::{self, claim, record};
use crate::time;

/// A claim on its way into the log.
#[derive(Debug)]
pub struct PendingClaim {
    /// What is claimed.
    pub claim: claim::Claim,
    /// Identifies the claim in the log.
    pub operation: record::Operation,
    /// When the caller is refused at the latest.
    pub deny_at: time::Time,
    /// Whether the log was read after the claim came.
    pub is_fresh: bool,
    /// Whether the caller has been refused.
    pub is_denied: bool,
}

impl PendingClaim {
    /// Returns the record that claims the key.
    pub fn claim_record(&self, now: time::Time) -> record::Record {
        let deadline = self.claim.deadline;
        self.record(now, record::Step::Claimed { deadline })
    }

    /// Returns the record that gives the claim back.
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
