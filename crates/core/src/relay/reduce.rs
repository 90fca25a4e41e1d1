//! The reducer of opaque forwarding: one function from an event to its effects.

mod attempt;
mod crashes;
mod dispatch;
mod ending;
mod engines;
mod evacuations;
mod peer_messages;
mod probes;
mod rate_limits;
mod refuse;
mod retry;
mod runs;
mod silence;
mod waiting;

use super::effect;
use super::event;
use super::flight;
use super::manifest;
use super::request;
use super::state;
use crate::name;
use crate::refusal;
use crate::time;

/// Used in place of an instance's name for the loads of all instances outside the own group.
const OUTSIDE: &str = "(outside)";

/// Applies one event to the state and returns the effects for the runtime to perform.
pub fn reduce(
    state: &mut state::State,
    now: time::Time,
    event: event::Event,
) -> Vec<effect::Effect> {
    match event {
        event::Event::Arrived(request) => arrive(state, now, request),
        event::Event::Attempt {
            request,
            attempt,
            signal,
        } => attempt::apply(state, now, request, attempt, signal),
        event::Event::EngineNotice {
            engine,
            incarnation,
            notice,
        } => engines::apply_notice(state, now, engine, incarnation, notice),
        event::Event::Engines(list) => engines::replace(state, now, list),
        event::Event::PeerAhead { since } => state.ahead_since = Some(since),
        event::Event::Evacuations(domains) => evacuations::replace(state, now, domains),
        event::Event::StoreReturned { era } => apply_return(state, now, era),
        event::Event::Watching(is_watching) => set_watching(state, now, is_watching),
        event::Event::Manifest(manifest) => apply_manifest(state, now, manifest),
        event::Event::Rollouts(orders) => {
            let micros = state.clock.unix_micros(now);
            state.rollouts.replace(micros, orders);
        }
        event::Event::ProcessReports(accounts) => {
            peer_messages::apply_process_reports(state, now, &accounts)
        }
        event::Event::Summary(summary) => peer_messages::apply_summary(state, now, summary),
        event::Event::Heartbeat(pulse) => peer_messages::apply_heartbeat(state, now, pulse),
        event::Event::Digest(digest) => peer_messages::apply_digest(state, now, digest),
        event::Event::RateLimits(reported) => rate_limits::merge(state, now, &reported),
        event::Event::CrashReport(report) => crashes::merge(state, now, &report),
        event::Event::Bids(bids) => probes::merge(state, now, &bids),
        event::Event::SavedSuspects(saved) => crashes::restore(state, now, &saved),
        event::Event::Tick => tick(state, now),
    }
    waiting::start_waiting(state, now);
    std::mem::take(&mut state.out)
}

fn arrive(state: &mut state::State, now: time::Time, request: request::Request) {
    let id = request.id;
    if let Some(workspace) = &request.workspace {
        state.caps.set_share(now, state.peers.reachable_share(now));
        if let Err(fits_at) = state.caps.try_charge(now, workspace, request.units) {
            let refusal = refuse::not_run(
                refusal::Code::Limited,
                Some(refuse::retry_time(now, &request, fits_at)),
            );
            return refuse::refuse(state, id, refusal, refuse::context(state, now, &request, 0));
        }
    }
    state.budget.record(now, &state.settings, &request.service);
    let flight = flight::Flight {
        request,
        tried: Vec::new(),
        attempts: 0,
        running: Vec::new(),
        may_have_run: false,
        counted: false,
        holds_failure: false,
        responding: false,
        no_retry: None,
    };
    state.flights.insert(id, flight);
    waiting::admit(state, now, id);
}

fn set_watching(state: &mut state::State, now: time::Time, is_watching: bool) {
    state.watching = is_watching;
    update_outage(state, now);
}

/// Begins the time in which engines and the operator write again what the store has lost.
fn apply_return(state: &mut state::State, now: time::Time, era: u64) {
    if era <= state.era {
        return;
    }
    state.era = era;
    state.outage.record_return(now);
}

fn update_outage(state: &mut state::State, now: time::Time) {
    let is_any_watching = state.watching || state.peers.has_store_watcher(now);
    let min_outage = state.settings.min_outage();
    state.outage.update(now, is_any_watching, min_outage);
}

fn apply_manifest(
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
    // New workspaces of a later manifest have not used any units yet.
    let is_known = state.settings.bootstrap || state.manifest.is_some();
    state
        .caps
        .apply_manifest(now, &state.settings, &manifest, is_known);
    state.manifest = Some(manifest);
    // The manifest names the rates of cold engines.
    rate_limits::update(state, now);
    state.out.push(effect::Effect::ManifestApplied { version });
}

fn tick(state: &mut state::State, now: time::Time) {
    crashes::confirm_crashes(state, now);
    probes::update(state, now);
    for name in state.peers.sweep(now) {
        state.fleet.replace_peer_loads(&name, &[]);
        state.out.push(effect::Effect::PeerLost(name));
    }
    for name in state.peers.take_regrouped() {
        state.fleet.replace_peer_loads(&name, &[]);
    }
    state.caps.set_share(now, state.peers.reachable_share(now));
    if state.peers.is_listed() {
        let instances = state.peers.limit_holders();
        state.caps.grant_reserves(now, instances);
    }
    let demands = state.peers.demands(now);
    state
        .caps
        .update_demands(&demands, state.peers.propagation_delay());
    if state.peers.division().is_divided() {
        let loads = state.peers.groups().loads(now);
        state
            .fleet
            .replace_peer_loads(&name::Name::from(OUTSIDE), &loads);
    }
    evacuations::tick(state, now);
    rate_limits::expire(state, now);
    rate_limits::update(state, now);
    update_outage(state, now);
    let is_short = state.lacks_store_watchers(now);
    state.watcher_promotion.update(now, is_short);
    state.usage_counts.sweep(state.window(now));
    let micros = state.clock.unix_micros(now);
    let ahead = state.peers.clock_offsets(now, micros);
    state.clock.correct(ahead);
}
