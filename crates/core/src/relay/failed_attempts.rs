//! Attempts that were silent or ended without a complete response, kept until it is known whether their engine
//! crashed.
//!
//! A broken connection alone is no proof of a crash: an engine may reset one and keep running. It
//! crashed if it is missing from the list or has restarted, or if all its connections broke and it
//! has not responded since.

use std::collections;
use std::time::Duration;

use super::crash_report;
use super::fleet;
use super::subject;
use crate::name;
use crate::time;

/// Time after which an engine whose connections broke, and that has not responded since, counts as
/// crashed.
const CONFIRMATION_DELAY: Duration = Duration::from_secs(1);
/// How long an attempt is kept for the list to show that its engine crashed.
const RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of attempts kept; the oldest is evicted.
const MAX_ATTEMPTS: usize = 512;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Symptom {
    /// Its connection broke.
    Broken,
    /// Its connection was closed where the response may have been complete.
    Closed,
    /// The engine had not responded for too long, or had its time left when the request ended.
    Silent,
}

/// An attempt that was silent or ended without a complete response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FailedAttempt {
    /// The request and the parts of its prompt.
    pub subjects: Vec<subject::Subject>,
    /// The engine.
    pub engine: name::Name,
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// How the attempt failed.
    pub symptom: Symptom,
    /// When it ended or was silent.
    pub at: time::Time,
}

/// Failed attempts whose engine may have crashed.
#[derive(Clone, Debug, Default)]
pub struct FailedAttempts {
    pending: collections::VecDeque<FailedAttempt>,
    /// Latest start of an attempt that got a response, at any engine.
    latest_start: time::Time,
}

impl FailedAttempts {
    /// Keeps an attempt until it is known whether its engine crashed.
    pub fn record(&mut self, new: FailedAttempt) {
        if new.symptom == Symptom::Broken {
            self.suspect_closed(&new.engine, new.incarnation);
        }
        if self.pending.len() >= MAX_ATTEMPTS {
            self.pending.pop_front();
        }
        self.pending.push_back(new);
    }

    /// Treats closed connections to an engine as broken ones, since it accepts no connection or
    /// another one to it broke.
    pub fn suspect_closed(&mut self, engine: &name::Name, incarnation: u64) {
        let at_engine = |a: &&mut FailedAttempt| a.is_at(engine, incarnation);
        let closed = self.pending.iter_mut().filter(at_engine);
        for attempt in closed.filter(|a| a.symptom == Symptom::Closed) {
            attempt.symptom = Symptom::Broken;
        }
    }

    /// Returns `true` if no attempt is kept.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Records a response to an attempt that began at `began`: earlier failures at this engine were
    /// no crash. Returns those whose connection was closed, so that their responses were complete.
    pub fn record_response(
        &mut self,
        choice: &fleet::Choice,
        began: time::Time,
    ) -> Vec<FailedAttempt> {
        self.latest_start = self.latest_start.max(began);
        let refuted =
            self.remove_where(|a| a.is_at(&choice.engine, choice.incarnation) && a.at <= began);
        let closed = refuted.into_iter().filter(|a| a.symptom == Symptom::Closed);
        closed.collect()
    }

    /// Removes and returns the failed attempts at an engine that crashed.
    pub fn remove_crashed(&mut self, engine: &name::Name, incarnation: u64) -> Vec<FailedAttempt> {
        self.remove_where(|a| a.engine == *engine && a.incarnation <= incarnation)
    }

    /// Removes and returns the failed attempts at engines whose crashes another instance has seen.
    pub fn remove_reported(&mut self, crashes: &collections::BTreeSet<u64>) -> Vec<FailedAttempt> {
        let crash_id = |a: &FailedAttempt| crash_report::crash_id(&a.engine, a.incarnation);
        self.remove_where(|a| crashes.contains(&crash_id(a)))
    }

    /// Removes and returns the attempts whose engine has not responded for so long that it counts
    /// as crashed, and drops those past their retention; `is_busy` returns `true` if an attempt
    /// that began earlier still runs at the engine.
    pub fn remove_confirmed(
        &mut self,
        now: time::Time,
        is_busy: impl Fn(&FailedAttempt) -> bool,
    ) -> Vec<FailedAttempt> {
        self.pending.retain(|a| a.at.after(RETENTION) > now);
        // An instance to which no engine responds may itself be partitioned from them.
        let latest_start = self.latest_start;
        let is_due =
            |a: &FailedAttempt| a.at.after(CONFIRMATION_DELAY) <= now && a.at <= latest_start;
        self.remove_where(|a| a.symptom == Symptom::Broken && is_due(a) && !is_busy(a))
    }

    fn remove_where(&mut self, matches: impl Fn(&FailedAttempt) -> bool) -> Vec<FailedAttempt> {
        let pending = std::mem::take(&mut self.pending);
        let (removed, kept) = pending.into_iter().partition(matches);
        self.pending = kept;
        Vec::from(removed)
    }
}

impl FailedAttempt {
    fn is_at(&self, engine: &name::Name, incarnation: u64) -> bool {
        self.engine == *engine && self.incarnation == incarnation
    }
}
