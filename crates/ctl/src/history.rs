//! Stored configurations and the command `history`.

use guavausher_core::declaration;
use guavausher_core::name;
use guavausher_core::store;
use serde_json::json;

use crate::change;
use crate::client;
use crate::error;
use crate::operation;
use crate::report;
use crate::table;

/// Key of the configuration in force.
pub const CURRENT_KEY: &str = "config/current";

/// A stored configuration with its generation.
#[derive(Clone, Debug)]
pub struct Stored {
    /// Version of the object that holds it.
    pub generation: u64,
    /// What was stored.
    pub envelope: declaration::Envelope,
    /// The stored bytes.
    pub object: store::Object,
}

/// Returns the key of one generation in the history.
pub fn key(generation: u64) -> String {
    format!("history/{generation:020}")
}

/// Decodes a stored configuration.
///
/// # Errors
///
/// Fails if the object is not readable.
pub fn decode(key: &str, object: store::Object) -> Result<Stored, error::Error> {
    let envelope = declaration::Envelope::from_json(&object.body);
    let envelope = envelope.map_err(|error| error::Error::Unreadable {
        key: key.to_owned(),
        message: error.to_string(),
    })?;
    Ok(Stored {
        generation: object.version,
        envelope,
        object,
    })
}

/// Reads the configuration in force.
///
/// # Errors
///
/// Fails if the platform gives no answer or the object is not readable.
pub fn current(client: &client::Client) -> Result<Option<Stored>, error::Error> {
    let object = client.read(CURRENT_KEY)?;
    object.map(|object| decode(CURRENT_KEY, object)).transpose()
}

/// Reads one generation from the history.
///
/// # Errors
///
/// Fails if the platform gives no answer or the object is not readable.
pub fn entry(client: &client::Client, generation: u64) -> Result<Option<Stored>, error::Error> {
    let key = key(generation);
    let Some(object) = client.read(&key)? else {
        return Ok(None);
    };
    let stored = decode(&key, object)?;
    Ok(Some(Stored {
        generation,
        ..stored
    }))
}

/// Keeps a generation in the history; a repeated call does no harm.
///
/// # Errors
///
/// Fails if it stays unknown whether it is kept.
pub fn keep(
    client: &client::Client,
    generation: u64,
    operation: &name::Name,
    body: &[u8],
) -> Result<(), error::Error> {
    client.write(&key(generation), None, operation, body)?;
    Ok(())
}

/// Lists the latest generations, newest first.
///
/// # Errors
///
/// Fails if the platform gives no answer or an object is not readable.
pub fn list(client: &client::Client, limit: usize) -> Result<report::Report, error::Error> {
    let current = current(client)?.ok_or(error::Error::Unapplied)?;
    let newest = current.generation;
    let mut table = table::Table::new(["GENERATION", "AT", "AUTHOR", "CHANGES", "OPERATION"]);
    let mut rows = Vec::new();
    let mut newer = Some(current);
    for generation in (0..newest).rev() {
        let Some(stored) = newer.take() else { break };
        newer = entry(client, generation)?;
        let old = newer
            .as_ref()
            .map(|stored| stored.envelope.declaration.clone());
        let count = change::diff(&old.unwrap_or_default(), &stored.envelope.declaration).len();
        let envelope = &stored.envelope;
        table.push([
            stored.generation.to_string(),
            operation::format_time(envelope.at),
            envelope.author.to_string(),
            count.to_string(),
            envelope.operation.to_string(),
        ]);
        rows.push(json!({
            "generation": stored.generation,
            "at": envelope.at,
            "author": envelope.author,
            "operation": envelope.operation,
            "changes": count,
        }));
        if rows.len() == limit {
            break;
        }
    }
    Ok(report::Report::done(table.to_string(), json!(rows)))
}

/// Shows what one generation changed against the one before it.
///
/// # Errors
///
/// Fails if the generation is not kept or the platform gives no answer.
pub fn show(client: &client::Client, generation: u64) -> Result<report::Report, error::Error> {
    let stored = match current(client)? {
        Some(current) if current.generation == generation => Some(current),
        _ => entry(client, generation)?,
    };
    let stored = stored.ok_or(error::Error::Generation(generation))?;
    let before = match generation.checked_sub(1) {
        Some(before) => entry(client, before)?,
        None => None,
    };
    let before = before.map(|stored| stored.envelope.declaration);
    let changes = change::diff(&before.unwrap_or_default(), &stored.envelope.declaration);
    let envelope = &stored.envelope;
    let text = format!(
        "generation {generation} by {} at {}\n{}",
        envelope.author,
        operation::format_time(envelope.at),
        change::render(&changes)
    );
    let json = json!({
        "generation": generation,
        "at": envelope.at,
        "author": envelope.author,
        "operation": envelope.operation,
        "changes": changes,
        "declaration": envelope.declaration,
    });
    Ok(report::Report::done(text, json))
}
