//! The rules that a response must keep, whatever the engines have sent.

use std::collections;

use super::caller::Got;
use super::plan::{Ending, Framing, Kind, Plan, Route};
use super::script::{Asked, Run};
use super::{ATTEMPTS, Mood, PATIENCE};
use crate::support::Response;

/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// A broken rule.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Rule {
    /// A success looks complete but is not the whole response of an engine.
    Whole,
    /// Bytes of another request or of another engine, or a status or stamp that is not the engine's.
    Mixed,
    /// A promise that the request has not run, though it has.
    Promise,
    /// A request that may run once runs twice.
    Twice,
    /// A request is sent to more engines than its route allows.
    Attempts,
    /// A request has no end.
    Endless,
    /// A proper response is not passed on.
    Served,
    /// An engine gets other bytes than the request's.
    Unasked,
    /// A request runs behind one whose response ended the connection.
    Unread,
    /// An attempt goes on though another one has responded, or the request has ended.
    Kept,
}

/// Returns the rules that the response to one request breaks, and how.
pub fn check(asked: &Asked, runs: &[Run], got: &Got, mood: Mood) -> Vec<(Rule, &'static str)> {
    let mut faults = check_runs(asked, runs);
    if matches!(got, Got::Nothing) {
        faults.push((Rule::Endless, "no response in time"));
    }
    if matches!(got, Got::Unread) && !runs.is_empty() {
        faults.push((Rule::Unread, "ran after the end of the caller's connection"));
    }
    let is_served = matches!(got, Got::Response(r) if r.status == 200 && r.is_complete);
    if must_be_served(asked, runs, got, mood) && !is_served {
        faults.push((Rule::Served, "no success"));
    }
    let Got::Response(response) = got else {
        return faults;
    };
    let has_run = runs.iter().any(Run::has_run);
    if !asked.route.is_idempotent() && PROMISES.contains(&response.status) && has_run {
        faults.push((Rule::Promise, "refused as not run"));
    }
    faults.extend(check_bytes(asked, runs, response).err());
    faults
}

/// Checks what the engines got.
fn check_runs(asked: &Asked, runs: &[Run]) -> Vec<(Rule, &'static str)> {
    let mut faults = Vec::new();
    let times_run = runs.iter().filter(|r| r.has_run()).count();
    if !asked.route.is_idempotent() && times_run > 1 {
        faults.push((Rule::Twice, "ran twice"));
    }
    let engines: collections::BTreeSet<_> = runs.iter().map(|r| r.engine).collect();
    if engines.len() > ATTEMPTS || runs.len() > ATTEMPTS {
        faults.push((Rule::Attempts, "sent to too many engines"));
    }
    if runs.iter().any(|r| r.is_body_wrong) {
        faults.push((Rule::Unasked, "an engine got another body"));
    }
    if runs.iter().any(|r| r.is_in_vain) {
        faults.push((Rule::Kept, "went on though another attempt had responded"));
    }
    if runs.iter().any(|r| r.is_held && !r.is_closed) {
        faults.push((Rule::Kept, "went on though the request had ended"));
    }
    faults
}

/// Returns `true` if what the engines did leaves no reason for anything but a complete success.
///
/// An engine that falls silent and goes on later is no such reason, nor one that replaces it and
/// delivers nothing.
fn must_be_served(asked: &Asked, runs: &[Run], got: &Got, mood: Mood) -> bool {
    match mood {
        _ if matches!(got, Got::Unread) => false,
        Mood::Calm => true,
        Mood::Faulty => false,
        Mood::Silent => {
            asked.left == PATIENCE
                && runs.iter().any(is_finished)
                && runs
                    .iter()
                    .skip(1)
                    .all(|r| is_finished(r) || !r.has_sent_body)
                && !is_overtaken(runs)
        }
    }
}

/// Returns `true` if the first attempt, which does not finish, may have delivered an event after the
/// second one was sent, and so have ended it.
fn is_overtaken(runs: &[Run]) -> bool {
    let (Some(first), Some(second)) = (runs.first(), runs.get(1)) else {
        return false;
    };
    !is_finished(first) && second.first != first.first + first.sent_events
}

/// Returns `true` if an engine sends a complete success, now or later.
fn is_finished(run: &Run) -> bool {
    // Without a length and without a byte a response is not complete.
    let has_end = run.plan.framing != Framing::Close || !run.body().is_empty();
    has_end && completes(&run.plan)
}

/// Returns `true` if a plan has a success that is sent to its end.
pub fn completes(plan: &Plan) -> bool {
    let is_whole = plan.cut.is_none() && plan.ending == Ending::Close;
    plan.kind == Kind::Success && (is_whole || plan.ending.continues())
}

/// Checks that each byte of a response is of the right request and engine.
fn check_bytes(
    asked: &Asked,
    runs: &[Run],
    response: &Response,
) -> Result<(), (Rule, &'static str)> {
    if response.header("x-id").is_some_and(|id| id != asked.id) {
        return Err((Rule::Mixed, "id of another request"));
    }
    let Some(stamp) = response.header("x-stamp") else {
        let is_own = response.status >= 400 && response.body.starts_with(b"{\"error\"");
        return is_own
            .then_some(())
            .ok_or((Rule::Mixed, "neither the relay's nor an engine's"));
    };
    let run = runs.iter().position(|r| r.stamp == stamp);
    let run = run.ok_or((Rule::Mixed, "stamp of no run"))?;
    if runs[run].status != response.status {
        return Err((Rule::Mixed, "status is not the engine's"));
    }
    let is_success = response.status == 200;
    let body = response.text();
    if asked.route == Route::Resume && is_success {
        return check_resumed(&runs[run..], body, response.is_complete);
    }
    match response.is_complete {
        true if runs[run].complete.as_deref() == Some(body) => Ok(()),
        _ if !runs[run].body().starts_with(body) => Err((Rule::Mixed, "bytes of another response")),
        true => Err((Rule::Whole, "looks complete")),
        false => Ok(()),
    }
}

/// Checks a stream that may continue at the next engines, after a whole event each.
fn check_resumed(
    mut runs: &[Run],
    mut body: &str,
    is_complete: bool,
) -> Result<(), (Rule, &'static str)> {
    let count = runs[0].parts.len();
    for next in 0..count {
        let is_next = |run: &Run| body.starts_with(&run.parts[next]);
        let Some(run) = runs.iter().position(is_next) else {
            let is_begun = runs.iter().any(|run| run.parts[next].starts_with(body));
            let may_end = runs[0].complete.is_some() && next > runs[0].first;
            return match (is_begun, is_complete) {
                (false, _) => Err((Rule::Mixed, "events out of order or of another response")),
                (true, true) if !(body.is_empty() && may_end) => {
                    Err((Rule::Whole, "looks complete"))
                }
                _ => Ok(()),
            };
        };
        body = &body[runs[run].parts[next].len()..];
        runs = &runs[run..];
    }
    body.is_empty()
        .then_some(())
        .ok_or((Rule::Mixed, "bytes after the last event"))
}
