//! One request between its arrival and its final response.

use super::effect;
use super::fleet;
use super::request;
use crate::name;
use crate::time;

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Flight {
    /// The request.
    pub request: request::Request,
    /// Engines selected for its attempts so far, which gave no final response; none is selected
    /// again.
    pub tried: Vec<name::Name>,
    /// Number of attempts sent.
    pub attempts: u32,
    /// Attempts in progress, in the order of their numbers; each was sent when those before it were
    /// silent.
    pub running: Vec<Attempt>,
    /// Whether an engine may have run it.
    pub may_have_run: bool,
    /// Whether it was counted for the usage report.
    pub counted: bool,
    /// Whether an engine's failure response is held back and can be forwarded.
    pub holds_failure: bool,
    /// Whether the caller has received a part of the response.
    pub responding: bool,
    /// Why the last attempt that failed was not followed by another one.
    pub no_retry: Option<effect::NoRetry>,
}

impl Flight {
    /// Returns the attempt in progress with this number.
    pub fn attempt(&self, number: usize) -> Option<&Attempt> {
        self.running.iter().find(|a| a.number == number)
    }

    /// Returns the attempt in progress with this number.
    pub fn attempt_mut(&mut self, number: usize) -> Option<&mut Attempt> {
        self.running.iter_mut().find(|a| a.number == number)
    }

    /// Removes and returns the attempt in progress with this number.
    pub fn take_attempt(&mut self, number: usize) -> Option<Attempt> {
        let index = self.running.iter().position(|a| a.number == number)?;
        Some(self.running.remove(index))
    }

    /// Returns the number of the attempt that was sent last, from 1.
    pub fn last_attempt(&self) -> usize {
        self.tried.len()
    }

    /// Returns since when nothing has arrived from any attempt in progress; `None` if one is not
    /// silent.
    pub fn silent_since(&self) -> Option<time::Time> {
        let since = self.running.iter().map(|a| a.silent_since);
        since.collect::<Option<Vec<_>>>()?.into_iter().max()
    }
}

/// An attempt in progress.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its number, from 1.
    pub number: usize,
    /// The engine.
    pub choice: fleet::Choice,
    /// When it was sent.
    pub began: time::Time,
    /// Whether its first event has arrived.
    pub has_first_event: bool,
    /// Since when nothing has arrived from it, if that is too long.
    pub silent_since: Option<time::Time>,
    /// Whether nothing had arrived from it for too long at some time.
    pub was_silent: bool,
    /// Whether it continues a response that another engine began.
    pub is_resumed: bool,
}

impl Attempt {
    /// Returns the time up to which a response that arrives now shows that failures at its engine
    /// were no crash.
    pub const fn alive_since(&self, now: time::Time) -> time::Time {
        match self.was_silent {
            true => now,
            false => self.began,
        }
    }
}
