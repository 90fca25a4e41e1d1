//! The command `apply`.

use guavausher_core::declaration;
use serde_json::json;

use crate::audit;
use crate::change;
use crate::client;
use crate::error;
use crate::exit;
use crate::history;
use crate::operation;
use crate::outcome;
use crate::plan;
use crate::report;

const ACTION: &str = "apply";

/// A declaration to store, with who stores it.
#[derive(Debug)]
pub struct Apply<'a> {
    /// The client of the platform.
    pub client: &'a client::Client,
    /// The operation.
    pub operation: operation::Operation,
    /// The generation that must be stored now, if the operator planned against one.
    pub expected: Option<u64>,
}

/// How an apply ended.
#[derive(Debug)]
struct Ending {
    outcome: outcome::Outcome,
    generation: u64,
    changes: Vec<change::Change>,
    winner: Option<history::Stored>,
}

impl Apply<'_> {
    /// Stores the declaration by a conditional write and records the outcome.
    ///
    /// # Errors
    ///
    /// Fails if the declaration is refused or the platform gives no answer.
    pub fn run(
        &self,
        declaration: &declaration::Declaration,
    ) -> Result<report::Report, error::Error> {
        let mut record = audit::Record::new(&self.operation, ACTION, &declaration.site);
        let ending = self.store(declaration, &mut record);
        let mut warnings = Vec::new();
        let ending = match ending {
            Ok(ending) => ending,
            Err(error) => {
                record.outcome = refusal(&error);
                record.detail = error.to_string();
                // An unreachable platform keeps no record either.
                if error.exit() != exit::Exit::Unreachable {
                    let _ = record.close(self.client);
                }
                return Err(error);
            }
        };
        record.outcome = ending.outcome;
        record.generation = Some(ending.generation);
        record.detail = ending.summary();
        if let Err(error) = record.close(self.client) {
            warnings.push(format!("the audit record has no outcome: {error}"));
        }
        Ok(ending.report(&self.operation, warnings))
    }

    /// Records that the files were refused before anything was tried.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no answer.
    pub fn refuse(&self, error: &error::Error) -> Result<(), error::Error> {
        let mut record = audit::Record::new(&self.operation, ACTION, "declaration");
        record.outcome = refusal(error);
        record.detail = error.to_string();
        if let error::Error::Faults { faults, .. } = error {
            record.detail = faults.iter().map(|fault| format!("{fault}\n")).collect();
        }
        record.open(self.client)
    }

    fn store(
        &self,
        declaration: &declaration::Declaration,
        record: &mut audit::Record,
    ) -> Result<Ending, error::Error> {
        let stored = history::current(self.client)?;
        let generation = stored.as_ref().map_or(0, |stored| stored.generation);
        record.generation = Some(generation);
        self.check_expected(generation)?;
        plan::check_site(stored.as_ref(), declaration)?;
        let changes = plan::changes(stored.as_ref(), declaration);
        if changes.is_empty() && stored.is_some() {
            return Ok(Ending::new(
                outcome::Outcome::Unchanged,
                generation,
                changes,
            ));
        }
        record.open(self.client)?;
        if let Some(stored) = &stored {
            self.keep(stored)?;
        }
        self.write(stored.map(|stored| stored.generation), declaration, changes)
    }

    fn write(
        &self,
        expected: Option<u64>,
        declaration: &declaration::Declaration,
        changes: Vec<change::Change>,
    ) -> Result<Ending, error::Error> {
        let envelope = declaration::Envelope {
            operation: self.operation.id.clone(),
            author: self.operation.author.clone(),
            at: self.operation.at,
            declaration: declaration.clone(),
        };
        let body = envelope
            .to_json()
            .map_err(|error| error::Error::Unreadable {
                key: history::CURRENT_KEY.to_owned(),
                message: error.to_string(),
            })?;
        let id = &self.operation.id;
        let key = history::CURRENT_KEY;
        match self.client.write(key, expected, id, body.as_bytes())? {
            client::Write::Done(generation) => {
                // The next apply keeps it if this one cannot.
                let _ = history::keep(self.client, generation, id, body.as_bytes());
                Ok(Ending::new(outcome::Outcome::Accepted, generation, changes))
            }
            client::Write::Lost(object) => self.lost(expected, object, declaration, changes),
        }
    }

    /// Ends an apply whose write came after another's.
    ///
    /// The other apply keeps the generation that it replaces, so the history tells whether this
    /// one had taken effect before.
    fn lost(
        &self,
        expected: Option<u64>,
        object: Option<guavausher_core::store::Object>,
        declaration: &declaration::Declaration,
        changes: Vec<change::Change>,
    ) -> Result<Ending, error::Error> {
        let winner = object.map(|object| history::decode(history::CURRENT_KEY, object));
        let winner = winner.transpose()?;
        let newest = winner.as_ref().map_or(0, |winner| winner.generation);
        for generation in expected.unwrap_or(0) + 1..newest {
            let kept = history::entry(self.client, generation)?;
            if kept.is_some_and(|kept| kept.envelope.operation == self.operation.id) {
                return Ok(Ending::new(outcome::Outcome::Accepted, generation, changes));
            }
        }
        Ok(Ending {
            outcome: outcome::Outcome::Conflict,
            generation: newest,
            changes: plan::changes(winner.as_ref(), declaration),
            winner,
        })
    }

    fn keep(&self, stored: &history::Stored) -> Result<(), error::Error> {
        let operation = &stored.envelope.operation;
        let body = &stored.object.body;
        let kept = history::keep(self.client, stored.generation, operation, body);
        kept.map_err(|_| error::Error::Unreachable("write of the history".to_owned()))
    }

    fn check_expected(&self, current: u64) -> Result<(), error::Error> {
        match self.expected {
            Some(wanted) if wanted != current => Err(error::Error::Stale { wanted, current }),
            _ => Ok(()),
        }
    }
}

