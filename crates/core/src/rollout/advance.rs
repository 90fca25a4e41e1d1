//! Starts a rollout and decides its next step, at the controller.

use std::time::Duration;

use crate::declaration;
use crate::name;
use crate::rollout::{evidence, phase, status};
use crate::time;

/// Least time between the final decision on a rollout and its deadline.
///
/// It covers the write of the decision to the store and its delivery to every entry.
pub const DECISION_MARGIN: Duration = Duration::from_secs(5);

/// The largest share before completion; the old version serves the rest for a fair comparison.
const MAX_PARTIAL_SHARE: u32 = 900;
/// The largest share after a step, in tenths of the share before.
const MAX_GROWTH_TENTHS: u32 = 25;
/// The longest time for the canary and the ramp; a later deadline only extends the last share.
const MAX_RAMP_TIME: Duration = Duration::from_secs(2 * 60 * 60);
/// The shortest time between two steps.
const MIN_STEP_TIME: Duration = Duration::from_secs(1);
/// Requests to wait for while enough time is left.
const PREFERRED: Requirement = Requirement {
    step: 30,
    total: 150,
    loaded: 20,
};
/// Requests without which the rollout makes no step.
const MINIMUM: Requirement = Requirement {
    step: 10,
    total: 50,
    loaded: 0,
};

/// Requests of the new version that a step needs.
struct Requirement {
    /// Since the last step.
    step: u64,
    /// Since the start, to complete the rollout.
    total: u64,
    /// Since the start, on loaded upstreams.
    loaded: u64,
}

/// A decision about a rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Advance {
    /// Keep the status.
    Stay,
    /// Write this status to the store.
    Step(status::Status),
    /// Publish the halt at once and write this status to the store.
    Halt(status::Status),
}

/// Returns the first status of a declared rollout.
///
/// Its steps need at least 20 s until the deadline. If [`DECISION_MARGIN`] or less is left, the
/// rollout is rolled back.
pub fn start(now: time::Time, rollout: &declaration::Rollout, generation: u64) -> status::Status {
    let deadline = status::deadline_of(rollout);
    let window = now.until(deadline);
    let usable = window.saturating_sub(DECISION_MARGIN);
    let ramp_time = usable.mul_f64(0.9).min(MAX_RAMP_TIME);
    let status = status::Status {
        format: status::FORMAT,
        operation: name::Name::default(),
        service: rollout.service.clone(),
        from: rollout.from.clone(),
        to: rollout.to.clone(),
        share: rollout.share.min(MAX_PARTIAL_SHARE),
        limit: rollout.share,
        phase: phase::Phase::Canary,
        next: now.after(ramp_time.mul_f64(0.4)),
        settle: now.after(ramp_time),
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
    if let Some(regression) = evidence.regression() {
        return Advance::Halt(roll_back(status, describe(&regression)));
    }
    if now.after(DECISION_MARGIN) >= status.deadline {
        let reason = String::from("too little evidence before the deadline");
        return Advance::Halt(roll_back(status, reason));
    }
    if !can_step(now, status, evidence) {
        return Advance::Stay;
    }
    Advance::Step(step(now, status))
}

fn can_step(now: time::Time, status: &status::Status, evidence: &evidence::Evidence) -> bool {
    if now < status.next || evidence.is_suspicious() {
        return false;
    }
    let requirement = requirement(now, status);
    let is_first = status.phase == phase::Phase::Canary;
    let is_last = status.share >= MAX_PARTIAL_SHARE;
    let total = evidence.total();
    evidence.step().requests >= requirement.step
        && (!is_first && !is_last || total.loaded >= requirement.loaded)
        && (!is_last || total.requests >= requirement.total && evidence.covers_routes())
}

/// Returns the requests that the next step needs.
///
/// [`MINIMUM`] is enough once a quarter of the time available after the planned step has passed.
fn requirement(now: time::Time, status: &status::Status) -> &'static Requirement {
    let left = if status.share < MAX_PARTIAL_SHARE {
        status.next.until(status.settle)
    } else {
        let left = status.next.until(status.deadline);
        left.saturating_sub(DECISION_MARGIN)
    };
    let relaxed_from = status.next.after(left / 4);
    if now < relaxed_from {
        &PREFERRED
    } else {
        &MINIMUM
    }
}

fn step(now: time::Time, status: &status::Status) -> status::Status {
    if status.share < MAX_PARTIAL_SHARE {
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
    let share = next_share(status.share);
    let step_time = now.until(status.settle) / (steps_left(share) + 1);
    let next = now.after(step_time.max(MIN_STEP_TIME));
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

fn describe(regression: &evidence::Regression) -> String {
    match &regression.route {
        Some(route) => format!(
            "more {} than the old version on route {route}",
            regression.measure
        ),
        None => format!("more {} than the old version", regression.measure),
    }
}

fn next_share(share: u32) -> u32 {
    (share * MAX_GROWTH_TENTHS / 10).clamp(share + 1, MAX_PARTIAL_SHARE)
}

fn steps_left(mut share: u32) -> u32 {
    let mut steps = 0;
    while share < MAX_PARTIAL_SHARE {
        share = next_share(share);
        steps += 1;
    }
    steps
}
