//! The command `drain`.

use guavausher_core::name;
use serde_json::json;

use crate::audit;
use crate::client;
use crate::error;
use crate::exit;
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

/// What to do with an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Give it no new work.
    Start,
    /// Give it work again.
    Undo,
}

impl Action {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Start => "drain",
            Self::Undo => "undo-drain",
        }
    }
}

/// Orders a drain or takes the order back, and records the outcome.
///
/// # Errors
///
/// Fails if no such upstream is declared or the platform gives no answer.
pub fn drain(
    client: &client::Client,
    operation: &operation::Operation,
    upstream: &str,
    action: Action,
) -> Result<report::Report, error::Error> {
    let mut record = audit::Record::new(operation, action.as_str(), upstream);
    let stored = history::current(client)?.ok_or(error::Error::Unapplied)?;
    record.generation = Some(stored.generation);
    let upstreams = &stored.envelope.declaration.upstreams;
    let mut names = upstreams.iter().map(|declared| declared.name.as_str());
    if !names.any(|name| name == upstream) {
        let error = error::Error::Upstream(upstream.to_owned());
        record.outcome = outcome::Outcome::Refused;
        record.detail = error.to_string();
        record.open(client)?;
        return Err(error);
    }
    record.open(client)?;
    record.outcome = match action {
        Action::Start => order(client, operation, upstream)?,
        Action::Undo => undo(client, operation, upstream)?,
    };
    let json =
        json!({ "outcome": record.outcome, "upstream": upstream, "operation": operation.id });
    let mut report = report::Report::done(text(action, record.outcome, upstream), json);
    if record.outcome == outcome::Outcome::Conflict {
        report.exit = exit::Exit::Conflict;
    }
    if let Err(error) = record.close(client) {
        report
            .warnings
            .push(format!("the audit record has no outcome: {error}"));
    }
    Ok(report)
}

fn text(action: Action, outcome: outcome::Outcome, upstream: &str) -> String {
    match (action, outcome) {
        (_, outcome::Outcome::Conflict) => {
            format!("conflict: {upstream} was drained again meanwhile; nothing was changed\n")
        }
        (Action::Start, outcome::Outcome::Unchanged) => format!("{upstream} is drained already\n"),
        (Action::Start, _) => format!("drain of {upstream} is ordered\n"),
        (Action::Undo, outcome::Outcome::Unchanged) => format!("{upstream} is not drained\n"),
        (Action::Undo, _) => format!("drain of {upstream} is taken back\n"),
    }
}

fn undo(
    client: &client::Client,
    operation: &operation::Operation,
    upstream: &str,
) -> Result<outcome::Outcome, error::Error> {
    let key = format!("{PREFIX}{upstream}");
    let Some(object) = client.read(&key)? else {
        return Ok(outcome::Outcome::Unchanged);
    };
    match client.remove(&key, object.version, &operation.id)? {
        true => Ok(outcome::Outcome::Accepted),
        false => Ok(outcome::Outcome::Conflict),
    }
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
