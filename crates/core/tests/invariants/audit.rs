//! What must hold after every event at an entry, and after everything has ended.

use std::collections;
use std::time::Duration;

use guavausher_core::{active_request, effect, name, refusal, rollout, state, time, verdict};

use super::step;

/// One request as its caller sees it, and what was done for it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub kind: step::Kind,
    pub fingerprint: u64,
    pub answers: Vec<Answer>,
    pub abandoned: bool,
    pub ended: bool,
    pub runs: Vec<Run>,
    pub version: Option<name::Name>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    Refused(refusal::Refusal),
    Replayed,
    Relayed,
}

/// One dispatch; without an end it may be running.
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

/// A request of one process.
pub type Id = (u64, u64);

pub type Book = collections::BTreeMap<Id, Asked>;

/// What an entry knew before an event.
#[derive(Clone, Debug, Default)]
pub struct Known {
    pub leaving: collections::BTreeMap<name::Name, u64>,
    pub blocked: collections::BTreeSet<u64>,
    pub halted: Option<name::Name>,
    pub generation: u64,
}

/// Requests and what of them went to the new version, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    pub allowed: u64,
    pub given: u64,
}

pub type Verdict = Result<(), String>;

/// (a) At most one run of a keyed non-idempotent request over all entries.
pub fn one_run(book: &Book) -> Verdict {
    let mut runs: collections::BTreeMap<u8, Vec<Id>> = collections::BTreeMap::new();
    for (id, asked) in book {
        let step::Kind::Order { key } = asked.kind else {
            continue;
        };
        let own = asked.runs.iter().filter(|run| run.may_have_run());
        runs.entry(key).or_default().extend(own.map(|_| *id));
    }
    match runs.iter().find(|(_, ids)| ids.len() > 1) {
        Some((key, ids)) => Err(format!("key {key} may have run more than once: {ids:?}")),
        None => Ok(()),
    }
}

/// (b) A refusal says "not run" only of a request of which no dispatch may have run.
pub fn true_verdict(id: Id, asked: &Asked) -> Verdict {
    let claims = |answer: &Answer| matches!(answer, Answer::Refused(r) if r.verdict == verdict::Verdict::NotRun);
    if asked.answers.iter().any(claims) && asked.runs.iter().any(|run| run.may_have_run()) {
        return Err(format!(
            "{id:?} was said to be not run but may have: {asked:?}"
        ));
    }
    Ok(())
}

/// (c) No request gets two answers, and none gets one after its end or its caller's going.
pub fn one_answer(id: Id, asked: Option<&Asked>) -> Verdict {
    match asked {
        None => Err(format!("{id:?} got an answer and did not ask")),
        Some(asked) if !asked.answers.is_empty() => Err(format!("{id:?} got a second answer")),
        Some(asked) if asked.abandoned => Err(format!("{id:?} got an answer after it had gone")),
        Some(asked) if asked.ended => Err(format!("{id:?} got an answer after its end")),
        Some(_) => Ok(()),
    }
}

/// (c) An upstream's answer goes only to a request that ran to its end, a kept one only to a key
/// of which one did.
pub fn own_answer(book: &Book, id: Id) -> Verdict {
    let Some(asked) = book.get(&id) else {
        return Ok(());
    };
    let ran = |asked: &Asked| {
        let mut ends = asked.runs.iter().map(|run| run.end);
        ends.any(|end| end == Some(verdict::Verdict::Ran))
    };
    let keyed = |other: &Asked| other.kind == asked.kind && ran(other);
    let fault = match asked.answers.last() {
        Some(Answer::Relayed) => !ran(asked),
        Some(Answer::Replayed) => {
            !matches!(asked.kind, step::Kind::Order { .. }) || !book.values().any(keyed)
        }
        _ => false,
    };
    if fault {
        return Err(format!(
            "{id:?} got an answer that is not its own: {asked:?}"
        ));
    }
    Ok(())
}

