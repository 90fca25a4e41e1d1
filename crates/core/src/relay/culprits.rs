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

/// When engines crashed, by the identifiers of the crashes.
pub type Crashes = collections::BTreeMap<u64, time::Time>;

/// What is known of crashes.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// All crashes.
    pub all: Crashes,
    /// Crashes that count against each request and part.
    pub counted: collections::BTreeMap<subject::Subject, Crashes>,
}

/// Returns the requests and parts that explain enough crashes to be blocked.
pub fn find(evidence: &Evidence) -> collections::BTreeSet<subject::Subject> {
    let mut times: Vec<_> = evidence.all.values().copied().collect();
    times.sort_unstable();
    let candidates = evidence.counted.iter();
    let candidates = candidates.filter(|(subject, own)| own.len() >= subject.crash_limit());
    let mut unexplained: collections::BTreeMap<_, _> = candidates
        .map(|(subject, own)| (*subject, attributable(own, &times)))
        .collect();
    let mut culprits = collections::BTreeSet::new();
    loop {
        unexplained.retain(|subject, crashes| crashes.len() >= subject.crash_limit());
        let most = unexplained.values().max_by_key(|crashes| crashes.len());
        let Some(explained) = most.cloned() else {
            return culprits;
        };
        // What always ran together cannot be told apart.
        let same = unexplained
            .iter()
            .filter(|(_, crashes)| **crashes == explained);
        culprits.extend(same.map(|(subject, _)| *subject));
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

/// Returns how many of these sorted times are at the same moment.
fn count_around(times: &[time::Time], at: time::Time) -> usize {
    let first = times.partition_point(|time| *time < at.before(MOMENT));
    let end = times.partition_point(|time| *time <= at.after(MOMENT));
    end - first
}
