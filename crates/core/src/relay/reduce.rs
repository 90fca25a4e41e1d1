//! The reducer of opaque forwarding: one function from event to effects.

use std::time::Duration;

use super::ask;
use super::digest;
use super::effect;
use super::engine;
use super::event;
use super::fleet;
use super::flight;
use super::manifest;
use super::route;
use super::state;
use crate::name;
use crate::refusal;
use crate::time;
use crate::verdict;

/// How much later than its goal a first event may be expected and the request still be sent, as
/// a factor on the time of the goal.
const LATENESS: f64 = 1.6;
/// Part of the time that a request has left in which its caller may come back.
const RETURN_SHARE: u32 = 3;
/// Shortest time after which a caller is asked to come back.
const MIN_RETURN: Duration = Duration::from_millis(100);
/// Time after which a request that no engine can take is worth another try.
const ENGINE_RETURN: Duration = Duration::from_millis(700);
/// Time left below which nothing is sent any more.
const MIN_LEFT: Duration = Duration::from_millis(20);
/// Shortest time that an idempotent request waits for its answer before it goes elsewhere.
const MIN_PATIENCE: Duration = Duration::from_millis(150);
/// The same as a multiple of the expected time.
const PATIENCE: u32 = 4;
/// Longest pause of a stream that may go on elsewhere, as a multiple of a pause on time.
const PAUSE: u32 = 2;
/// Engines without a channel after which a request is given up.
const MAX_UNSENT: usize = 4;
/// Processes whose counts are kept.
const MAX_PROCESSES: usize = 4_096;

/// Applies one event to the state and returns what the shell must do.
pub fn reduce(
    state: &mut state::State,
    now: time::Time,
    event: event::Event,
) -> Vec<effect::Effect> {
    match event {
        event::Event::Arrived(ask) => arrive(state, now, ask),
        event::Event::Attempt { request, signal } => attempt(state, now, request, signal),
        event::Event::Engines { list, lapsed } => engines(state, now, list, lapsed),
        event::Event::Manifest(manifest) => in_force(state, now, manifest),
        event::Event::Rollouts(orders) => state.rollouts.replace(orders),
        event::Event::Heard(digest) => hear(state, now, digest),
        event::Event::Tick => tick(state, now),
    }
    std::mem::take(&mut state.out)
}

fn arrive(state: &mut state::State, now: time::Time, ask: ask::Ask) {
    let request = ask.id;
    if state.suspects.is_blocked(now, ask.fingerprint) {
        let refusal = not_run(refusal::Code::Suspect, None);
        return refuse(state, request, refusal, ground(state, now, &ask, 0));
    }
    if let Some(workspace) = &ask.workspace {
        let part = state.peers.part(now);
        if let Err(fits) = state.caps.take(now, workspace, ask.units, part) {
            let refusal = not_run(refusal::Code::Limited, Some(return_at(now, &ask, fits)));
            return refuse(state, request, refusal, ground(state, now, &ask, 0));
        }
    }
    state.budget.record(now, &state.settings, &ask.service);
    let flight = flight::Flight {
        ask,
        tried: Vec::new(),
        sent: 0,
        running: None,
        ran: false,
        counted: false,
        answering: false,
    };
    state.flights.insert(request, flight);
    place(state, now, request);
}

