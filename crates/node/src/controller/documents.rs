//! Documents of the entry as events of the controller.

use std::sync;

use guavausher_core::control;
use guavausher_core::declaration;
use guavausher_core::peering;
use guavausher_core::rollout;
use guavausher_core::store;

/// The kind of instance that a controller runs beside.
const ENTRY_KIND: &str = "entry";

/// Decodes a document; a bad one is logged and left out.
pub fn event(document: &peering::Document) -> Option<control::Event> {
    let decoded = match document.topic {
        peering::Topic::Config => config(document),
        peering::Topic::Members => members(document),
        peering::Topic::Rollouts => rollouts(document),
    };
    match decoded {
        Ok(event) => Some(event),
        Err(fault) => {
            let topic = document.topic;
            log::error!(topic:?, generation = document.generation, fault; "document left out");
            None
        }
    }
}

fn config(document: &peering::Document) -> Result<control::Event, String> {
    let envelope = declaration::Envelope::from_json(&document.body).map_err(|e| e.to_string())?;
    Ok(control::Event::Config {
        generation: document.generation,
        declaration: sync::Arc::new(envelope.declaration),
    })
}

fn members(document: &peering::Document) -> Result<control::Event, String> {
    let instances: Vec<store::Instance> =
        serde_json::from_slice(&document.body).map_err(|e| e.to_string())?;
    let entries = instances
        .into_iter()
        .filter(|instance| instance.kind.as_str() == ENTRY_KIND && !instance.leaving);
    Ok(control::Event::Members(entries.map(member).collect()))
}

fn member(instance: store::Instance) -> peering::Member {
    peering::Member {
        name: instance.name,
        region: instance.domain.clone(),
        domain: instance.domain,
        address: instance.address,
        incarnation: instance.incarnation,
    }
}

fn rollouts(document: &peering::Document) -> Result<control::Event, String> {
    let book = rollout::Table::decode(&document.body).map_err(|e| e.to_string())?;
    Ok(control::Event::Rollouts {
        version: document.generation,
        book,
    })
}
