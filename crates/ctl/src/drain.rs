//! The command `drain`.

use guavausher_core::name;
use serde_json::json;

use crate::audit;
use crate::client;
use crate::error;
use crate::history;
use crate::operation;
use crate::outcome;
use crate::report;

/// Prefix of the keys of drained upstreams.
pub const PREFIX: &str = "drain/";

/// Format of the stored order.
const FORMAT: u32 = 1;

/// A stored order to give an upstream no new work.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Drain {
    /// Format of the order.
    pub format: u32,
    /// Id of the operation.
    pub operation: name::Name,
    /// Who ordered it.
    pub author: name::Name,
    /// When it was ordered.
    pub at: guavausher_core::time::Time,
    /// The upstream.
    pub upstream: name::Name,
}

/// Orders that an upstream gets no new work and records the outcome.
///
/// # Errors
///
/// Fails if no such upstream is declared or the platform gives no answer.
pub fn drain(
    client: &client::Client,
    operation: &operation::Operation,
    upstream: &str,
) -> Result<report::Report, error::Error> {
    let mut record = audit::Record::new(operation, "drain", upstream);
    let stored = history::current(client)?.ok_or(error::Error::Unapplied)?;
    record.generation = Some(stored.generation);
    let upstreams = &stored.envelope.declaration.upstreams;
    if !upstreams
        .iter()
        .any(|declared| declared.name.as_str() == upstream)
    {
        let error = error::Error::Upstream(upstream.to_owned());
        record.outcome = outcome::Outcome::Refused;
        record.detail = error.to_string();
        record.open(client)?;
        return Err(error);
    }
    record.open(client)?;
    record.outcome = order(client, operation, upstream)?;
    let text = match record.outcome {
        outcome::Outcome::Unchanged => format!("{upstream} is drained already\n"),
        _ => format!("{upstream} gets no new work\n"),
    };
    let json =
        json!({ "outcome": record.outcome, "upstream": upstream, "operation": operation.id });
    let mut report = report::Report::done(text, json);
    if let Err(error) = record.close(client) {
        report
            .warnings
            .push(format!("the audit record has no outcome: {error}"));
    }
    Ok(report)
}

fn order(
    client: &client::Client,
    operation: &operation::Operation,
    upstream: &str,
) -> Result<outcome::Outcome, error::Error> {
    let order = Drain {
        format: FORMAT,
        operation: operation.id.clone(),
        author: operation.author.clone(),
        at: operation.at,
        upstream: name::Name::from(upstream),
    };
    let body = json!(order).to_string();
    let key = format!("{PREFIX}{upstream}");
    match client.write(&key, None, &operation.id, body.as_bytes())? {
        client::Write::Done(_) => Ok(outcome::Outcome::Accepted),
        client::Write::Lost(_) => Ok(outcome::Outcome::Unchanged),
    }
}
