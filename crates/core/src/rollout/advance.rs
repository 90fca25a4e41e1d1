//! The controller's next step of a rollout.

use std::time::Duration;

use crate::declaration;
use crate::name;
use crate::rollout::{evidence, phase, status};
use crate::time;

/// A rollout is decided at least this long before its deadline.
///
/// The time covers the write of the decision and its way to every entry.
pub const DECISION_MARGIN: Duration = Duration::from_secs(5);

/// The largest share before the new version takes over; the rest keeps the comparison fair.
const LAST_SHARE: u32 = 900;
/// Each step makes the share at most this many tenths of the last.
const GROWTH_TENTHS: u32 = 25;
/// The longest move; a later deadline only leaves more time for its end.
const MAX_MOVE: Duration = Duration::from_secs(2 * 60 * 60);
/// The shortest stay at a share.
const MIN_STAY: Duration = Duration::from_secs(1);
/// Evidence that is waited for while there is time.
const WANTED: Need = Need {
    step: 30,
    whole: 150,
    loaded: 20,
};
/// Evidence without which no step is taken.
const LEAST: Need = Need {
    step: 10,
    whole: 50,
    loaded: 0,
};

/// Requests of the new version that a step needs.
struct Need {
    /// Since the step before.
    step: u64,
    /// Since the start, to be done.
    whole: u64,
    /// Since the start, on full upstreams.
    loaded: u64,
}

/// What to do about a rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Advance {
    /// Nothing.
    Stay,
    /// Write this status.
    Step(status::Status),
    /// State the halt at once and write this status.
    Halt(status::Status),
}

/// Returns the first status of a declared rollout; its steps need a window of at least 20 s.
pub fn start(now: time::Time, rollout: &declaration::Rollout, generation: u64) -> status::Status {
    let deadline = status::deadline_of(rollout);
    let window = now.until(deadline);
    let usable = window.saturating_sub(DECISION_MARGIN);
    let move_time = usable.mul_f64(0.9).min(MAX_MOVE);
    let status = status::Status {
        format: status::FORMAT,
        operation: name::Name::default(),
        service: rollout.service.clone(),
        from: rollout.from.clone(),
        to: rollout.to.clone(),
        share: rollout.share.min(LAST_SHARE),
        limit: rollout.share,
        phase: phase::Phase::Canary,
        next: now.after(move_time.mul_f64(0.4)),
        settle: now.after(move_time),
        deadline,
        generation,
        reason: String::from("first requests run on the new version"),
    };
    if window <= DECISION_MARGIN {
        return roll_back(&status, String::from("declared too near its deadline"));
    }
    status
}

/// Decides the next step of a rollout.
pub fn advance(
    now: time::Time,
    status: &status::Status,
    evidence: &evidence::Evidence,
    halted: bool,
) -> Advance {
    match status.phase {
        phase::Phase::RolledBack => return Advance::Stay,
        _ if halted => {
            let reason = String::from("an entry halted the new version");
            return Advance::Step(roll_back(status, reason));
        }
        phase::Phase::Done => return Advance::Stay,
        phase::Phase::Canary | phase::Phase::Ramp => {}
    }
    if let Some(fault) = evidence.fault() {
        return Advance::Halt(roll_back(status, describe(&fault)));
    }
    if now.after(DECISION_MARGIN) >= status.deadline {
        let reason = String::from("too little evidence before the deadline");
        return Advance::Halt(roll_back(status, reason));
    }
    if !may_step(now, status, evidence) {
        return Advance::Stay;
    }
    Advance::Step(step(now, status))
}

fn may_step(now: time::Time, status: &status::Status, evidence: &evidence::Evidence) -> bool {
    if now < status.next || evidence.is_suspicious() {
        return false;
    }
    let need = need(now, status);
    let is_first = status.phase == phase::Phase::Canary;
    let is_last = status.share >= LAST_SHARE;
    let whole = evidence.whole();
    evidence.step().requests >= need.step
        && (!is_first && !is_last || whole.loaded >= need.loaded)
        && (!is_last || whole.requests >= need.whole && evidence.covers_routes())
}

/// Returns the evidence needed now: less is enough when a quarter of the time is used up.
fn need(now: time::Time, status: &status::Status) -> &'static Need {
    let left = if status.share < LAST_SHARE {
        status.next.until(status.settle)
    } else {
        let left = status.next.until(status.deadline);
        left.saturating_sub(DECISION_MARGIN)
    };
    let patience = status.next.after(left / 4);
    if now < patience { &WANTED } else { &LEAST }
}

fn step(now: time::Time, status: &status::Status) -> status::Status {
    if status.share < LAST_SHARE {
        return ramp(now, status);
    }
    status::Status {
        share: super::FULL_SHARE,
        phase: phase::Phase::Done,
        reason: String::from("the new version is as good as the old one"),
        ..status.clone()
    }
}

fn ramp(now: time::Time, status: &status::Status) -> status::Status {
    let share = grown(status.share);
    let stay = now.until(status.settle) / (steps_left(share) + 1);
    let next = now.after(stay.max(MIN_STAY));
    status::Status {
        share,
        phase: phase::Phase::Ramp,
        next,
        reason: String::from("no fault at the share before"),
        ..status.clone()
    }
}

fn roll_back(status: &status::Status, reason: String) -> status::Status {
    status::Status {
        share: 0,
        phase: phase::Phase::RolledBack,
        reason,
        ..status.clone()
    }
}

fn describe(fault: &evidence::Fault) -> String {
    match &fault.route {
        Some(route) => format!(
            "more {} than the old version on route {route}",
            fault.measure
        ),
        None => format!("more {} than the old version", fault.measure),
    }
}

fn grown(share: u32) -> u32 {
    (share * GROWTH_TENTHS / 10).clamp(share + 1, LAST_SHARE)
}

fn steps_left(mut share: u32) -> u32 {
    let mut steps = 0;
    while share < LAST_SHARE {
        share = grown(share);
        steps += 1;
    }
    steps
}