/// Sends a request to an engine, or gives the final answer.
fn place(state: &mut state::State, now: time::Time, request: u64) {
    let Some(flight) = state.flights.get(&request) else {
        return;
    };
    let ask = &flight.ask;
    if now.after(MIN_LEFT) >= ask.deadline {
        return give_up(state, now, request, refusal::Code::Deadline, None);
    }
    let is_repeat = !flight.tried.is_empty();
    let mut pick = state
        .rollouts
        .pick(&state.settings, &ask.service, is_repeat);
    let is_there = |version: &name::Name| state.fleet.has_version(now, &ask.service, version);
    pick.only = pick.only.filter(is_there);
    let limits = fleet::Limits {
        excluded: &flight.tried,
        version: pick.only.as_ref(),
        barred: pick.barred.as_ref(),
    };
    let chosen = state.fleet.choose(now, ask, limits);
    let chosen = chosen.or_else(|lack| match pick.yields {
        true => state.fleet.choose(
            now,
            ask,
            fleet::Limits {
                barred: None,
                ..limits
            },
        ),
        false => Err(lack),
    });
    let choice = match chosen {
        Ok(choice) => choice,
        Err(_) => {
            let at = now.after(ENGINE_RETURN);
            return give_up(state, now, request, refusal::Code::NoUpstream, Some(at));
        }
    };
    let hopeless = hopeless(now, ask, choice.expected);
    if let Some(at) = hopeless.filter(|_| !flight.answering) {
        let code = refusal::Code::Overloaded;
        return give_up_as(state, now, request, code, Some(at), Some(choice.expected));
    }
    send(state, now, request, choice);
}

/// Returns when to come back if a first event after `expected` is too late to be worth the work.
fn hopeless(now: time::Time, ask: &ask::Ask, expected: Duration) -> Option<time::Time> {
    let goal = ask.arrived.until(ask.goal);
    let limit = goal.mul_f64(LATENESS).min(now.until(ask.deadline));
    (expected > limit).then(|| now.after(expected.saturating_sub(goal / 2)))
}

fn send(state: &mut state::State, now: time::Time, request: u64, choice: fleet::Choice) {
    let Some(flight) = state.flights.get_mut(&request) else {
        return;
    };
    state.fleet.start(now, &choice, &flight.ask);
    flight.tried.push(choice.engine.clone());
    flight.sent += 1;
    flight.running = Some(flight::Running {
        choice: choice.clone(),
        began: now,
        first: false,
    });
    let dispatch = effect::Dispatch {
        number: flight.tried.len(),
        patience: patience(now, flight, &choice),
        pause: pause(flight),
        choice,
    };
    state.out.push(effect::Effect::Send { request, dispatch });
}

/// Returns when a request that may be repeated is to go elsewhere if nothing has come.
fn patience(
    now: time::Time,
    flight: &flight::Flight,
    choice: &fleet::Choice,
) -> Option<time::Time> {
    let route = &flight.ask.route;
    if !route.repeat.is_idempotent() || !has_attempts(flight) {
        return None;
    }
    let goal = route.goal / 2;
    let wait = (choice.expected * PATIENCE).max(goal).max(MIN_PATIENCE);
    Some(now.after(wait))
}

/// Returns the longest pause of a stream that may go on at another engine.
fn pause(flight: &flight::Flight) -> Option<Duration> {
    let route = &flight.ask.route;
    let may_resume = route.repeat == route::Repeat::ResumableStream && has_attempts(flight);
    route.gap.filter(|_| may_resume).map(|gap| gap * PAUSE)
}

fn has_attempts(flight: &flight::Flight) -> bool {
    flight.sent < flight.ask.route.attempts
}

fn attempt(state: &mut state::State, now: time::Time, request: u64, signal: event::Signal) {
    match signal {
        event::Signal::First => first(state, now, request),
        event::Signal::Failing { status } => failing(state, now, request, status),
        event::Signal::Whole { status } => whole(state, now, request, status),
        event::Signal::NotRun { status, wait } => refused(state, now, request, status, wait),
        event::Signal::Unsent => unsent(state, now, request),
        event::Signal::Broken { unanswered } => broken(state, now, request, unanswered),
        event::Signal::Stalled => {
            may_have_run(state, now, request);
            end(state, now, request, fleet::Sign::Silent);
            again(state, now, request, refusal::Code::UpstreamFailed);
        }
        event::Signal::Expired => expired(state, now, request),
        event::Signal::Abandoned => abandoned(state, request),
    }
}

