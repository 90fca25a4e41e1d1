//! Responses and delays of two versions of a service, and whether the new one is worse.

use std::time::Duration;

/// Responses of a new version before its errors are judged.
pub const MIN_RESPONSES: u32 = 8;
/// Errors below which a version is not bad.
const MIN_ERRORS: u32 = 4;
/// Standard deviations by which the errors must exceed those of the old version.
const MIN_DEVIATIONS: f64 = 2.5;
/// Amount by which the error rate must exceed that of the old version.
const MIN_EXCESS: f64 = 0.1;
/// First events before the speed of a version is judged.
pub const MIN_TIMED: u32 = 12;
/// Ratio of mean delays, new to old, above which a version is bad whatever the variance.
const MAX_DELAY_RATIO: f64 = 1.9;
/// First events of a new version from which its delay is compared by the variance.
const MIN_COMPARED: u32 = 6;
/// Ratio of delays, new to old, that a good version may reach: its engines have just started.
const TOLERATED_DELAY_RATIO: f64 = 1.3;
/// Standard errors by which a delay must exceed the tolerated ratio.
const MIN_STANDARD_ERRORS: f64 = 2.8;
/// First events of each version from which a version may be slow at the last decision.
const MIN_DOUBTED: u32 = 4;
/// Standard errors by which its delay must exceed the tolerated ratio then.
const DOUBTED_STANDARD_ERRORS: f64 = 2.2;
/// Lower bound for the variance of the logarithm of a delay, so that a few delays that happen to
/// be alike prove nothing.
const MIN_VARIANCE: f64 = 0.1;
/// Scale of the sums of logarithms.
const THOUSAND: f64 = 1_000.0;

/// Responses and delays of one version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct VersionStats {
    /// Responses.
    #[serde(rename = "answers")]
    pub responses: u32,
    /// Errors among the responses.
    #[serde(rename = "bad")]
    pub errors: u32,
    /// First events with a known delay.
    pub timed: u32,
    /// Sum of the ratios of actual to expected delay, in hundredths.
    #[serde(rename = "delay")]
    pub ratio_sum: u64,
    /// Sum of the natural logarithms of the ratios, in thousandths.
    #[serde(rename = "logs")]
    pub log_sum: i64,
    /// Sum of the squares of the logarithms, in thousandths.
    #[serde(rename = "squares")]
    pub square_sum: u64,
}

/// Stats of the new and the old version on one route.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Pair {
    /// Stats of the new version.
    pub new: VersionStats,
    /// Stats of all other versions together.
    pub old: VersionStats,
}

impl std::ops::Add for VersionStats {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            responses: self.responses.saturating_add(other.responses),
            errors: self.errors.saturating_add(other.errors),
            timed: self.timed.saturating_add(other.timed),
            ratio_sum: self.ratio_sum.saturating_add(other.ratio_sum),
            log_sum: self.log_sum.saturating_add(other.log_sum),
            square_sum: self.square_sum.saturating_add(other.square_sum),
        }
    }
}

impl std::ops::Add for Pair {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            new: self.new + other.new,
            old: self.old + other.old,
        }
    }
}

impl std::ops::Sub for VersionStats {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            responses: self.responses.saturating_sub(other.responses),
            errors: self.errors.saturating_sub(other.errors),
            timed: self.timed.saturating_sub(other.timed),
            ratio_sum: self.ratio_sum.saturating_sub(other.ratio_sum),
            log_sum: self.log_sum.saturating_sub(other.log_sum),
            square_sum: self.square_sum.saturating_sub(other.square_sum),
        }
    }
}

impl std::ops::Sub for Pair {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            new: self.new - other.new,
            old: self.old - other.old,
        }
    }
}

impl VersionStats {
    /// Records a first event with its actual and its expected delay.
    pub fn record_first_event(&mut self, took: Duration, expected: Duration) {
        /// Upper bound for the ratio of actual to expected delay; its inverse is the lower bound.
        const MAX_RATIO: f64 = 20.0;
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        self.timed += 1;
        let ratio = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO);
        let log = ratio.ln();
        self.ratio_sum += (ratio * 100.0) as u64;
        self.log_sum += (log * THOUSAND) as i64;
        self.square_sum += (log * log * THOUSAND) as u64;
    }

    /// Returns the requests that the version has begun to respond to.
    pub fn started(&self) -> u32 {
        self.responses.max(self.timed)
    }

    /// Returns `true` if it has responses and all of them are errors.
    pub fn has_only_errors(&self) -> bool {
        self.responses > 0 && self.errors == self.responses
    }

    /// Returns the share of errors, counting one additional success.
    pub fn error_rate(&self) -> f64 {
        f64::from(self.errors) / (f64::from(self.responses) + 1.0)
    }

    fn mean_ratio(&self) -> f64 {
        self.ratio_sum as f64 / f64::from(self.timed.max(1))
    }

    /// Returns the mean logarithm of the delay ratios.
    fn mean_log(&self) -> f64 {
        self.log_sum as f64 / THOUSAND / f64::from(self.timed.max(1))
    }

    /// Returns the variance of the logarithms of the delay ratios.
    fn variance(&self) -> f64 {
        let squares = self.square_sum as f64 / THOUSAND / f64::from(self.timed.max(1));
        (squares - self.mean_log() * self.mean_log()).max(MIN_VARIANCE)
    }
}

/// Returns `true` if the responses of the new version are worse than chance explains.
pub fn is_bad(pair: &Pair) -> bool {
    let (new, old) = (pair.new, pair.old);
    let old_rate = old.error_rate();
    let responses = f64::from(new.responses);
    let expected = old_rate * responses;
    let deviation = (expected * (1.0 - old_rate) + 1.0).sqrt();
    let is_failing = new.responses >= MIN_RESPONSES
        && new.errors >= MIN_ERRORS
        && f64::from(new.errors) > expected + MIN_DEVIATIONS * deviation
        && f64::from(new.errors) / responses > old_rate + MIN_EXCESS;
    is_failing || is_slow(pair)
}

/// Returns `true` if first events come later than chance explains. A few that are much later on one
/// route show it as well as many that are a little later.
pub fn is_slow(pair: &Pair) -> bool {
    let (new, old) = (&pair.new, &pair.old);
    if new.timed < MIN_COMPARED || old.timed < MIN_TIMED {
        return false;
    }
    let is_much_slower =
        new.timed >= MIN_TIMED && new.mean_ratio() > MAX_DELAY_RATIO * old.mean_ratio();
    is_much_slower || excess_delay(new, old) > MIN_STANDARD_ERRORS
}

/// Returns `true` if a slow version would explain the few first events better than a good one.
pub fn may_be_slow(pair: &Pair) -> bool {
    let (new, old) = (&pair.new, &pair.old);
    let is_timed = new.timed >= MIN_DOUBTED && old.timed >= MIN_DOUBTED;
    is_timed && excess_delay(new, old) > DOUBTED_STANDARD_ERRORS
}

/// Returns by how many standard errors the delays of the new version exceed the tolerated ratio.
fn excess_delay(new: &VersionStats, old: &VersionStats) -> f64 {
    let variance = new.variance().max(old.variance());
    let error = (variance / f64::from(new.timed) + variance / f64::from(old.timed)).sqrt();
    (new.mean_log() - old.mean_log() - TOLERATED_DELAY_RATIO.ln()) / error
}
