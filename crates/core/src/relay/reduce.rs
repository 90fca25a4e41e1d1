//! The reducer of opaque forwarding: one function from event to effects.

mod attempt;
mod close;
mod ending;

use std::time::Duration;

use super::account;
use super::ask;
use super::digest;
use super::effect;
use super::engine;
use super::event;
use super::fleet;
use super::flight;
use super::manifest;
use super::peer;
use super::pulse;
use super::route;
use super::state;
use super::summary;
use super::words;
use crate::name;
use crate::refusal;
use crate::time;

/// How much later than its goal a first event may be expected and the request still be sent, as
/// a factor on the time of the goal.
const LATENESS: f64 = 1.6;
/// Time after which a request that no engine can take is worth another try.
pub(super) const ENGINE_RETURN: Duration = Duration::from_millis(700);
/// Time left below which nothing is sent any more.
const MIN_LEFT: Duration = Duration::from_millis(20);
/// Shortest time that an idempotent request waits for its answer before it goes elsewhere.
const MIN_PATIENCE: Duration = Duration::from_millis(150);
/// The same as a multiple of the expected time.
const PATIENCE: u32 = 4;
/// In place of an instance's name for the work of all outside the own group.
const OUTSIDE: &str = "(outside)";
/// Longest pause of a stream that may go on elsewhere, as a multiple of a pause on time.
const PAUSE: u32 = 2;

/// Applies one event to the state and returns what the shell must do.
pub fn reduce(
    state: &mut state::State,
    now: time::Time,
    event: event::Event,
) -> Vec<effect::Effect> {
    match event {
        event::Event::Arrived(ask) => arrive(state, now, ask),
        event::Event::Attempt { request, signal } => attempt::attempt(state, now, request, signal),
        event::Event::Said {
            engine,
            incarnation,
            saying,
        } => said(state, now, engine, incarnation, saying),
        event::Event::Engines(list) => engines(state, now, list),
        event::Event::Fed(fed) => feed(state, now, fed),
        event::Event::Manifest(manifest) => in_force(state, now, manifest),
        event::Event::Rollouts(orders) => state.rollouts.replace(orders),
        event::Event::Accounts(accounts) => learn_accounts(state, now, &accounts),
        event::Event::Summed(summary) => sum_up(state, now, summary),
        event::Event::Beat(pulse) => beat(state, now, pulse),
        event::Event::Heard(digest) => hear(state, now, digest),
        event::Event::Tick => tick(state, now),
    }
    std::mem::take(&mut state.out)
}

