//! Results of a simulation of engines that crash.

use std::collections;
use std::time::Duration;

use super::fleet::STEP;

/// A run of a crashing request at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Step at which it began.
    pub at: u64,
    /// Step at which the instance that sent the request had started.
    pub since: u64,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Runs of the crashing request.
    pub runs: Vec<Run>,
    /// Steps at which an engine crashed.
    pub crashes: Vec<u64>,
    /// Other requests that were refused as suspect.
    pub blocked: u64,
    /// Steps at which these were refused.
    pub blocked_steps: collections::BTreeSet<u64>,
    /// Other requests that got a complete response.
    pub answered: u64,
    /// Runs of requests with each crashing part.
    pub part_runs: collections::BTreeMap<usize, Vec<Run>>,
    /// Steps at which an engine crashed by each crashing part.
    pub part_crashes: collections::BTreeMap<usize, Vec<u64>>,
    /// Requests with each crashing part that were refused as suspect.
    pub part_blocked: collections::BTreeMap<usize, u64>,
    /// Calls of the store for what is known of crashes.
    pub store_calls: u64,
}

impl Outcome {
    /// Returns the number of runs of requests with a crashing part later than `after` the fifth
    /// crash by it, sent by instances that had run for as long.
    pub fn late_part_runs(&self, part: usize, after: Duration) -> usize {
        let steps = after.as_millis() as u64 / STEP;
        let crashes = self.part_crashes.get(&part);
        let Some(fifth) = crashes.and_then(|crashes| crashes.get(4)) else {
            return 0;
        };
        let is_late = |run: &&Run| run.at > fifth + steps && run.at >= run.since + steps;
        let runs = self.part_runs.get(&part).into_iter().flatten();
        runs.filter(is_late).count()
    }

    /// Returns the longest time in which sound requests were refused again and again.
    pub fn longest_block(&self) -> Duration {
        /// Steps without a refusal that end a block.
        const PAUSE_STEPS: u64 = 40;
        let mut longest = 0;
        let mut first = None;
        let mut last = 0;
        for step in &self.blocked_steps {
            if first.is_none() || *step > last + PAUSE_STEPS {
                first = Some(*step);
            }
            last = *step;
            longest = longest.max(last - first.unwrap_or(last));
        }
        Duration::from_millis(longest * STEP)
    }

    /// Returns the number of runs of the crashing request later than `after` the third crash, sent by
    /// instances that had run for as long.
    pub fn late_runs_in_touch(&self, after: Duration) -> usize {
        let steps = after.as_millis() as u64 / STEP;
        let Some(third) = self.crashes.get(2) else {
            return 0;
        };
        let is_late = |run: &&Run| run.at > third + steps && run.at >= run.since + steps;
        self.runs.iter().filter(is_late).count()
    }

    /// Returns the number of runs of the crashing request later than `after` the third crash.
    pub fn late_runs(&self, after: Duration) -> usize {
        let steps = after.as_millis() as u64 / STEP;
        let Some(third) = self.crashes.get(2) else {
            return 0;
        };
        self.runs
            .iter()
            .filter(|run| run.at > third + steps)
            .count()
    }
}
