//! All partitions of the ledger at one entry.

use std::collections;

use crate::ledger::{self, breaker, input, output, partition, record, stored_response};
use crate::name;
use crate::store;
use crate::time;

/// The ledger as one entry sees it.
///
/// Invariant: for each operation at most one [`output::Output::Granted`] is ever returned, and
/// only after the claim was seen in the store.
#[derive(Debug)]
pub struct Ledger {
    writer: u64,
    number: u64,
    breaker: breaker::Breaker,
    partitions: collections::BTreeMap<u64, partition::Partition>,
    claims: collections::HashMap<record::Operation, Open>,
}

#[derive(Debug)]
struct Open {
    request: u64,
    key: name::Name,
    fingerprint: u64,
}

impl Ledger {
    /// Returns a ledger whose operations carry the unique number of this process.
    pub fn new(writer: u64) -> Self {
        Self {
            writer,
            number: 0,
            breaker: breaker::Breaker::new(writer),
            partitions: collections::BTreeMap::new(),
            claims: collections::HashMap::new(),
        }
    }

    /// Applies one event and returns what follows from it.
    pub fn reduce(&mut self, now: time::Time, input: input::Input) -> Vec<output::Output> {
        let mut out = Vec::new();
        match input {
            input::Input::Claim(claim) => self.claim(now, claim, &mut out),
            input::Input::Complete {
                operation,
                response,
            } => {
                self.close(now, operation, record::Step::Ended(bounded(response)));
            }
            input::Input::Unclear { operation } => {
                self.close(now, operation, record::Step::Unclear);
            }
            input::Input::Release { operation } => {
                self.close(now, operation, record::Step::Released);
            }
            input::Input::Reply { partition, reply } => {
                self.judge(now, &reply);
                self.partition(partition).reply(now, reply, &mut out);
            }
            input::Input::Tick => self
                .partitions
                .values_mut()
                .for_each(|p| p.tick(now, &mut out)),
        }
        self.advance(now, &mut out);
        self.forget_denied(&out);
        out
    }

    /// Returns when the next [`input::Input::Tick`] is due.
    pub fn wake(&self) -> Option<time::Time> {
        let first = self.breaker.retry_at().unwrap_or_default();
        let limits = self
            .partitions
            .values()
            .filter_map(partition::Partition::next_denial);
        let calls = self
            .partitions
            .values()
            .filter_map(partition::Partition::next_call);
        limits.chain(calls.map(|at| at.max(first))).min()
    }

    fn judge(&mut self, now: time::Time, reply: &store::Reply) {
        match reply {
            store::Reply::Failed(_) => self.breaker.record_failure(now),
            _ => self.breaker.record_success(),
        }
    }

    fn advance(&mut self, now: time::Time, out: &mut Vec<output::Output>) {
        for partition in self.partitions.values_mut().filter(|p| p.is_due(now)) {
            if !self.breaker.allows(now) {
                return;
            }
            partition.advance(now, out);
        }
    }

    fn claim(&mut self, now: time::Time, claim: ledger::Claim, out: &mut Vec<output::Output>) {
        if let Some(at) = self.breaker.retry_at().filter(|at| now < *at) {
            let retry_at = at.max(now.after(ledger::OUTAGE_RETRY_DELAY));
            let reason = output::Reason::Unavailable { retry_at };
            let request = claim.request;
            return out.push(output::Output::Denied { request, reason });
        }
        self.number += 1;
        let operation = record::Operation {
            writer: self.writer,
            number: self.number,
        };
        let open = Open {
            request: claim.request,
            key: claim.key.clone(),
            fingerprint: claim.fingerprint,
        };
        self.claims.insert(operation, open);
        let id = partition_of(&claim.key);
        self.partition(id).claim(now, claim, operation, out);
    }

    fn close(&mut self, now: time::Time, operation: record::Operation, step: record::Step) {
        let Some(open) = self.claims.remove(&operation) else {
            return;
        };
        let id = partition_of(&open.key);
        let expiry = now.after(ledger::RETENTION);
        let Open {
            key, fingerprint, ..
        } = open;
        let record = record::Record {
            key,
            fingerprint,
            operation,
            step,
            expiry,
        };
        self.partition(id).close(record);
    }

    fn partition(&mut self, id: u64) -> &mut partition::Partition {
        self.partitions
            .entry(id)
            .or_insert_with(|| partition::Partition::new(id))
    }

    fn forget_denied(&mut self, out: &[output::Output]) {
        for answered in out.iter().filter_map(answered_request) {
            self.claims.retain(|_, open| open.request != answered);
        }
    }
}

/// Returns the partition of a key.
pub fn partition_of(key: &str) -> u64 {
    twox_hash::XxHash64::oneshot(0, key.as_bytes()) % ledger::PARTITIONS
}

fn answered_request(output: &output::Output) -> Option<u64> {
    match output {
        output::Output::AlreadyRun { request, .. } | output::Output::Denied { request, .. } => {
            Some(*request)
        }
        _ => None,
    }
}

fn bounded(response: stored_response::StoredResponse) -> stored_response::StoredResponse {
    let body = response
        .body
        .filter(|b| b.len() <= ledger::MAX_RESPONSE_BYTES);
    stored_response::StoredResponse { body, ..response }
}
