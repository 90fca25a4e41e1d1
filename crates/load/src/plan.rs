//! The seeded sequence of requests.

use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::distr;
use rand::distr::Distribution;
use rand::rngs;

use crate::scenario;

/// Words that prompts are made of.
const VOCABULARY: u32 = 10_000;

/// One request before it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shot {
    /// Position in the sequence.
    pub serial: u64,
    /// Intended send time after the start of the run.
    pub at: time::Duration,
    /// Index of the target.
    pub target: usize,
    /// Index of the kind.
    pub kind: usize,
    /// Seed of the prompt.
    pub seed: u64,
}

/// An iterator over the requests of a scenario.
#[derive(Debug)]
pub struct Plan {
    rng: rngs::SmallRng,
    kinds: distr::weighted::WeightedIndex<u32>,
    targets: usize,
    arrivals: scenario::Arrivals,
    rate: f64,
    end: f64,
    at: f64,
    serial: u64,
}

impl Plan {
    /// Plans a scenario whose bounds hold.
    ///
    /// # Errors
    ///
    /// Fails if no kind has a weight.
    pub fn new(scenario: &scenario::Scenario) -> Result<Self, distr::weighted::Error> {
        let weights = scenario.requests.iter().map(|kind| kind.weight);
        Ok(Self {
            rng: rngs::SmallRng::seed_from_u64(scenario.seed),
            kinds: distr::weighted::WeightedIndex::new(weights)?,
            targets: scenario.targets.len(),
            arrivals: scenario.arrivals,
            rate: scenario.rate,
            end: scenario.duration as f64,
            at: 0.0,
            serial: 0,
        })
    }

    /// Returns the next intended time in seconds.
    fn advance(&mut self) -> f64 {
        match self.arrivals {
            scenario::Arrivals::Even => self.serial as f64 / self.rate,
            scenario::Arrivals::Poisson => {
                let share = self.rng.random::<f64>();
                self.at - (1.0 - share).ln() / self.rate
            }
        }
    }
}

impl Iterator for Plan {
    type Item = Shot;

    fn next(&mut self) -> Option<Shot> {
        self.at = self.advance();
        if self.at >= self.end || self.serial as f64 >= scenario::MAX_REQUESTS {
            return None;
        }
        self.serial += 1;
        Some(Shot {
            serial: self.serial,
            at: time::Duration::from_secs_f64(self.at),
            target: self.rng.random_range(0..self.targets),
            kind: self.kinds.sample(&mut self.rng),
            seed: self.rng.random(),
        })
    }
}

/// Returns the prompt of a request: the words that its kind shares, then its own.
pub fn prompt(kind: &scenario::Kind, index: usize, seed: u64) -> String {
    let mut shared = rngs::SmallRng::seed_from_u64(index as u64);
    let mut own = rngs::SmallRng::seed_from_u64(seed);
    let words = (0..kind.words).map(|position| {
        let rng = if position < kind.shared {
            &mut shared
        } else {
            &mut own
        };
        format!("w{}", rng.random_range(0..VOCABULARY))
    });
    words.collect::<Vec<_>>().join(" ")
}