/// (c) Each request has its answer when all has ended.
pub fn answered(id: Id, asked: &Asked) -> Verdict {
    if !asked.abandoned && asked.answers.is_empty() {
        return Err(format!("{id:?} never got an answer: {asked:?}"));
    }
    if !asked.ended {
        return Err(format!("{id:?} never ended: {asked:?}"));
    }
    Ok(())
}

/// (c) Once time has passed, no request waits beyond its deadline for a first token or answer.
pub fn in_time(state: &state::State, now: time::Time) -> Verdict {
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

/// (d) The generation in force never goes back.
pub fn forward(known: &Known, state: &state::State, effects: &[effect::Effect]) -> Verdict {
    let mut last = known.generation;
    for effect in effects {
        if let effect::Effect::ConfigApplied { generation } = effect {
            if *generation <= last {
                return Err(format!(
                    "generation {generation} came into force after {last}"
                ));
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

/// (e) Nothing goes to an upstream's incarnation that the entry knows to be leaving.
pub fn not_leaving(known: &Known, state: &state::State, sent: &effect::Dispatch) -> Verdict {
    let active = state.active_requests.get(&sent.request);
    let Some(active_request::Stage::Running(running)) = active.map(|a| &a.stage) else {
        return Ok(());
    };
    let latch = known.leaving.get(&sent.upstream);
    if running.attempt == sent.attempt && latch.is_some_and(|l| *l >= running.choice.incarnation) {
        return Err(format!("sent to {}, known to be leaving", sent.upstream));
    }
    Ok(())
}

/// (f) Nothing goes to a version that the entry knows to be halted.
pub fn not_halted(known: &Known, sent: &effect::Dispatch) -> Verdict {
    match &known.halted {
        Some(version) if *version == sent.version => {
            Err(format!("sent to {} of the halted {version}", sent.upstream))
        }
        _ => Ok(()),
    }
}

/// (f) No more than the declared share has gone to the new version.
pub fn within_share(share: &Share) -> Verdict {
    if share.given > share.allowed {
        return Err(format!(
            "more than the declared share went to the new version: {share:?}"
        ));
    }
    Ok(())
}

/// (g) A request known to bring upstreams down is not sent.
pub fn not_blocked(known: &Known, asked: &Asked) -> Verdict {
    if known.blocked.contains(&asked.fingerprint) {
        return Err(format!("sent while known to be blocked: {asked:?}"));
    }
    Ok(())
}

/// (h) An unkeyed non-idempotent request is sent once at most; nothing is sent after the end.
pub fn sent_once(id: Id, asked: &Asked) -> Verdict {
    if asked.kind == step::Kind::Unkeyed && asked.runs.len() > 1 {
        return Err(format!("{id:?} has no key and was sent twice"));
    }
    if asked.ended {
        return Err(format!("{id:?} was sent after its end"));
    }
    Ok(())
}

/// (i) At most one call of each kind is under way.
pub fn few_calls(state: &state::State) -> Verdict {
    let mut kinds = collections::BTreeMap::<String, u32>::new();
    for purpose in state.calls.values() {
        let kind = match purpose {
            state::Purpose::Notices(_) => String::from("Notices"),
            other => format!("{other:?}"),
        };
        *kinds.entry(kind).or_default() += 1;
    }
    match kinds.iter().find(|(_, count)| **count > MAX_CALLS_OF_KIND) {
        Some((kind, count)) => Err(format!("{count} calls under way for {kind}")),
        None => Ok(()),
    }
}

/// How long a whole answer may wait for its record.
const RECORD_WAIT: Duration = Duration::from_millis(500);

/// One call of each kind is enough.
const MAX_CALLS_OF_KIND: u32 = 1;

/// (i) Nothing is left once all requests have ended.
pub fn empty(state: &state::State) -> Verdict {
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
            "active_requests, attempts, timers and calls left: {left:?}, {stages:?}"
        ));
    }
    few_calls(state)
}

/// Returns the share in thousandths that a status allows.
pub fn allowed(status: &rollout::Status) -> u64 {
    match status.phase {
        rollout::Phase::Done => 1_000,
        rollout::Phase::TakenBack => 0,
        _ => status.share.into(),
    }
}
