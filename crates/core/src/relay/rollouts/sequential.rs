//! Sequential test of the errors of a new version on one route.
//!
//! This is Wald's test of two error rates: that of the old version, and the rate of a version that also fails
//! a quarter of what the old one serves. Each response moves the log-likelihood ratio up or down; between the limits
//! for a bad and a sound version more responses are needed. A fixed number of responses cannot tell both: few
//! of them have too few errors to show a bad version, and a few errors among many are usual.

use super::tally;
use crate::relay::version_stats;

/// Part of the sound responses that a bad version fails.
const EXCESS: f64 = 0.25;
/// Lowest error rate that is assumed of the old version.
const MIN_RATE: f64 = 0.01;
/// Highest error rate that is assumed of it, so that a bad version can fail more.
const MAX_RATE: f64 = 0.99;
/// Responses that the old version's rate on all routes counts for on each of them.
const PRIOR_RESPONSES: f64 = 10.0;
/// Log-likelihood ratio above which a version is bad: e^7 to 1.
const BAD: f64 = 7.0;
/// Log-likelihood ratio below which a version is sound: 1 to e^4.
const SOUND: f64 = -4.0;
/// Errors below which a version is not called bad before the last decision: a lost failure domain breaks
/// a few connections at once.
const MIN_ERRORS: u32 = 4;
/// Ratio by which a bad version has to be likelier than a sound one at the last decision, for each route: a
/// bad version may be bad on any of them.
const LAST_RATIO: f64 = 4.0;

/// Result of the test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Finding {
    /// The version is bad.
    Bad,
    /// It is to be taken for bad unless further responses show otherwise.
    Suspect,
    /// It is to be taken for sound unless further responses show otherwise.
    Undecided,
    /// The version is sound.
    Sound,
}

/// What one response of the new version adds to the log-likelihood ratio.
#[derive(Clone, Copy, Debug)]
pub(super) struct Weights {
    error: f64,
    /// Negative.
    success: f64,
}

impl Weights {
    /// Returns the weights beside an old version with these responses on the route and on all routes.
    pub fn new(old: version_stats::VersionStats, all: version_stats::VersionStats) -> Self {
        let usual = all.error_rate().max(MIN_RATE);
        let responses = f64::from(old.responses) + PRIOR_RESPONSES;
        let rate = (f64::from(old.errors) + PRIOR_RESPONSES * usual) / responses;
        let rate = rate.max(MIN_RATE);
        // What few responses of the old version do not show is assumed in favour of the new one.
        let rate = (rate + f64::from(old.errors).sqrt() / responses).min(MAX_RATE);
        let bad = rate + (1.0 - rate) * EXCESS;
        Self {
            error: (bad / rate).ln(),
            success: ((1.0 - bad) / (1.0 - rate)).ln(),
        }
    }

    fn ratio(self, new: version_stats::VersionStats) -> f64 {
        let successes = new.responses.saturating_sub(new.errors);
        f64::from(new.errors) * self.error + f64::from(successes) * self.success
    }

    /// Returns `true` if a version with these responses is bad.
    pub fn is_bad(self, new: version_stats::VersionStats) -> bool {
        let is_judged = new.responses >= version_stats::MIN_RESPONSES;
        is_judged && new.errors >= MIN_ERRORS && self.ratio(new) > BAD
    }

    /// Returns the result for one of so many routes.
    pub fn judge(self, tally: &tally::Tally, routes: usize) -> Finding {
        let is_judged = tally.pair.new.responses >= version_stats::MIN_RESPONSES;
        let last = (LAST_RATIO * routes.max(1) as f64).ln();
        let mut is_suspect = false;
        for window in windows(tally) {
            let ratio = self.ratio(window.counted) - window.penalty;
            let has_errors = window.counted.errors >= MIN_ERRORS;
            if ratio > BAD && has_errors && is_judged {
                return Finding::Bad;
            }
            is_suspect |= ratio > last;
        }
        match (is_suspect, self.needed(tally)) {
            (true, _) => Finding::Suspect,
            (false, Some(_)) => Finding::Undecided,
            (false, None) => Finding::Sound,
        }
    }

    /// Returns how many further responses, all of them sound, would show that the version is sound; `None`
    /// if it is known to be.
    pub fn needed(self, tally: &tally::Tally) -> Option<f64> {
        let excess = windows(tally)
            .map(|window| self.ratio(window.counted) - window.penalty - window.sound)
            .fold(0.0, f64::max);
        (excess > 0.0).then(|| excess / -self.success)
    }
}

/// Responses that are judged by themselves.
struct Window {
    counted: version_stats::VersionStats,
    /// Amount by which the ratio has to exceed the limits further: one window of many has some errors by
    /// chance more often than all responses.
    penalty: f64,
    /// Ratio below which the version is sound.
    sound: f64,
}

/// Returns the newest responses since each mark, and all.
fn windows(tally: &tally::Tally) -> impl Iterator<Item = Window> + use<'_> {
    let count = tally.newest().count().max(1);
    let newest = tally.newest().map(move |counted| Window {
        counted,
        penalty: (count as f64).ln(),
        // The earlier responses have shown it.
        sound: 0.0,
    });
    newest.chain([Window {
        counted: tally.pair.new,
        penalty: 0.0,
        sound: SOUND,
    }])
}
