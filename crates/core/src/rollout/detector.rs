//! The sequential test on one stream of requests.

/// The score at which a fault is called.
///
/// A good version reaches it on average once in at least `exp(ALARM) / 3`, some 300,000,
/// intervals, and far less often the further it stays under the tolerated rate.
pub const ALARM: f64 = 13.8;

/// The share of requests, beyond the tolerated ones, that a bad version is assumed to fail.
pub const EFFECTS: [f64; 3] = [0.1, 0.4, 0.9];

/// The most that one interval adds to a score.
///
/// The death of one upstream fails many requests at once and says little about its version, so
/// no single interval raises an alarm, and no two.
const INTERVAL_LIMIT: f64 = ALARM / 2.5;

/// A cumulative-sum test of a rate of faults against a tolerated one.
///
/// Each score is the log-likelihood ratio of one assumed effect, held at zero from below, so the
/// test finds a version that turns bad late as fast as one that was bad from the start. The test
/// is that of E. S. Page, "Continuous inspection schemes", Biometrika 41 (1954); that it may be
/// looked at after every interval, and that several effects may be tested at once, follows from
/// J. Shin, A. Ramdas and A. Rinaldo, "E-detectors: a nonparametric framework for sequential
/// change detection", New England Journal of Statistics in Data Science 2 (2024). The use for
/// releases is that of M. Lindon, C. Sanden and V. Shirikian, "Rapid regression detection in
/// software deployments through sequential testing", KDD 2022.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Detector {
    scores: [f64; EFFECTS.len()],
}

impl Detector {
    /// Adds the requests and faults of one interval, judged against the tolerated rate.
    pub fn add(&mut self, tolerated: f64, requests: u64, faults: u64) {
        self.add_evidence(evidence(tolerated, requests, faults));
    }

    /// Adds the log-likelihood ratios of one interval, one for each assumed effect.
    pub fn add_evidence(&mut self, evidence: [f64; EFFECTS.len()]) {
        for (score, evidence) in self.scores.iter_mut().zip(evidence) {
            *score = (*score + evidence.min(INTERVAL_LIMIT)).max(0.0);
        }
    }

    /// Returns the highest score.
    pub fn score(&self) -> f64 {
        self.scores.iter().copied().fold(0.0, f64::max)
    }

    /// Tells whether a fault is called.
    pub fn is_alarm(&self) -> bool {
        self.score() >= ALARM
    }

    /// Tells whether the score is too high to call the version good.
    pub fn is_suspicious(&self) -> bool {
        self.score() >= ALARM / 6.0
    }
}

/// Returns the log-likelihood ratios of one interval, one for each assumed effect.
pub fn evidence(tolerated: f64, requests: u64, faults: u64) -> [f64; EFFECTS.len()] {
    let faulty = faults.min(requests) as f64;
    let sound = requests as f64 - faulty;
    EFFECTS.map(|effect| {
        let assumed = tolerated + (1.0 - tolerated) * effect;
        let gain = faulty * (assumed / tolerated).ln();
        gain + sound * ((1.0 - assumed) / (1.0 - tolerated)).ln()
    })
}
