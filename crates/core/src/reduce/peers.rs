//! Connects the reducer with the peering: applies shared facts and documents to this entry.

use crate::config;
use crate::declaration;
use crate::effect;
use crate::fact;
use crate::name;
use crate::peering;
use crate::reduce::{document, quarantine, rollouts, status};
use crate::routing;
use crate::state;
use crate::store;
use crate::time;

/// Kind of the instances that are entries.
const ENTRY_KIND: &str = "entry";

/// Passes an input to the peering and applies its outputs.
pub fn handle_input(state: &mut state::State, now: time::Time, input: peering::Input) {
    for output in state.peering.reduce(now, input) {
        apply(state, now, output);
    }
}

fn apply(state: &mut state::State, now: time::Time, output: peering::Output) {
    match output {
        peering::Output::Send { to, message } => state.emit(effect::Effect::Send { to, message }),
        peering::Output::Link(member) => state.emit(effect::Effect::Link(member)),
        peering::Output::Unlink(name) => state.emit(effect::Effect::Unlink(name)),
        peering::Output::FactAdded { fact } => apply_fact(state, now, &fact),
        peering::Output::Adopted(document) => apply_document(state, now, &document),
        peering::Output::Watch { topic, active } => document::watch(state, now, topic, active),
        peering::Output::Delivered { from, body } => quarantine::receive(state, now, &from, &body),
        peering::Output::Reports(_) => {}
    }
}

fn apply_fact(state: &mut state::State, now: time::Time, fact: &fact::Fact) {
    match fact {
        fact::Fact::Leaving {
            upstream,
            incarnation,
        } => {
            let highest = state.leaving.entry(upstream.clone()).or_default();
            *highest = (*highest).max(*incarnation);
            state.fleet.mark_leaving(upstream, *incarnation);
            status::schedule_write(state, now);
        }
        fact::Fact::Suspect { .. } | fact::Fact::Blocked { .. } | fact::Fact::Cleared { .. } => {
            let effects = state.quarantine.apply_fact(now, fact);
            quarantine::apply(state, now, effects);
        }
        fact::Fact::Halted {
            service,
            version,
            generation,
        } => {
            state.split.halt(service, version, *generation);
        }
        fact::Fact::Holder { .. } => {}
    }
}

fn apply_document(state: &mut state::State, now: time::Time, document: &peering::Document) {
    let result = match document.topic {
        peering::Topic::Config => adopt_config(state, now, document),
        peering::Topic::Members => adopt_members(state, now, document),
        peering::Topic::Rollouts => rollouts::adopt(state, now, &document.body),
    };
    if let Err(fault) = result {
        let key = name::Name::from(format!("{:?}", document.topic));
        state.emit(effect::Effect::DocumentRejected { key, fault });
    }
}

fn adopt_config(
    state: &mut state::State,
    now: time::Time,
    document: &peering::Document,
) -> Result<(), String> {
    let envelope = declaration::Envelope::from_json(&document.body).map_err(|e| e.to_string())?;
    let config = config::Config::new(document.generation, envelope.declaration);
    state
        .fleet
        .set_weights(routing::Weights::of(&config.declaration.policy));
    state.fleet.declare(now, &config.declaration);
    state.admission.declare(now, &config.declaration);
    for (upstream, incarnation) in &state.leaving {
        state.fleet.mark_leaving(upstream, *incarnation);
    }
    state.config = Some(config);
    status::schedule_write(state, now);
    state.emit(effect::Effect::ConfigApplied {
        generation: document.generation,
    });
    Ok(())
}

fn adopt_members(
    state: &mut state::State,
    now: time::Time,
    document: &peering::Document,
) -> Result<(), String> {
    let instances: Vec<store::Instance> =
        serde_json::from_slice(&document.body).map_err(|e| e.to_string())?;
    let (entries, upstreams): (Vec<_>, Vec<_>) = instances
        .into_iter()
        .partition(|i| i.kind.as_str() == ENTRY_KIND);
    let members: Vec<_> = entries
        .into_iter()
        .filter(|i| !i.leaving)
        .map(|i| member(state, i))
        .collect();
    state.entry_count = u32::try_from(members.len()).unwrap_or(u32::MAX).max(1);
    state
        .quarantine
        .set_members(members.iter().map(|m| &m.name));
    handle_input(state, now, peering::Input::Members(members));
    for upstream in upstreams {
        if upstream.leaving {
            document::mark_leaving(state, now, upstream.name, Some(upstream.incarnation));
        } else {
            state
                .fleet
                .adopt_incarnation(now, &upstream.name, upstream.incarnation);
        }
    }
    Ok(())
}

fn member(state: &state::State, instance: store::Instance) -> peering::Member {
    let region = match &state.config {
        Some(config) => config.region(&instance.domain),
        None => instance.domain.clone(),
    };
    peering::Member {
        name: instance.name,
        domain: instance.domain,
        region,
        address: instance.address,
        incarnation: instance.incarnation,
    }
}
