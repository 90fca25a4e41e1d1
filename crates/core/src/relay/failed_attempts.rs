//! Attempts that ended without a whole answer, until it is known whether their engine has ended.
//!
//! A channel that breaks shows no more than that: an engine may reset one and live on. It has ended
//! if it is gone from the list or has started anew, or if all its channels broke and it says
//! nothing any more.

use std::collections;
use std::time::Duration;

use super::fleet;
use crate::name;
use crate::time;

/// Time after which an engine whose channels broke, and that has not answered since, has ended.
const JUDGEMENT: Duration = Duration::from_secs(1);
/// How long an attempt is kept for the list to show the end of its engine.
const MEMORY: Duration = Duration::from_secs(10);
/// Attempts that are kept; the oldest makes room.
const MAX_ATTEMPTS: usize = 512;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Symptom {
    /// Its channel broke.
    Broken,
    /// It was given up while the engine said nothing.
    Silent,
}

/// An attempt that ended without a whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FailedAttempt {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// The engine.
    pub engine: name::Name,
    /// The engine's start.
    pub incarnation: u64,
    /// How the attempt ended.
    pub symptom: Symptom,
    /// When it ended.
    pub at: time::Time,
}

/// Attempts that wait for a judgement of their engine.
#[derive(Clone, Debug, Default)]
pub struct FailedAttempts {
    open: collections::VecDeque<FailedAttempt>,
    /// When the latest attempt that got an answer had begun, at any engine.
    answered: time::Time,
}

impl FailedAttempts {
    /// Keeps an attempt until its engine is judged.
    pub fn record(&mut self, new: FailedAttempt) {
        if self.open.len() >= MAX_ATTEMPTS {
            self.open.pop_front();
        }
        self.open.push_back(new);
    }

    /// Tells whether no attempt waits.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Takes an answer to an attempt that began then: what broke at this engine before was not its
    /// end.
    pub fn record_response(&mut self, choice: &fleet::Choice, began: time::Time) {
        self.answered = self.answered.max(began);
        self.open
            .retain(|b| !b.is_at(&choice.engine, choice.incarnation) || b.at > began);
    }

    /// Takes the end of an engine; returns what it ended under.
    pub fn remove_crashed(&mut self, engine: &name::Name, incarnation: u64) -> Vec<FailedAttempt> {
        self.take(|b| b.engine == *engine && b.incarnation <= incarnation)
    }

    /// Returns attempts at engines that have said nothing for so long that they have ended, and
    /// forgets those that are too old; `is_busy` tells whether an attempt that began before still
    /// runs at the engine.
    pub fn remove_confirmed(
        &mut self,
        now: time::Time,
        is_busy: impl Fn(&FailedAttempt) -> bool,
    ) -> Vec<FailedAttempt> {
        self.open.retain(|b| b.at.after(MEMORY) > now);
        // An instance that no engine answers may be cut off itself.
        let answered = self.answered;
        let is_due = |b: &FailedAttempt| b.at.after(JUDGEMENT) <= now && b.at <= answered;
        self.take(|b| b.symptom == Symptom::Broken && is_due(b) && !is_busy(b))
    }

    fn take(&mut self, is_taken: impl Fn(&FailedAttempt) -> bool) -> Vec<FailedAttempt> {
        let open = std::mem::take(&mut self.open);
        let (taken, kept) = open.into_iter().partition(is_taken);
        self.open = kept;
        Vec::from(taken)
    }
}

impl FailedAttempt {
    fn is_at(&self, engine: &name::Name, incarnation: u64) -> bool {
        self.engine == *engine && self.incarnation == incarnation
    }
}
