//! Which requests and parts of prompts explain crashes of engines.
//!
//! What runs at an engine that crashes is not always the cause: a sound part often comes with a
//! crashing one. Of all that ran at crashed engines, what explains most crashes is the cause of
//! them, and only the crashes that it does not explain count against the others. Engines that crash
//! at the same moment, as with a failure domain, have a common cause; it is no request or part that
//! ran at few of them.

use std::collections;
use std::time::Duration;

use super::subject;
use crate::time;

/// Time within which crashes are at the same moment.
const MOMENT: Duration = Duration::from_millis(100);
/// One of so many engines that crash at the same moment ran a request or part that may be the cause.
const COMMON_CAUSE_DIVISOR: usize = 3;

/// Number of crashes that no other cause explains after which a request or part is blocked that has
/// enough crashes in all and to which no engine has responded completely. Engines that run two
/// crashing parts at a time show crashes of both.
const UNEXPLAINED_LIMIT: usize = 2;

/// When engines crashed, by the identifiers of the crashes.
pub type Crashes = collections::BTreeMap<u64, time::Time>;

/// What is known of crashes.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// All crashes.
    pub all: Crashes,
    /// Crashes that count against each request and part.
    pub counted: collections::BTreeMap<subject::Subject, Crashes>,
    /// Requests and parts to which engines have responded completely in the meantime.
    pub completed: collections::BTreeSet<subject::Subject>,
    /// Crashes that belong to an earlier one with the same cause, and that one.
    pub duplicates: collections::BTreeMap<u64, u64>,
}

impl Evidence {
    /// Returns the crashes that count against each request and part, without those among many others at the
    /// same moment, and of several with the same cause only the first.
    pub fn attributed(
        &self,
    ) -> collections::BTreeMap<subject::Subject, collections::BTreeSet<u64>> {
        let times = self.times();
        let counted = self.counted.iter();
        let counted = counted.filter(|(_, own)| !own.is_empty());
        counted
            .map(|(subject, own)| (*subject, self.distinct(attributable(own, &times))))
            .collect()
    }

    /// Returns when engines crashed, in order.
    fn times(&self) -> Vec<time::Time> {
        let mut times: Vec<_> = self.all.values().copied().collect();
        times.sort_unstable();
        times
    }

    /// Replaces crashes with the same cause by the first of them.
    fn distinct(&self, crashes: collections::BTreeSet<u64>) -> collections::BTreeSet<u64> {
        let first = |id| *self.duplicates.get(&id).unwrap_or(&id);
        crashes.into_iter().map(first).collect()
    }

    /// Returns how sure it is that these have caused the crashes, beside the culprits known already.
    fn certainty(
        &self,
        explained: &collections::BTreeSet<u64>,
        same: &[subject::Subject],
        culprits: &collections::BTreeMap<subject::Subject, Certainty>,
    ) -> Certainty {
        /// How many crashes fewer another one explains if it is nearly as likely.
        const MARGIN: usize = 1;
        let is_other = |s: &subject::Subject| !same.contains(s) && !culprits.contains_key(s);
        let mut others = self.counted.iter().filter(|(s, _)| is_other(s));
        let is_near = others.any(|(_, own)| {
            let shared = own.keys().filter(|id| explained.contains(*id));
            own.len() > MARGIN && shared.count() + MARGIN >= explained.len()
        });
        let is_short = same.iter().any(|s| explained.len() < s.crash_limit());
        match is_near || is_short {
            true => Certainty::Ambiguous,
            false => Certainty::Clear,
        }
    }
}

/// How sure it is that a request or part is the cause of crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Certainty {
    /// Others explain far fewer crashes.
    Clear,
    /// Others explain nearly as many, which reports on the way may change.
    Ambiguous,
}

/// Returns the requests and parts that explain enough crashes to be blocked.
pub fn find(evidence: &Evidence) -> collections::BTreeMap<subject::Subject, Certainty> {
    let times = evidence.times();
    let candidates = evidence.counted.iter();
    let candidates = candidates.filter(|(subject, own)| own.len() >= subject.crash_limit());
    let mut unexplained: collections::BTreeMap<_, _> = candidates
        .map(|(subject, own)| (*subject, evidence.distinct(attributable(own, &times))))
        .collect();
    unexplained.retain(|subject, crashes| crashes.len() >= subject.crash_limit());
    let totals: collections::BTreeMap<_, _> = unexplained
        .iter()
        .map(|(subject, crashes)| (*subject, crashes.len()))
        .collect();
    let mut culprits = collections::BTreeMap::new();
    loop {
        unexplained.retain(|subject, crashes| {
            let is_first = culprits.is_empty() || evidence.completed.contains(subject);
            let limit = match is_first {
                true => subject.crash_limit(),
                false => UNEXPLAINED_LIMIT,
            };
            crashes.len() >= limit
        });
        let most = unexplained
            .iter()
            .max_by_key(|(subject, crashes)| (crashes.len(), totals.get(*subject)));
        let Some(explained) = most.map(|(_, crashes)| crashes.clone()) else {
            return culprits;
        };
        // What always ran together cannot be told apart.
        let same = unexplained
            .iter()
            .filter(|(_, crashes)| **crashes == explained);
        let same: Vec<_> = same.map(|(subject, _)| *subject).collect();
        let certainty = evidence.certainty(&explained, &same, &culprits);
        culprits.extend(same.into_iter().map(|subject| (subject, certainty)));
        for crashes in unexplained.values_mut() {
            crashes.retain(|crash| !explained.contains(crash));
        }
    }
}

/// Returns the crashes of one request or part without those among many others at the same moment.
fn attributable(own: &Crashes, all: &[time::Time]) -> collections::BTreeSet<u64> {
    let mut times: Vec<_> = own.values().copied().collect();
    times.sort_unstable();
    let is_attributable =
        |at: time::Time| count_around(&times, at) * COMMON_CAUSE_DIVISOR >= count_around(all, at);
    let crashes = own.iter().filter(|(_, at)| is_attributable(**at));
    crashes.map(|(id, _)| *id).collect()
}

/// Returns `true` if so many of these sorted crashes happened at the same moment that they may have a
/// common cause other than what ran at all of them.
pub fn may_be_common(times: &[time::Time]) -> bool {
    /// Lowest number of crashes with a common cause.
    const MIN_CRASHES: usize = 3;
    let around = times.iter().map(|at| count_around(times, *at));
    let most = around.max().unwrap_or(0);
    most >= MIN_CRASHES && most * 2 >= times.len()
}

/// Returns how many of these sorted times are at the same moment.
fn count_around(times: &[time::Time], at: time::Time) -> usize {
    let first = times.partition_point(|time| *time < at.before(MOMENT));
    let end = times.partition_point(|time| *time <= at.after(MOMENT));
    end - first
}
