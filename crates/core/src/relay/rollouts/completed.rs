//! A version whose rollout is completed, and that may go bad afterwards.

use std::collections;

use crate::name;
use crate::relay::version_stats;

/// Recent responses of a route; the older half is forgotten.
const MAX_RECENT: u32 = 64;

/// Responses of a completed version at this process.
#[derive(Clone, Debug, Default)]
pub(super) struct Completed {
    /// Responses of the old version until the rollout was completed, by route.
    old: collections::BTreeMap<name::Name, version_stats::VersionStats>,
    recent: collections::BTreeMap<name::Name, version_stats::VersionStats>,
    is_failing: bool,
}

impl Completed {
    /// Builds it from what is known of both versions by route.
    pub fn new(pairs: collections::BTreeMap<name::Name, version_stats::Pair>) -> Self {
        let old = pairs.into_iter().map(|(route, pair)| (route, pair.old));
        Self {
            old: old.collect(),
            ..Self::default()
        }
    }

    /// Returns `true` if the recent responses are bad.
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// Records a response; returns whether the version is failing if that has changed.
    pub fn record(&mut self, route: &name::Name, is_success: bool) -> Option<bool> {
        let recent = self.recent.entry(route.clone()).or_default();
        recent.responses += 1;
        recent.errors += u32::from(!is_success);
        if recent.responses >= MAX_RECENT {
            recent.responses /= 2;
            recent.errors /= 2;
        }
        let is_failing = self.recent.iter().any(|(route, new)| {
            let old = self.old.get(route).copied().unwrap_or_default();
            is_failing(*new, old)
        });
        let was_failing = std::mem::replace(&mut self.is_failing, is_failing);
        (is_failing != was_failing).then_some(is_failing)
    }
}

/// Returns `true` if recent responses are worse than those of the old version or, where too little
/// is known of that one, mostly errors.
fn is_failing(new: version_stats::VersionStats, old: version_stats::VersionStats) -> bool {
    let is_compared = old.responses >= version_stats::MIN_RESPONSES;
    let is_mostly_failing = new.errors > new.responses / 2;
    version_stats::is_bad(&version_stats::Pair { new, old }) && (is_compared || is_mostly_failing)
}