fn arrive(state: &mut state::State, now: time::Time, ask: ask::Ask) {
    let request = ask.id;
    if let Some(workspace) = &ask.workspace {
        state.caps.divide(now, state.peers.part(now));
        if let Err(fits) = state.caps.take(now, workspace, ask.units) {
            let refusal = close::not_run(
                refusal::Code::Limited,
                Some(close::return_at(now, &ask, fits)),
            );
            return close::refuse(state, request, refusal, close::ground(state, now, &ask, 0));
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
        failed: false,
        answering: false,
    };
    state.flights.insert(request, flight);
    place(state, now, request);
}

/// Sends a request to an engine, or gives the final answer.
pub(super) fn place(state: &mut state::State, now: time::Time, request: u64) {
    let Some(flight) = state.flights.get(&request) else {
        return;
    };
    let ask = &flight.ask;
    if state.suspects.is_blocked(now, ask.fingerprint) {
        return close::give_up(state, now, request, refusal::Code::Suspect, None);
    }
    if now.after(MIN_LEFT) >= ask.deadline {
        return close::give_up(state, now, request, refusal::Code::Deadline, None);
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
        channels: channels(state, &ask.service),
    };
    let chosen = state.fleet.choose(now, ask, limits);
    let chosen = chosen.or_else(|lack| {
        let others = match lack {
            fleet::Lack::Held(_) if pick.prefers => fleet::Limits {
                version: None,
                barred: pick.only.as_ref(),
                ..limits
            },
            fleet::Lack::Excluded | fleet::Lack::NoEngine if pick.yields => fleet::Limits {
                barred: None,
                ..limits
            },
            _ => return Err(lack),
        };
        let other = state.fleet.choose(now, ask, others);
        other.map_err(|_| lack)
    });
    let choice = match chosen {
        Ok(choice) => choice,
        Err(fleet::Lack::Held(until)) => {
            let at = until.after(spread(ask));
            return close::give_up(state, now, request, refusal::Code::Overloaded, Some(at));
        }
        Err(_) => {
            let at = now.after(ENGINE_RETURN);
            return close::give_up(state, now, request, refusal::Code::NoUpstream, Some(at));
        }
    };
    let hopeless = hopeless(now, ask, choice.expected);
    if let Some(at) = hopeless.filter(|_| !flight.answering) {
        let code = refusal::Code::Overloaded;
        return close::give_up_as(state, now, request, code, Some(at), Some(choice.expected));
    }
    send(state, now, request, choice);
}

/// Returns how much later than others a caller is to come back, so that they do not come together.
fn spread(ask: &ask::Ask) -> Duration {
    /// Longest such time in milliseconds.
    const LONGEST: u64 = 1_000;
    let draw = twox_hash::XxHash64::oneshot(0, ask.trace.as_bytes());
    Duration::from_millis(draw % LONGEST)
}

/// Returns how many channels one engine of a service takes from all instances.
fn channels(state: &state::State, service: &name::Name) -> Option<u32> {
    let manifest = state.manifest.as_ref()?;
    let service = manifest.services().get(service)?;
    (service.channels > 0).then_some(service.channels)
}

/// Returns how many idle channels to one engine of a service this instance may keep, so that those
/// of all instances leave room for requests on new ones.
fn idle_channels(state: &state::State, service: &name::Name) -> usize {
    /// Part of an engine's channels that may be idle.
    const PART: u32 = 2;
    let all = channels(state, service).map(|channels| channels / PART);
    all.map_or(usize::MAX, |all| all as usize / state.peers.instances())
}

/// Returns when to come back if a first event after `expected` is too late to be worth the work.
fn hopeless(now: time::Time, ask: &ask::Ask, expected: Duration) -> Option<time::Time> {
    let goal = ask.arrived.until(ask.goal);
    let limit = goal.mul_f64(LATENESS).min(now.until(ask.deadline));
    (expected > limit).then(|| now.after(expected.saturating_sub(goal / 2)))
}

fn send(state: &mut state::State, now: time::Time, request: u64, choice: fleet::Choice) {
    let Some(flight) = state.flights.get(&request) else {
        return;
    };
    let idle = idle_channels(state, &flight.ask.service);
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
        idle,
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

pub(super) fn has_attempts(flight: &flight::Flight) -> bool {
    flight.sent < flight.ask.route.attempts
}

fn feed(state: &mut state::State, now: time::Time, fed: bool) {
    state.fed = fed;
    note_outage(state, now);
}

fn note_outage(state: &mut state::State, now: time::Time) {
    let is_heard = state.fed || state.peers.is_fed(now);
    let shortest = state.settings.outage();
    state.outage.note(now, is_heard, shortest);
}

fn engines(state: &mut state::State, now: time::Time, list: Vec<engine::Engine>) {
    let kept = state.outage.kept_until(now, &state.settings);
    let change = state.fleet.replace(now, list, kept);
    for ended in &change.ended {
        ending::ended(state, now, &ended.name, ended.incarnation);
    }
    let started = change.started.into_iter().map(effect::Effect::Started);
    let left = change.left.into_iter().map(|engine| effect::Effect::Left {
        engine,
        source: effect::Source::List,
        age: Duration::ZERO,
    });
    state.out.extend(started.chain(left));
}

/// Takes what an engine says of itself.
fn said(
    state: &mut state::State,
    now: time::Time,
    engine: name::Name,
    incarnation: u64,
    saying: event::Saying,
) {
    let has_left = match saying {
        event::Saying::Leaving => state.fleet.leave(now, &engine, incarnation),
        event::Saying::HoldsOff(until) => {
            let held = engine.clone();
            state.out.push(effect::Effect::Held {
                engine: held,
                until,
            });
            state.fleet.hold(now, &engine, incarnation, until)
        }
    };
    if has_left {
        state.out.push(effect::Effect::Left {
            engine,
            source: effect::Source::Answer,
            age: Duration::ZERO,
        });
    }
}

/// Takes over from another instance which engines leave.
fn depart(state: &mut state::State, now: time::Time, told: &[digest::Departure]) {
    for departure in told {
        if state.fleet.depart(now, departure) {
            state.out.push(effect::Effect::Left {
                engine: departure.engine.clone(),
                source: effect::Source::Peer,
                age: words::age(departure),
            });
        }
    }
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
    let sender = digest.pulse.sender.clone();
    if sender == state.own.name || !state.peers.is_mate(&digest.pulse) {
        return;
    }
    let is_member = state.peers.is_member(now, &sender);
    state.tallies.learn(&digest.tally());
    state.fleet.hear(&sender, &digest.loads);
    state.rollouts.hear(&sender, &digest.trials);
    state.suspects.hear(now, &digest.suspects);
    depart(state, now, &digest.departures);
    learn_levels(state, now, &digest.pulse.spent);
    let charges = state.peers.hear(now, digest).unwrap_or_default();
    charge(state, now, charges);
    if !is_member {
        state.caps.divide(now, state.peers.part(now));
    }
    note_outage(state, now);
}

fn beat(state: &mut state::State, now: time::Time, pulse: pulse::Pulse) {
    if pulse.sender == state.own.name || !state.peers.is_mate(&pulse) {
        return;
    }
    let is_member = state.peers.is_member(now, &pulse.sender);
    learn_levels(state, now, &pulse.spent);
    let charges = state.peers.beat(now, pulse).unwrap_or_default();
    charge(state, now, charges);
    if !is_member {
        state.caps.divide(now, state.peers.part(now));
    }
    note_outage(state, now);
}

fn sum_up(state: &mut state::State, now: time::Time, summary: summary::Summary) {
    state.suspects.hear(now, &summary.suspects);
    depart(state, now, &summary.departures);
    learn_levels(state, now, &summary.sum.spent);
    for charge in state.peers.sum_up(now, summary) {
        state.caps.charge(now, &charge.workspace, charge.units);
    }
    note_outage(state, now);
}

fn learn_accounts(state: &mut state::State, now: time::Time, accounts: &[account::Account]) {
    for account in accounts {
        let process = &account.process;
        state.tallies.learn(&account.tally());
        state.rollouts.hear(&process.name, &account.trials);
        state.peers.account(now, process, &account.work);
    }
}

fn learn_levels(state: &mut state::State, now: time::Time, spent: &[digest::Spent]) {
    for spent in spent {
        if let Some(level) = spent.level {
            state.caps.learn(now, &spent.workspace, level);
        }
    }
}

fn charge(state: &mut state::State, now: time::Time, charges: Vec<peer::Charge>) {
    for charge in charges {
        state.caps.charge_mate(now, &charge.workspace, charge.units);
    }
}

fn tick(state: &mut state::State, now: time::Time) {
    ending::settle(state, now);
    for name in state.peers.sweep(now) {
        state.fleet.hear(&name, &[]);
        state.out.push(effect::Effect::Lost(name));
    }
    for name in state.peers.take_departed() {
        state.fleet.hear(&name, &[]);
    }
    state.caps.divide(now, state.peers.part(now));
    let demands = state.peers.demands(now);
    state.caps.hear_demands(&demands, state.peers.lag());
    if state.peers.division().is_divided() {
        let loads = state.peers.groups().loads(now);
        state.fleet.hear(&name::Name::from(OUTSIDE), &loads);
    }
    note_outage(state, now);
    let is_short = state.is_short_of_feeders(now);
    state.feeding.note(now, is_short);
    state.tallies.sweep(state.window(now));
    let micros = state.clock.micros(now);
    let ahead = state.peers.ahead(now, micros);
    state.clock.compare(ahead);
}
