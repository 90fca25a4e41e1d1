//! The invariants: checks after every event at an entry, and after everything has ended.

use std::collections;
use std::time::Duration;

use guavausher_core::{active_request, effect, name, refusal, rollout, state, time, verdict};

use super::step;

/// One request: what its caller sent and received, and its runs.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub kind: step::Kind,
    pub fingerprint: u64,
    pub responses: Vec<Response>,
    pub abandoned: bool,
    pub ended: bool,
    pub runs: Vec<Run>,
    pub version: Option<name::Name>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Response {
    Refused(refusal::Refusal),
    Replayed,
    Relayed,
}

/// One dispatch; without an end it may still be running.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub attempt: u64,
    pub end: Option<verdict::Verdict>,
}

impl Run {
    pub fn may_have_run(self) -> bool {
        self.end != Some(verdict::Verdict::NotRun)
    }
}

/// Process and request id.
pub type Id = (u64, u64);

pub type RequestRecords = collections::BTreeMap<Id, RequestRecord>;

/// The state of an entry before an event.
#[derive(Clone, Debug, Default)]
pub struct Known {
    pub leaving: collections::BTreeMap<name::Name, u64>,
    pub blocked: collections::BTreeSet<u64>,
    pub halted: Option<name::Name>,
    pub generation: u64,
}

/// Allowed and actual requests to the new version, in thousandths of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    pub allowed: u64,
    pub given: u64,
}

pub type Check = Result<(), String>;

/// (a) At most one run of a keyed non-idempotent request over all entries.
pub fn at_most_one_run(records: &RequestRecords) -> Check {
    let mut runs: collections::BTreeMap<u8, Vec<Id>> = collections::BTreeMap::new();
    for (id, record) in records {
        let step::Kind::Keyed { key } = record.kind else {
            continue;
        };
        let own = record.runs.iter().filter(|run| run.may_have_run());
        runs.entry(key).or_default().extend(own.map(|_| *id));
    }
    match runs.iter().find(|(_, ids)| ids.len() > 1) {
        Some((key, ids)) => Err(format!("key {key} may have run more than once: {ids:?}")),
        None => Ok(()),
    }
}

/// (b) A refusal says "not run" only of a request of which no dispatch may have run.
pub fn verdict_is_true(id: Id, record: &RequestRecord) -> Check {
    let claims = |response: &Response| matches!(response, Response::Refused(r) if r.verdict == verdict::Verdict::NotRun);
    if record.responses.iter().any(claims) && record.runs.iter().any(|run| run.may_have_run()) {
        return Err(format!(
            "{id:?} was reported as not run but may have run: {record:?}"
        ));
    }
    Ok(())
}

/// (c) No request gets two responses, and none gets one after it ended or was abandoned.
pub fn at_most_one_response(id: Id, record: Option<&RequestRecord>) -> Check {
    match record {
        None => Err(format!("{id:?} got a response without a request")),
        Some(record) if !record.responses.is_empty() => {
            Err(format!("{id:?} got a second response"))
        }
        Some(record) if record.abandoned => {
            Err(format!("{id:?} got a response after it was abandoned"))
        }
        Some(record) if record.ended => Err(format!("{id:?} got a response after its end")),
        Some(_) => Ok(()),
    }
}

/// (c) Only a request that ran to completion gets an upstream's response; a stored one is replayed
/// only for a key with such a run.
pub fn response_is_own(records: &RequestRecords, id: Id) -> Check {
    let Some(record) = records.get(&id) else {
        return Ok(());
    };
    let ran = |record: &RequestRecord| {
        let mut ends = record.runs.iter().map(|run| run.end);
        ends.any(|end| end == Some(verdict::Verdict::Ran))
    };
    let keyed = |other: &RequestRecord| other.kind == record.kind && ran(other);
    let fault = match record.responses.last() {
        Some(Response::Relayed) => !ran(record),
        Some(Response::Replayed) => {
            !matches!(record.kind, step::Kind::Keyed { .. }) || !records.values().any(keyed)
        }
        _ => false,
    };
    if fault {
        return Err(format!(
            "{id:?} got a response that is not its own: {record:?}"
        ));
    }
    Ok(())
}

/// (c) Each request has a response once everything has ended.
pub fn has_response(id: Id, record: &RequestRecord) -> Check {
    if !record.abandoned && record.responses.is_empty() {
        return Err(format!("{id:?} never got a response: {record:?}"));
    }
    if !record.ended {
        return Err(format!("{id:?} never ended: {record:?}"));
    }
    Ok(())
}