impl Ending {
    fn new(outcome: outcome::Outcome, generation: u64, changes: Vec<change::Change>) -> Self {
        Self {
            outcome,
            generation,
            changes,
            winner: None,
        }
    }

    /// Says in one line what happened.
    fn summary(&self) -> String {
        match (&self.outcome, &self.winner) {
            (outcome::Outcome::Conflict, Some(winner)) => format!(
                "generation {} by {} (operation {}) came first",
                winner.generation, winner.envelope.author, winner.envelope.operation
            ),
            (outcome::Outcome::Unchanged, _) => "nothing to change".to_owned(),
            _ => format!("{} changes", self.changes.len()),
        }
    }

    fn report(self, operation: &operation::Operation, warnings: Vec<String>) -> report::Report {
        let summary = self.summary();
        let (exit, text) = match self.outcome {
            outcome::Outcome::Conflict => {
                let differs = change::render(&self.changes);
                let text = format!(
                    "conflict: {summary}; nothing was stored\n\
                     against it these files differ by:\n{differs}"
                );
                (exit::Exit::Conflict, text)
            }
            outcome::Outcome::Unchanged => {
                let text = format!("unchanged: generation {} says the same\n", self.generation);
                (exit::Exit::Done, text)
            }
            _ => {
                let text = format!("accepted: generation {}, {summary}\n", self.generation);
                (exit::Exit::Done, text)
            }
        };
        let json = json!({
            "outcome": self.outcome,
            "generation": self.generation,
            "operation": operation.id,
            "changes": self.changes,
            "winner": self.winner.map(|winner| json!({
                "generation": winner.generation,
                "author": winner.envelope.author,
                "operation": winner.envelope.operation,
            })),
        });
        report::Report {
            exit,
            text,
            json,
            warnings,
        }
    }
}

fn refusal(error: &error::Error) -> outcome::Outcome {
    match error.exit() {
        exit::Exit::Conflict => outcome::Outcome::Conflict,
        exit::Exit::Unreachable => outcome::Outcome::Unknown,
        _ => outcome::Outcome::Refused,
    }
}
