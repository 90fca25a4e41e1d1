//! A sequential change detection test on one stream of requests.

/// The score that raises an alarm.
///
/// A good version reaches it on average once in at least `exp(ALARM_SCORE) / 3`, some 300,000,
/// intervals, and far less often the further it stays below the tolerated rate.
pub const ALARM_SCORE: f64 = 13.8;

/// Effect sizes: shares of the otherwise good requests that a bad version is assumed to spoil.
pub const EFFECT_SIZES: [f64; 3] = [0.1, 0.4, 0.9];

/// The largest increase of a score in one interval.
///
/// A crash of one upstream fails many requests at once and is little evidence against its
/// version, so it takes at least three intervals to raise an alarm.
const MAX_INTERVAL_GAIN: f64 = ALARM_SCORE / 2.5;

/// A cumulative sum (CUSUM) test of the rate of faulty requests against a tolerated rate.
///
/// Each score is the cumulative log-likelihood ratio of one effect size, with zero as the lower
/// bound, so the test detects a version that turns bad late as fast as one that was bad from the
/// start. The test is that of E. S. Page, "Continuous inspection schemes", Biometrika 41 (1954).
/// That it may be evaluated after every interval, and that several effect sizes may be tested at
/// once, follows from J. Shin, A. Ramdas and A. Rinaldo, "E-detectors: a nonparametric framework
/// for sequential change detection", New England Journal of Statistics in Data Science 2 (2024).
/// The application to software releases follows M. Lindon, C. Sanden and V. Shirikian, "Rapid
/// regression detection in software deployments through sequential testing", KDD 2022.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Detector {
    scores: [f64; EFFECT_SIZES.len()],
}

impl Detector {
    /// Adds the requests and faulty requests of one interval, given the tolerated rate.
    pub fn add(&mut self, tolerated_rate: f64, requests: u64, faults: u64) {
        self.add_ratios(log_likelihood_ratios(tolerated_rate, requests, faults));
    }

    /// Adds the log-likelihood ratios of one interval, one for each effect size.
    pub fn add_ratios(&mut self, ratios: [f64; EFFECT_SIZES.len()]) {
        for (score, ratio) in self.scores.iter_mut().zip(ratios) {
            *score = (*score + ratio.min(MAX_INTERVAL_GAIN)).max(0.0);
        }
    }

    /// Returns the highest score over the effect sizes.
    pub fn score(&self) -> f64 {
        self.scores.iter().copied().fold(0.0, f64::max)
    }

    /// Returns `true` if the score raises an alarm.
    pub fn is_alarm(&self) -> bool {
        self.score() >= ALARM_SCORE
    }

    /// Returns `true` if the score is too high to accept the version as good.
    pub fn is_suspicious(&self) -> bool {
        self.score() >= ALARM_SCORE / 6.0
    }
}

/// Returns the log-likelihood ratios of one interval, one for each effect size.
pub fn log_likelihood_ratios(
    tolerated_rate: f64,
    requests: u64,
    faults: u64,
) -> [f64; EFFECT_SIZES.len()] {
    let faulty = faults.min(requests) as f64;
    let good = requests as f64 - faulty;
    EFFECT_SIZES.map(|effect_size| {
        let assumed_rate = tolerated_rate + (1.0 - tolerated_rate) * effect_size;
        let gain = faulty * (assumed_rate / tolerated_rate).ln();
        gain + good * ((1.0 - assumed_rate) / (1.0 - tolerated_rate)).ln()
    })
}
