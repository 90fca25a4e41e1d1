//! Whether enough is known of a new version to complete its rollout.

use super::sequential;
use super::tally;
use crate::relay::version_stats;

/// Share of the requests that a version may get for which it must have responded to pass.
const MIN_SEEN_SHARE: f64 = 0.3;
/// Error rate of the old version on a route from which failures of the new one say nothing.
const USUAL_FAILURE_RATE: f64 = 0.5;

/// What is known of a new version on one route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Evidence {
    /// Its responses show that it is sound.
    Sufficient,
    /// Its responses do not decide, or the route has too few requests.
    Undecided,
    /// The route has requests enough, but the new version has hardly responded to any.
    Missing,
    /// A bad version would explain its responses better than a sound one.
    Suspect,
}

/// Returns what is known of a new version that gets `share` of the requests of one of so many routes, beside
/// an old version with the responses `old` on all of them.
pub(super) fn of_route(
    tally: &tally::Tally,
    old: version_stats::VersionStats,
    routes: usize,
    share: f64,
) -> Evidence {
    let pair = &tally.pair;
    let has_only_errors = pair.new.has_only_errors() && pair.old.error_rate() < USUAL_FAILURE_RATE;
    let finding = sequential::Weights::new(pair.old, old).judge(tally, routes);
    if has_only_errors || version_stats::may_be_slow(pair) {
        return Evidence::Suspect;
    }
    match finding {
        sequential::Finding::Bad | sequential::Finding::Suspect => return Evidence::Suspect,
        sequential::Finding::Sound => return Evidence::Sufficient,
        sequential::Finding::Undecided => {}
    }
    let responses = f64::from(pair.new.responses + pair.old.responses);
    let expected = (responses * share * MIN_SEEN_SHARE).floor();
    let seen = f64::from(pair.new.started());
    match seen < expected.min(f64::from(version_stats::MIN_RESPONSES)) {
        true => Evidence::Missing,
        false => Evidence::Undecided,
    }
}

/// Returns `true` if a new version has enough responses on all routes together: enough to be judged
/// or, for a service with few requests, a minimum part of the share that it may get.
pub(super) fn is_enough(sum: &version_stats::Pair, share: f64) -> bool {
    let max_responses = f64::from(sum.new.responses + sum.old.responses) * share;
    let enough = f64::from(version_stats::MIN_TIMED).min(max_responses * MIN_SEEN_SHARE);
    f64::from(sum.new.responses) >= enough
}