/// (c) After time has advanced, no request waits past its deadline for a first token or a response.
pub fn within_deadline(state: &state::State, now: time::Time) -> Check {
    let waits = |a: &active_request::ActiveRequest| match a.stage {
        active_request::Stage::Recording => a.timer > now.after(RECORD_WAIT),
        _ => !a.detached && !a.started && a.deadline < now,
    };
    match state.active_requests.iter().find(|(_, a)| waits(a)) {
        Some((id, active)) => Err(format!(
            "{id} waits in {:?} at {now:?} beyond its deadline {:?}",
            active.stage, active.deadline
        )),
        None => Ok(()),
    }
}

/// (d) The generation of the applied configuration never decreases.
pub fn generation_increases(
    known: &Known,
    state: &state::State,
    effects: &[effect::Effect],
) -> Check {
    let mut last = known.generation;
    for effect in effects {
        if let effect::Effect::ConfigApplied { generation } = effect {
            if *generation <= last {
                return Err(format!("generation {generation} was applied after {last}"));
            }
            last = *generation;
        }
    }
    match state.config.as_ref().map_or(0, |c| c.generation) {
        now if now < known.generation => Err(format!(
            "generation went back from {} to {now}",
            known.generation
        )),
        _ => Ok(()),
    }
}

/// (e) Nothing is sent to an incarnation of an upstream that the entry knows to be leaving.
pub fn not_leaving(known: &Known, state: &state::State, sent: &effect::Dispatch) -> Check {
    let active = state.active_requests.get(&sent.request);
    let Some(active_request::Stage::Running(running)) = active.map(|a| &a.stage) else {
        return Ok(());
    };
    let latest = known.leaving.get(&sent.upstream);
    if running.attempt == sent.attempt && latest.is_some_and(|l| *l >= running.choice.incarnation) {
        return Err(format!("sent to {}, known to be leaving", sent.upstream));
    }
    Ok(())
}

/// (f) Nothing is sent to a version that the entry knows to be halted.
pub fn not_halted(known: &Known, sent: &effect::Dispatch) -> Check {
    match &known.halted {
        Some(version) if *version == sent.version => {
            Err(format!("sent to {} of the halted {version}", sent.upstream))
        }
        _ => Ok(()),
    }
}

/// (f) No more than the declared share of requests was sent to the new version.
pub fn within_share(share: &Share) -> Check {
    if share.given > share.allowed {
        return Err(format!(
            "more than the declared share was sent to the new version: {share:?}"
        ));
    }
    Ok(())
}

/// (g) A request known to crash upstreams is not sent.
pub fn not_blocked(known: &Known, record: &RequestRecord) -> Check {
    if known.blocked.contains(&record.fingerprint) {
        return Err(format!("sent while known to be blocked: {record:?}"));
    }
    Ok(())
}

/// (h) An unkeyed non-idempotent request is sent once at most; nothing is sent after the end.
pub fn sent_once(id: Id, record: &RequestRecord) -> Check {
    if record.kind == step::Kind::Unkeyed && record.runs.len() > 1 {
        return Err(format!("{id:?} has no key and was sent twice"));
    }
    if record.ended {
        return Err(format!("{id:?} was sent after its end"));
    }
    Ok(())
}

/// (i) At most one call of each kind is pending.
pub fn one_call_per_kind(state: &state::State) -> Check {
    let mut kinds = collections::BTreeMap::<String, u32>::new();
    for purpose in state.calls.values() {
        let kind = match purpose {
            state::Purpose::Notices(_) => String::from("Notices"),
            other => format!("{other:?}"),
        };
        *kinds.entry(kind).or_default() += 1;
    }
    match kinds.iter().find(|(_, count)| **count > MAX_CALLS_OF_KIND) {
        Some((kind, count)) => Err(format!("{count} calls pending for {kind}")),
        None => Ok(()),
    }
}

/// How long a complete response may wait until it is recorded.
const RECORD_WAIT: Duration = Duration::from_millis(500);

/// A second call of the same kind would be redundant.
const MAX_CALLS_OF_KIND: u32 = 1;

/// (i) Nothing is left once all requests have ended.
pub fn nothing_left(state: &state::State) -> Check {
    let waits = |p: &&state::Purpose| {
        !matches!(
            p,
            state::Purpose::Ledger(_) | state::Purpose::Status | state::Purpose::StatusRead
        )
    };
    let calls = state.calls.values().filter(|p| !waits(p)).count();
    let left = [
        state.active_requests.len(),
        state.attempts.len(),
        state.timers.len(),
        calls,
    ];
    if left != [0; 4] {
        let stages: Vec<_> = state
            .active_requests
            .iter()
            .map(|(id, a)| (id, &a.stage))
            .collect();
        return Err(format!(
            "active requests, attempts, timers and calls left: {left:?}, {stages:?}"
        ));
    }
    one_call_per_kind(state)
}

/// Returns the share in thousandths that a status allows.
pub fn allowed(status: &rollout::Status) -> u64 {
    match status.phase {
        rollout::Phase::Done => 1_000,
        rollout::Phase::RolledBack => 0,
        _ => status.share.into(),
    }
}