/// Goes to another engine after one that took no channel, which is no repeat.
fn unsent(state: &mut state::State, now: time::Time, request: u64) {
    end(state, now, request, fleet::Sign::Unreachable);
    let Some(flight) = state.flights.get_mut(&request) else {
        return;
    };
    flight.sent = flight.sent.saturating_sub(1);
    if flight.tried.len() < MAX_UNSENT {
        return place(state, now, request);
    }
    let at = now.after(ENGINE_RETURN);
    give_up(state, now, request, refusal::Code::NoUpstream, Some(at));
}

fn first(state: &mut state::State, now: time::Time, request: u64) {
    count(state, now, request);
    let Some(flight) = state.flights.get_mut(&request) else {
        return;
    };
    flight.answering = true;
    let Some(running) = flight.running.as_mut().filter(|r| !r.first) else {
        return;
    };
    running.first = true;
    let took = running.began.until(now);
    let (service, choice) = (&flight.ask.service, &running.choice);
    let (route, version) = (&flight.ask.route.name, &choice.version);
    state
        .rollouts
        .timed(service, route, version, took, choice.plain);
    state
        .fleet
        .first(&flight.ask.service, &running.choice, took);
}

/// Counts a request that began to run, once.
fn count(state: &mut state::State, at: time::Time, request: u64) {
    let window = state.window(at);
    let Some(flight) = state.flights.get_mut(&request) else {
        return;
    };
    flight.ran = true;
    if std::mem::replace(&mut flight.counted, true) {
        return;
    }
    if let Some(workspace) = &flight.ask.workspace {
        state.census.record(window, workspace);
    }
}

/// Notes that an engine may have run a request without saying so.
fn may_have_run(state: &mut state::State, now: time::Time, request: u64) {
    let Some(flight) = state.flights.get_mut(&request) else {
        return;
    };
    flight.ran = true;
    if !flight.ask.route.repeat.is_stream() {
        count(state, now, request);
    }
}

fn failing(state: &mut state::State, now: time::Time, request: u64, status: u16) {
    count(state, now, request);
    let Some(flight) = state.flights.get(&request) else {
        return;
    };
    let is_own = status >= 500;
    let repeatable = flight.ask.route.repeat.is_idempotent() && has_attempts(flight);
    let service = flight.ask.service.clone();
    let instances = state.peers.instances();
    let repeat = is_own
        && repeatable
        && state
            .budget
            .spend(now, &state.settings, &service, instances);
    if repeat {
        end(state, now, request, fleet::Sign::Bad);
        return place(state, now, request);
    }
    state.out.push(effect::Effect::Relay { request });
}

fn whole(state: &mut state::State, now: time::Time, request: u64, status: u16) {
    count(state, now, request);
    let is_good = status < 500;
    let sign = if is_good {
        fleet::Sign::Good
    } else {
        fleet::Sign::Bad
    };
    if let Some(flight) = state.flights.get(&request) {
        let held = flight.running.as_ref().map(|r| r.began.until(now));
        let (service, fingerprint) = (flight.ask.service.clone(), flight.ask.fingerprint);
        if let Some(held) = held.filter(|_| is_good) {
            state.fleet.held(&service, held);
        }
        state.suspects.cleared(fingerprint);
    }
    end(state, now, request, sign);
    state.flights.remove(&request);
}

fn refused(
    state: &mut state::State,
    now: time::Time,
    request: u64,
    status: u16,
    wait: Option<Duration>,
) {
    /// Status of an engine that is not the one that was meant.
    const MISDIRECTED: u16 = 421;
    let sign = if status == MISDIRECTED {
        fleet::Sign::Moved
    } else {
        fleet::Sign::Full
    };
    end(state, now, request, sign);
    if let Some(wait) = wait.filter(|_| !can_repeat(state, request)) {
        let at = now.after(wait);
        return give_up(state, now, request, refusal::Code::Overloaded, Some(at));
    }
    again(state, now, request, refusal::Code::Overloaded);
}

