//! The requests of a script, and what engines record of them.

use std::cell;
use std::time::Duration;

use super::plan::{Kind, Plan, Route};

/// A request of a script.
#[derive(Clone, Debug)]
pub struct Asked {
    pub id: String,
    pub route: Route,
    /// HTTP version of the caller, and whether its connection is to be kept.
    pub version: Version,
    /// Whether it is sent together with the request before it.
    pub is_pipelined: bool,
    /// How often the body repeats its text.
    pub repeats: usize,
    /// How long the caller waits.
    pub left: Duration,
    /// Events of the stream, or lines of the body.
    pub parts: usize,
    /// What the engines do with its first, second and further attempts.
    pub plans: Vec<Plan>,
}

/// How a caller speaks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Version {
    Http11,
    Http10,
    Http10Keep,
}

impl Asked {
    pub fn body(&self) -> String {
        format!("body of {} ", self.id).repeat(self.repeats)
    }
}

/// A request as it reached an engine, and what the engine sent.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: usize,
    pub attempt: usize,
    pub plan: Plan,
    pub status: u16,
    pub stamp: String,
    /// Events or lines of the complete body; those before `first` were received before.
    pub parts: Vec<String>,
    pub first: usize,
    /// The body of a response that may look complete; `None` if it must look broken.
    pub complete: Option<String>,
    /// What the engine wrote before the response, of earlier requests.
    pub earlier: String,
    /// Whether a byte of the body comes before the interruption.
    pub has_sent_body: bool,
    /// Whole events that come before the interruption.
    pub sent_events: usize,
    /// Whether the engine keeps the connection open though the response is not complete.
    pub is_held: bool,
    /// Whether the engine got another body than the request's.
    pub is_body_wrong: bool,
    /// Whether the connection has ended, with this as its last request.
    pub is_closed: bool,
    /// Whether the attempt before it went on though this one had responded.
    pub is_in_vain: bool,
}

impl Run {
    pub fn has_run(&self) -> bool {
        !matches!(self.plan.kind, Kind::Refusal(_))
    }

    pub fn body(&self) -> String {
        self.parts[self.first..].concat()
    }
}

/// What has happened to a request at all engines.
#[derive(Debug, Default)]
pub struct Record {
    /// Attempts that have reached an engine.
    pub attempts: cell::Cell<usize>,
    pub runs: cell::RefCell<Vec<Run>>,
    /// Whether the second attempt has got to where the first one may go on.
    pub is_joined: cell::Cell<bool>,
}

/// The requests of a script, and the engines' records of them.
#[derive(Debug)]
pub struct Script {
    pub asked: Vec<Asked>,
    pub records: Vec<Record>,
}

impl Script {
    pub fn new(asked: Vec<Asked>) -> Self {
        let records = asked.iter().map(|_| Record::default()).collect();
        Self { asked, records }
    }

    /// Waits until no engine holds a connection for a request that has ended.
    pub async fn wait_closed(&self, limit: Duration) {
        let is_closed = |record: &Record| {
            let runs = record.runs.borrow();
            runs.iter().all(|r| !r.is_held || r.is_closed)
        };
        wait(|| self.records.iter().all(is_closed), limit).await;
    }

    /// Changes the run of an attempt.
    pub fn change(&self, current: Current, change: impl FnOnce(&mut Run)) {
        let mut runs = self.records[current.index].runs.borrow_mut();
        let run = runs.iter_mut().find(|r| r.attempt == current.attempt);
        change(run.unwrap());
    }

    /// Returns `true` if the connection of the first attempt has ended.
    pub fn is_first_closed(&self, index: usize) -> bool {
        let runs = self.records[index].runs.borrow();
        runs.iter().all(|r| r.attempt != 0 || r.is_closed)
    }
}

/// Waits until a condition holds, or for at most `limit`.
pub async fn wait(condition: impl Fn() -> bool, limit: Duration) {
    /// Time between two checks.
    const CHECK_INTERVAL: Duration = Duration::from_millis(1);
    let end = tokio::time::Instant::now() + limit;
    while !condition() && tokio::time::Instant::now() < end {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// The attempt that a connection serves.
#[derive(Clone, Copy, Debug)]
pub struct Current {
    pub index: usize,
    pub attempt: usize,
}
