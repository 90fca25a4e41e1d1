//! The audit trail and the command `audit`.

use guavausher_core::name;
use guavausher_core::time;
use serde_json::json;

use crate::client;
use crate::error;
use crate::operation;
use crate::outcome;
use crate::report;
use crate::table;

/// Format of a stored record.
const FORMAT: u32 = 1;

/// Digits of a time in a key; the lists are made by their leading part.
const KEY_DIGITS: usize = 20;

/// Trailing digits of microseconds that share one list, about 28 hours.
const SPAN_DIGITS: u32 = 11;

/// The most lists that one command reads, about five weeks.
const MAX_SPANS: u64 = 30;

/// Longest detail in bytes.
const MAX_DETAIL_BYTES: usize = 4_096;

/// One record: who did what, and what became of it.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Record {
    /// Format of the record.
    pub format: u32,
    /// Id of the operation.
    pub operation: name::Name,
    /// Who did it.
    pub author: name::Name,
    /// When it began.
    pub at: time::Time,
    /// What was done.
    pub action: name::Name,
    /// What it was done to.
    pub subject: name::Name,
    /// The generation that came of it or that stood in its way.
    pub generation: Option<u64>,
    /// What became of it.
    pub outcome: outcome::Outcome,
    /// More for a reader.
    #[serde(default)]
    pub detail: String,
}

impl Record {
    /// Builds the record of an operation that has not ended.
    pub fn new(operation: &operation::Operation, action: &str, subject: &str) -> Self {
        Self {
            format: FORMAT,
            operation: operation.id.clone(),
            author: operation.author.clone(),
            at: operation.at,
            action: name::Name::from(action),
            subject: name::Name::from(subject),
            generation: None,
            outcome: outcome::Outcome::Pending,
            detail: String::new(),
        }
    }

    /// Returns the key that the record is kept under.
    pub fn key(&self) -> String {
        let micros = self.at.as_micros();
        format!("audit/{micros:0KEY_DIGITS$}-{}", self.operation)
    }

    /// Keeps the record before its operation is tried.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no answer; the operation must not be tried then.
    pub fn open(&self, client: &client::Client) -> Result<(), error::Error> {
        let written = client.write(&self.key(), None, &self.operation, &self.body());
        let unreachable = |_| error::Error::Unreachable("write of the audit record".to_owned());
        written.map(drop).map_err(unreachable)
    }

    /// Keeps the outcome, in place of the record that was opened if there is one.
    ///
    /// # Errors
    ///
    /// Fails if it stays unknown whether the outcome is kept.
    pub fn close(&self, client: &client::Client) -> Result<(), error::Error> {
        let key = self.key();
        let opened = client.read(&key)?.map(|object| object.version);
        client.write(&key, opened, &self.operation, &self.body())?;
        Ok(())
    }

    fn body(&self) -> Vec<u8> {
        let mut record = self.clone();
        let mut end = record.detail.len().min(MAX_DETAIL_BYTES);
        while !record.detail.is_char_boundary(end) {
            end -= 1;
        }
        record.detail.truncate(end);
        json!(record).to_string().into_bytes()
    }
}

/// The latest records, newest first.
#[derive(Default)]
struct Trail {
    records: Vec<Record>,
    /// What is wrong with the records that are left out.
    faults: Vec<String>,
}

/// Lists the latest records, newest first; those that are not readable are left out with a warning.
///
/// # Errors
///
/// Fails if the platform gives no answer.
pub fn list(client: &client::Client, limit: usize) -> Result<report::Report, error::Error> {
    let Trail { records, faults } = read(client, limit)?;
    let mut table = table::Table::new([
        "AT",
        "AUTHOR",
        "ACTION",
        "SUBJECT",
        "GENERATION",
        "OUTCOME",
        "DETAIL",
    ]);
    for record in &records {
        let generation = record.generation.map(|generation| generation.to_string());
        table.push([
            operation::format_time(record.at),
            record.author.to_string(),
            record.action.to_string(),
            record.subject.to_string(),
            generation.unwrap_or_else(|| "-".to_owned()),
            record.outcome.to_string(),
            record.detail.lines().next().unwrap_or_default().to_owned(),
        ]);
    }
    Ok(report::Report {
        warnings: faults,
        ..report::Report::done(table.to_string(), json!(records))
    })
}

/// Reads the latest records by lists that each span a bounded time.
fn read(client: &client::Client, limit: usize) -> Result<Trail, error::Error> {
    let width = KEY_DIGITS - SPAN_DIGITS as usize;
    let newest = operation::now().as_micros() / 10_u64.pow(SPAN_DIGITS);
    let oldest = newest.saturating_sub(MAX_SPANS);
    let mut trail = Trail::default();
    for span in (oldest..=newest).rev() {
        let mut listing = client.list(&format!("audit/{span:0width$}"))?;
        listing.objects.sort_by(|a, b| b.key.cmp(&a.key));
        for entry in listing.objects {
            if trail.records.len() + trail.faults.len() == limit {
                return Ok(trail);
            }
            match fetch(client, &entry.key) {
                Ok(record) => trail.records.extend(record),
                Err(fault @ error::Error::Unreadable { .. }) => {
                    trail.faults.push(fault.to_string());
                }
                Err(error) => return Err(error),
            }
        }
    }
    Ok(trail)
}

fn fetch(client: &client::Client, key: &str) -> Result<Option<Record>, error::Error> {
    let Some(object) = client.read(key)? else {
        return Ok(None);
    };
    let record = serde_json::from_slice(&object.body);
    record.map(Some).map_err(|error| error::Error::Unreadable {
        key: key.to_owned(),
        message: error.to_string(),
    })
}