fn broken(state: &mut state::State, now: time::Time, request: u64, unanswered: bool) {
    may_have_run(state, now, request);
    end(state, now, request, fleet::Sign::Broke);
    let fingerprint = state.flights.get(&request).map(|f| f.ask.fingerprint);
    if let Some(fingerprint) = fingerprint.filter(|_| unanswered) {
        state.suspects.crashed(now, fingerprint);
        if state.suspects.is_blocked(now, fingerprint) {
            return give_up(state, now, request, refusal::Code::UpstreamFailed, None);
        }
    }
    again(state, now, request, refusal::Code::UpstreamFailed);
}

/// Sends a request to another engine if that is allowed, or gives the final answer.
fn again(state: &mut state::State, now: time::Time, request: u64, code: refusal::Code) {
    let Some(flight) = state.flights.get(&request) else {
        return;
    };
    let service = flight.ask.service.clone();
    let instances = state.peers.instances();
    let may = can_repeat(state, request)
        && state
            .budget
            .spend(now, &state.settings, &service, instances);
    if may {
        return place(state, now, request);
    }
    let at = now.after(ENGINE_RETURN);
    give_up(state, now, request, code, Some(at));
}

fn can_repeat(state: &state::State, request: u64) -> bool {
    state.flights.get(&request).is_some_and(|flight| {
        let repeat = flight.ask.route.repeat;
        let is_open = !flight.answering || repeat == route::Repeat::ResumableStream;
        let is_safe = !flight.ran || repeat.is_idempotent();
        is_open && is_safe && has_attempts(flight)
    })
}

fn expired(state: &mut state::State, now: time::Time, request: u64) {
    may_have_run(state, now, request);
    let began = state
        .flights
        .get(&request)
        .and_then(|f| f.running.as_ref())
        .is_some_and(|r| r.first);
    let sign = if began {
        fleet::Sign::Good
    } else {
        fleet::Sign::Silent
    };
    end(state, now, request, sign);
    give_up(state, now, request, refusal::Code::Deadline, None);
}

fn abandoned(state: &mut state::State, request: u64) {
    if let Some(flight) = state.flights.remove(&request)
        && let Some(running) = flight.running
    {
        state.fleet.end(&running.choice, running.first);
    }
}

/// Ends the attempt under way with what it showed of its engine.
fn end(state: &mut state::State, now: time::Time, request: u64, sign: fleet::Sign) {
    let Some(flight) = state.flights.get_mut(&request) else {
        return;
    };
    if let Some(running) = flight.running.take() {
        let is_good = matches!(sign, fleet::Sign::Good);
        if is_good
            || matches!(
                sign,
                fleet::Sign::Bad | fleet::Sign::Broke | fleet::Sign::Silent
            )
        {
            let (service, route) = (&flight.ask.service, &flight.ask.route.name);
            let version = &running.choice.version;
            state.rollouts.answered(service, route, version, is_good);
        }
        state.fleet.end(&running.choice, running.first);
        state.fleet.judge(now, &running.choice, sign);
        if sign.avoids() {
            state.out.push(effect::Effect::Avoided {
                engine: running.choice.engine,
                sign,
            });
        }
    }
}

/// Gives the final answer to a request in progress.
///
/// A request that may have run is never said not to have run.
fn give_up(
    state: &mut state::State,
    now: time::Time,
    request: u64,
    code: refusal::Code,
    at: Option<time::Time>,
) {
    give_up_as(state, now, request, code, at, None);
}

