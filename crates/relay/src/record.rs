//! Log lines of the decisions about requests.

use guavausher_core::name;
use guavausher_core::refusal;
use guavausher_core::relay::{effect, evacuations, event, request, subject, suspects};
use guavausher_core::verdict;

use crate::caller_response;
use crate::clock;
use crate::response_end;
use crate::runtime;

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptEnd {
    /// Number of the attempt.
    pub number: usize,
    pub signal: event::Signal,
    /// How the engine's response ended.
    pub response: response_end::ResponseEnd,
}

impl AttemptEnd {
    /// Returns the end of an attempt whose response had not ended.
    pub fn without_response(number: usize, signal: event::Signal) -> Self {
        Self {
            number,
            signal,
            response: response_end::ResponseEnd::default(),
        }
    }
}

/// Logs why a request was refused; frequent refusals are sampled by workspace.
pub(crate) fn refused(
    runtime: &runtime::Runtime,
    request: &request::Request,
    refusal: refusal::Refusal,
    context: effect::RefusalContext,
) {
    let now = clock::now();
    if context.limited > 0 && refusal.verdict == verdict::Verdict::NotRun {
        runtime.metrics.count_limited("refused");
    }
    if context.free > 0 && refusal.code == refusal::Code::Overloaded {
        runtime.metrics.count_refused_beside_free(&request.service);
    }
    let workspace = request.workspace.clone().unwrap_or_default();
    let is_sampled = refusal.verdict == verdict::Verdict::NotRun && context.sent == 0;
    let stands_for = match is_sampled {
        true => runtime.log_sampler.admit(now, &workspace),
        false => Some(1),
    };
    let Some(stands_for) = stands_for else {
        return;
    };
    log::info!(id:% = request.trace, reason = refusal.code.as_str(),
        verdict = refusal.verdict.as_str(), workspace:% = workspace, route:% = request.route.name,
        service:% = request.service, print:% = fingerprint(request), engines = context.engines,
        limited = context.limited, free = context.free, sent = context.sent,
        expected_ms = context.expected.map_or(0, |e| e.as_millis() as u64),
        suspect:% = context.suspect.map(|s| s.to_string()).unwrap_or_default(),
        no_retry = no_retry(context), cap_part = context.cap_share, units = request.units,
        return_ms = refusal.retry_at.map_or(0, |at| now.until(at).as_millis() as u64),
        after_ms = request.arrived.until(now).as_millis() as u64, stands_for = stands_for;
        "refused");
}

/// Logs the dispatch of a request with the inputs of the engine's selection.
pub(crate) fn sent(
    runtime: &runtime::Runtime,
    request: &request::Request,
    dispatch: &effect::Dispatch,
) {
    let choice = &dispatch.choice;
    if let Some(limited) = &choice.instead_of {
        placed_elsewhere(runtime, request, limited);
    }
    log::info!(id:% = request.trace, route:% = request.route.name, service:% = request.service,
        workspace:% = request.workspace.clone().unwrap_or_default(),
        print:% = fingerprint(request), parts:% = parts(request), engine:% = choice.engine,
        version:% = choice.version, attempt = dispatch.number, prompt = request.prompt,
        left_ms = clock::now().until(request.deadline).as_millis() as u64,
        expected_ms = choice.expected.as_millis() as u64, ahead = choice.pending_prefill,
        fresh = choice.uncached, running = choice.running, probe = choice.is_probe; "sent");
}

/// Logs and counts a request that another engine would have got if its rate limit had left room;
/// frequent lines are sampled by engine.
fn placed_elsewhere(runtime: &runtime::Runtime, request: &request::Request, limited: &name::Name) {
    runtime.metrics.count_limited("placed-elsewhere");
    if let Some(stands_for) = runtime.limit_sampler.admit(clock::now(), limited) {
        log::info!(id:% = request.trace, engine:% = limited, stands_for = stands_for;
            "engine at its rate limit passed over");
    }
}

/// Returns the fingerprint of a request as text, which is the same at all instances.
fn fingerprint(request: &request::Request) -> String {
    format!("{:016x}", request.fingerprint)
}

/// Logs that an engine crashed while it ran a request.
pub(crate) fn engine_crashed(engine: &name::Name, crash: u64, blamed: &[effect::Blame]) {
    let known = |kind| {
        let blamed = blamed.iter().filter(move |b| b.subject.kind() == kind);
        blamed.map(|b| b.known).max().unwrap_or(0)
    };
    let request = blamed.iter().find_map(|b| match b.subject {
        subject::Subject::Request(fingerprint) => Some(fingerprint),
        subject::Subject::Part { .. } => None,
    });
    let parts = blamed.iter().filter_map(|b| match b.subject {
        subject::Subject::Request(_) => None,
        subject::Subject::Part { id, .. } => Some(id),
    });
    log::warn!(engine:% = engine, crash:% = format!("{crash:016x}"),
        print:% = format!("{:016x}", request.unwrap_or_default()), known = known("request"),
        parts:% = part_list(parts), part_known = known("part");
        "engine crashed while running a request");
}

/// Logs that a request or a part of prompts is blocked, or no longer is, after which crashes, and
/// which instance reported them.
pub(crate) fn suspect_changed(change: &suspects::Change, peer: Option<&name::Name>) {
    let crashes = change.crashes.iter().map(|crash| format!("{crash:016x}"));
    let crashes = crashes.collect::<Vec<_>>().join(",");
    let source = peer.map_or("own", |peer| peer.as_str());
    let suspect = change.subject;
    match change.is_blocked {
        true => log::warn!(suspect:% = suspect, crashes:% = crashes, source = source;
            "blocked since engines crash under it"),
        false => log::info!(suspect:% = suspect, crashes:% = crashes, source = source;
            "no longer blocked"),
    }
}

