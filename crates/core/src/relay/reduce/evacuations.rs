//! Evacuations of failure domains.

use crate::name;
use crate::relay::effect;
use crate::relay::evacuations;
use crate::relay::peers;
use crate::relay::state;
use crate::time;

/// Replaces the evacuations in force.
pub(super) fn replace(state: &mut state::State, now: time::Time, domains: Vec<name::Name>) {
    let changes = state.fleet.evacuations_mut().replace(now, domains);
    report(state, changes);
    update(state, now);
}

/// Updates from when each engine may be used, after the list of engines or the evacuations changed.
pub(super) fn update(state: &mut state::State, now: time::Time) {
    let own = &state.own.name;
    state
        .fleet
        .update_usable(now, |engine| peers::phase(engine, own));
}

/// Ends a wait for the evacuations that took too long, and reports unknown domains.
pub(super) fn tick(state: &mut state::State, now: time::Time) {
    let mut evacuations = std::mem::take(state.fleet.evacuations_mut());
    let was_waiting = evacuations.is_waiting();
    let changes = evacuations.tick(now, |domain| is_known(state, domain));
    let is_over = was_waiting && !evacuations.is_waiting();
    *state.fleet.evacuations_mut() = evacuations;
    report(state, changes);
    if is_over {
        update(state, now);
    }
}

fn report(state: &mut state::State, changes: Vec<evacuations::Change>) {
    let effects = changes.into_iter().map(effect::Effect::EvacuationChanged);
    state.out.extend(effects);
}

/// Returns `true` if any engine, instance or price belongs to a failure domain.
fn is_known(state: &state::State, domain: &name::Name) -> bool {
    let services = state.manifest.iter().flat_map(|m| m.services().values());
    let scaling = services.filter_map(|service| service.scaling.as_ref());
    let mut prices = scaling.flat_map(|scaling| &scaling.prices);
    let mut engines = state.fleet.all();
    *domain == state.own.domain
        || engines.any(|engine| engine.domain == *domain)
        || prices.any(|price| price.domain == *domain)
        || state.peers.has_instance_in(domain)
}