fn give_up_as(
    state: &mut state::State,
    now: time::Time,
    request: u64,
    code: refusal::Code,
    at: Option<time::Time>,
    expected: Option<Duration>,
) {
    let Some(flight) = state.flights.remove(&request) else {
        return;
    };
    let refusal = if flight.ran {
        let code = match code {
            refusal::Code::Deadline => code,
            _ => refusal::Code::UpstreamFailed,
        };
        refusal::Refusal {
            code,
            verdict: verdict::Verdict::MayHaveRun,
            retry_at: None,
        }
    } else {
        if let Some(workspace) = &flight.ask.workspace {
            state.caps.refund(workspace, flight.ask.units);
        }
        let code = match code {
            refusal::Code::Deadline => refusal::Code::Overloaded,
            _ => code,
        };
        not_run(code, at.map(|at| return_at(now, &flight.ask, at)))
    };
    let ground = effect::Ground {
        expected,
        ..ground(state, now, &flight.ask, flight.sent)
    };
    refuse(state, request, refusal, ground);
}

/// Keeps the time to come back where the caller can still be served.
fn return_at(now: time::Time, ask: &ask::Ask, at: time::Time) -> time::Time {
    let latest = now.after(now.until(ask.deadline) / RETURN_SHARE);
    at.max(now.after(MIN_RETURN)).min(latest)
}

const fn not_run(code: refusal::Code, at: Option<time::Time>) -> refusal::Refusal {
    refusal::Refusal::not_run(code, at)
}

fn refuse(
    state: &mut state::State,
    request: u64,
    refusal: refusal::Refusal,
    ground: effect::Ground,
) {
    state.out.push(effect::Effect::Refuse {
        request,
        refusal,
        ground,
    });
}

fn ground(state: &state::State, now: time::Time, ask: &ask::Ask, sent: u32) -> effect::Ground {
    let open = state.fleet.open(now);
    effect::Ground {
        engines: open.filter(|e| e.service == ask.service).count(),
        expected: None,
        part: state.peers.part(now),
        sent,
    }
}

fn engines(state: &mut state::State, now: time::Time, list: Vec<engine::Engine>, lapsed: bool) {
    let vanish = lapsed.then(|| now.after(state.settings.lapse));
    let change = state.fleet.replace(now, list, vanish);
    let started = change.started.into_iter().map(effect::Effect::Started);
    let left = change.left.into_iter().map(effect::Effect::Left);
    state.out.extend(started.chain(left));
}

fn in_force(
    state: &mut state::State,
    now: time::Time,
    manifest: std::sync::Arc<manifest::Manifest>,
) {
    let version = manifest.version();
    let is_newer = state
        .manifest
        .as_ref()
        .is_none_or(|known| known.version() < version);
    if !is_newer {
        return;
    }
    // A later manifest's new workspaces have used nothing yet.
    let known = state.settings.first || state.manifest.is_some();
    state.caps.declare(now, &state.settings, &manifest, known);
    state.manifest = Some(manifest);
    state.out.push(effect::Effect::InForce { version });
}

fn hear(state: &mut state::State, now: time::Time, digest: digest::Digest) {
    if digest.sender == state.own.name {
        return;
    }
    let sender = digest.sender.clone();
    let process = state::Process {
        name: sender.clone(),
        incarnation: digest.incarnation,
    };
    if state.others.len() < MAX_PROCESSES || state.others.contains_key(&process) {
        state
            .others
            .entry(process)
            .or_default()
            .merge(&digest.counts);
    }
    for spent in &digest.spent {
        if let Some(level) = spent.level {
            state.caps.learn(now, &spent.workspace, level);
        }
    }
    state.fleet.hear(&sender, &digest.loads);
    state.rollouts.hear(&sender, &digest.trials);
    state.suspects.hear(now, &sender, &digest.crashes);
    let charges = state.peers.hear(now, digest).unwrap_or_default();
    for charge in charges {
        state.caps.charge(now, &charge.workspace, charge.units);
    }
}

fn tick(state: &mut state::State, now: time::Time) {
    for name in state.peers.sweep(now) {
        forget(state, &name);
        state.out.push(effect::Effect::Lost(name));
    }
    let micros = state.clock.micros(now);
    let ahead = state.peers.ahead(now, micros);
    state.clock.compare(ahead);
}

fn forget(state: &mut state::State, name: &name::Name) {
    state.fleet.hear(name, &[]);
}
