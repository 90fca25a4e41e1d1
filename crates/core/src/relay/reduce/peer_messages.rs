//! Messages of other instances.

use crate::relay::digest;
use crate::relay::effect;
use crate::relay::engine_notices;
use crate::relay::heartbeat;
use crate::relay::peer;
use crate::relay::process_report;
use crate::relay::state;
use crate::relay::summary;
use crate::relay::workspace_usage;
use crate::time;

/// Applies another instance's digest.
pub(super) fn apply_digest(state: &mut state::State, now: time::Time, digest: digest::Digest) {
    let sender = digest.heartbeat.sender.clone();
    if sender == state.own.name || !state.peers.is_group_peer(&digest.heartbeat) {
        return;
    }
    let is_member = state.peers.is_reachable(now, &sender);
    let tally = digest.process_counts();
    state.usage_counts.merge(&tally);
    state.fleet.replace_peer_loads(&sender, &digest.loads);
    state.rollouts.merge(&tally.process, &digest.canary_samples);
    apply_departures(state, now, &digest.departures);
    apply_levels(state, now, &digest.heartbeat.usage);
    let charges = state.peers.apply_digest(now, digest).unwrap_or_default();
    apply_charges(state, now, charges);
    if !is_member {
        state.caps.set_share(now, state.peers.reachable_share(now));
    }
    super::update_outage(state, now);
}

/// Applies another instance's heartbeat.
pub(super) fn apply_heartbeat(
    state: &mut state::State,
    now: time::Time,
    pulse: heartbeat::Heartbeat,
) {
    if pulse.sender == state.own.name || !state.peers.is_group_peer(&pulse) {
        return;
    }
    let is_member = state.peers.is_reachable(now, &pulse.sender);
    apply_levels(state, now, &pulse.usage);
    let charges = state.peers.apply_heartbeat(now, pulse).unwrap_or_default();
    apply_charges(state, now, charges);
    if !is_member {
        state.caps.set_share(now, state.peers.reachable_share(now));
    }
    super::update_outage(state, now);
}

/// Applies a delegate's summary.
pub(super) fn apply_summary(state: &mut state::State, now: time::Time, summary: summary::Summary) {
    apply_departures(state, now, &summary.departures);
    apply_levels(state, now, &summary.sum.usage);
    for charge in state.peers.apply_summary(now, summary) {
        state
            .caps
            .charge_remote(now, &charge.workspace, charge.units);
    }
    super::update_outage(state, now);
}

/// Applies the reports of delegates on the processes of their group.
pub(super) fn apply_process_reports(
    state: &mut state::State,
    now: time::Time,
    accounts: &[process_report::ProcessReport],
) {
    for account in accounts {
        let process = &account.process;
        state.usage_counts.merge(&account.process_counts());
        state.rollouts.merge(process, &account.canary_samples);
        state
            .peers
            .record_prefill_work(now, process, &account.prefill_work);
    }
}

fn apply_levels(state: &mut state::State, now: time::Time, spent: &[workspace_usage::Usage]) {
    for spent in spent {
        if let Some(level) = spent.level {
            state.caps.adopt_level(now, &spent.workspace, level);
        }
    }
}

fn apply_charges(state: &mut state::State, now: time::Time, charges: Vec<peer::Charge>) {
    for charge in charges {
        state
            .caps
            .charge_group_peer(now, &charge.workspace, charge.units);
    }
}

/// Applies another instance's report of leaving engines.
fn apply_departures(state: &mut state::State, now: time::Time, departures: &[digest::Departure]) {
    for departure in departures {
        if state.fleet.merge_departure(now, departure) {
            state.out.push(effect::Effect::EngineLeft {
                engine: departure.engine.clone(),
                source: effect::Source::Peer,
                age: engine_notices::age(departure),
            });
        }
    }
}
