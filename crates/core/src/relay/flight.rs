//! One request between its arrival and its final answer.

use super::fleet;
use super::request;
use crate::name;
use crate::time;

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Flight {
    /// The request.
    pub request: request::Request,
    /// Engines that it was meant for and did not get an answer from.
    pub tried: Vec<name::Name>,
    /// Engines that it has been sent to.
    pub attempts: u32,
    /// The attempt under way.
    pub attempt: Option<Attempt>,
    /// Whether some engine may have run it.
    pub may_have_run: bool,
    /// Whether it was counted for the usage report.
    pub counted: bool,
    /// Whether an engine's answer that states a failure is held back and can be passed on.
    pub holds_failure: bool,
    /// Whether the caller has got a part of the answer.
    pub responding: bool,
}

/// An attempt under way.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Where.
    pub choice: fleet::Choice,
    /// When it was sent.
    pub began: time::Time,
    /// Whether its first event has come.
    pub has_first_event: bool,
}
