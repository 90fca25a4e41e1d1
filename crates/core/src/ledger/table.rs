//! All partitions of the ledger at one entry.

use std::collections;

use crate::ledger::{self, breaker, input, output, partition, record, stored_response};
use crate::name;
use crate::store;
use crate::time;

/// All partitions of the ledger at one entry.
///
/// Invariant: at most one [`output::Output::Granted`] is ever returned for an operation, and only
/// after its claim is known to be in the store.
#[derive(Debug)]
pub struct Ledger {
    writer: u64,
    number: u64,
    breaker: breaker::Breaker,
    partitions: collections::BTreeMap<u64, partition::Partition>,
    claims: collections::HashMap<record::Operation, OpenClaim>,
}

#[derive(Debug)]
struct OpenClaim {
    request: u64,
    key: name::Name,
    fingerprint: u64,
}

impl Ledger {
    /// Creates a ledger; `writer` is the unique number of this process.
    pub fn new(writer: u64) -> Self {
        Self {
            writer,
            number: 0,
            breaker: breaker::Breaker::new(writer),
            partitions: collections::BTreeMap::new(),
            claims: collections::HashMap::new(),
        }
    }

    /// Handles one event and returns the resulting decisions and store calls.
    pub fn reduce(&mut self, now: time::Time, input: input::Input) -> Vec<output::Output> {
        let mut out = Vec::new();
        match input {
            input::Input::Claim(claim) => self.claim(now, claim, &mut out),
            input::Input::Complete {
                operation,
                response,
            } => {
                self.close(
                    now,
                    operation,
                    record::Step::Ended(without_large_body(response)),
                );
            }
            input::Input::Unclear { operation } => {
                self.close(now, operation, record::Step::Unclear);
            }
            input::Input::Release { operation } => {
                self.close(now, operation, record::Step::Released);
            }
            input::Input::Reply { partition, reply } => {
                self.update_breaker(now, &reply);
                self.partition(partition).reply(now, reply, &mut out);
            }
            input::Input::Tick => self
                .partitions
                .values_mut()
                .for_each(|p| p.tick(now, &mut out)),
        }
        self.start_calls(now, &mut out);
        self.remove_closed(&out);
        out
    }

    /// Returns when the next [`input::Input::Tick`] is due; `None` if nothing is waiting.
    pub fn wake(&self) -> Option<time::Time> {
        let trial = self.breaker.retry_at().unwrap_or_default();
        let denials = self
            .partitions
            .values()
            .filter_map(partition::Partition::next_denial);
        let calls = self
            .partitions
            .values()
            .filter_map(partition::Partition::next_call);
        denials.chain(calls.map(|at| at.max(trial))).min()
    }

    fn update_breaker(&mut self, now: time::Time, reply: &store::Reply) {
        match reply {
            store::Reply::Failed(_) => self.breaker.record_failure(now),
            _ => self.breaker.record_success(),
        }
    }

    fn start_calls(&mut self, now: time::Time, out: &mut Vec<output::Output>) {
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
        let open = OpenClaim {
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
        let OpenClaim {
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

    fn remove_closed(&mut self, out: &[output::Output]) {
        for request in out.iter().filter_map(closed_request) {
            self.claims.retain(|_, open| open.request != request);
        }
    }
}

/// Returns the partition of a key.
pub fn partition_of(key: &str) -> u64 {
    twox_hash::XxHash64::oneshot(0, key.as_bytes()) % ledger::PARTITIONS
}

fn closed_request(output: &output::Output) -> Option<u64> {
    match output {
        output::Output::AlreadyRun { request, .. } | output::Output::Denied { request, .. } => {
            Some(*request)
        }
        _ => None,
    }
}

fn without_large_body(
    response: stored_response::StoredResponse,
) -> stored_response::StoredResponse {
    let body = response
        .body
        .filter(|b| b.len() <= ledger::MAX_RESPONSE_BYTES);
    stored_response::StoredResponse { body, ..response }
}