/// Logs a change of the evacuations.
pub(crate) fn evacuation_changed(change: &evacuations::Change) {
    match change {
        evacuations::Change::Begun(domain) => log::info!(domain:% = domain; "evacuation in force"),
        evacuations::Change::Withdrawn(domain) => {
            log::info!(domain:% = domain; "evacuation withdrawn");
        }
        evacuations::Change::UnknownDomain(domain) => log::warn!(domain:% = domain;
            "evacuation of a failure domain with no engine, instance or price; compare its name"),
        evacuations::Change::NotRead => {
            log::warn!("evacuations could not be read; all engines are used");
        }
    }
}

/// Returns the first identifiers of the parts of a prompt that requests share, as text.
fn parts(request: &request::Request) -> String {
    part_list(request.shared_parts().iter().map(|part| part.id))
}

fn part_list(ids: impl Iterator<Item = u64>) -> String {
    /// Maximum number of parts in one line.
    const MAX_PARTS: usize = 8;
    let ids = ids.take(MAX_PARTS).map(|id| format!("{id:x}"));
    ids.collect::<Vec<_>>().join(",")
}

/// Logs and counts the outcome of an attempt.
pub(crate) fn attempt_ended(
    runtime: &runtime::Runtime,
    request: &request::Request,
    ended: AttemptEnd,
    output: &caller_response::CallerResponse,
) {
    let ending = ending(ended.signal);
    let (framing, cause) = (ended.response.framing(), ended.response.cause());
    runtime.metrics.count_attempt(ending);
    runtime.metrics.count_engine_response(framing, cause);
    let first = output
        .first_event
        .map_or(0, |at| request.arrived.until(at).as_millis() as u64);
    log::info!(id:% = request.trace, attempt = ended.number, ending = ending,
        signal:? = ended.signal, framing = framing, end = cause, first_ms = first,
        after_ms = request.arrived.until(clock::now()).as_millis() as u64; "attempt ended");
}

/// Logs and counts an attempt that was ended since another one has responded.
pub(crate) fn superseded(runtime: &runtime::Runtime, request: &request::Request, attempt: usize) {
    /// The ending in logs and metrics.
    const ENDING: &str = "superseded";
    runtime.metrics.count_attempt(ENDING);
    log::info!(id:% = request.trace, attempt = attempt, ending = ENDING,
        after_ms = request.arrived.until(clock::now()).as_millis() as u64; "attempt ended");
}

/// What follows from the silence of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Silence {
    /// The limit that was exceeded: `first-byte` or `gap`.
    pub limit: &'static str,
    /// Whether another engine gets the request as well.
    pub is_replaced: bool,
    /// Why no other engine gets it.
    pub no_retry: Option<effect::NoRetry>,
}

/// Logs and counts that nothing has arrived from an engine for too long, and what follows from it.
pub(crate) fn silent(
    runtime: &runtime::Runtime,
    request: &request::Request,
    dispatch: &effect::Dispatch,
    silence: Silence,
) {
    let no_retry = silence.no_retry.map_or("", effect::NoRetry::as_str);
    runtime.metrics.count_silence(silence.limit, no_retry);
    log::info!(id:% = request.trace, engine:% = dispatch.choice.engine, attempt = dispatch.number,
        limit = silence.limit, replaced = silence.is_replaced, no_retry = no_retry,
        after_ms = request.arrived.until(clock::now()).as_millis() as u64; "engine is silent");
}

/// Logs and counts a response that ends although it was begun: what ended its last attempt, what
/// the caller has received, and why no other attempt continues it.
pub(crate) fn truncated(
    runtime: &runtime::Runtime,
    request: &request::Request,
    refusal: refusal::Refusal,
    context: effect::RefusalContext,
    last: Option<AttemptEnd>,
    output: &caller_response::CallerResponse,
) {
    let ended_by = last.map_or("", |last| ending(last.signal));
    let response = last.map(|last| last.response).unwrap_or_default();
    let no_retry = no_retry(context);
    runtime.metrics.count_truncated(ended_by, no_retry);
    log::warn!(id:% = request.trace, reason = refusal.code.as_str(), ended_by = ended_by,
        framing = response.framing(), end = response.cause(), no_retry = no_retry,
        sent = context.sent, body_bytes = output.body_bytes,
        last_event = output.last_event.unwrap_or(0),
        after_ms = request.arrived.until(clock::now()).as_millis() as u64,
        left_ms = clock::now().until(request.deadline).as_millis() as u64; "response truncated");
}

fn no_retry(context: effect::RefusalContext) -> &'static str {
    context.no_retry.map_or("", effect::NoRetry::as_str)
}

/// Returns the end or progress of an attempt as text.
const fn ending(signal: event::Signal) -> &'static str {
    match signal {
        event::Signal::First => "first",
        event::Signal::Failing { .. } => "failing",
        event::Signal::Whole { .. } | event::Signal::WholeAtClose { .. } => "whole",
        event::Signal::NotRun { .. } => "not-run",
        event::Signal::Unsent => "unsent",
        event::Signal::Withheld => "withheld",
        event::Signal::Broken { .. } => "broken",
        event::Signal::Stalled => "stalled",
        event::Signal::Expired => "expired",
        event::Signal::Stopped => "stopped",
        event::Signal::Abandoned => "abandoned",
    }
}
