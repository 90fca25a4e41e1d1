//! One request on its way through a run.

use guavausher_core::name;

/// Longest gap between tokens that meets the target, in microseconds.
pub const GAP_MICROS: u64 = 48_000;
/// Latest first token after arrival that meets the target, in microseconds.
pub const FIRST_TOKEN_MICROS: u64 = 1_600_000;

/// Progress of one request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Arrival in microseconds.
    pub at: u64,
    /// Index of the workspace.
    pub workspace: usize,
    /// Delay of the first token in microseconds.
    pub first: Option<u64>,
    /// Delay until the first dispatch in microseconds.
    pub sent: Option<u64>,
    /// When the last token came, in microseconds.
    pub last: u64,
    /// Tokens that came.
    pub produced: u32,
    /// Gaps within the target.
    pub good_gaps: u32,
    /// Gaps beyond the target.
    pub bad_gaps: u32,
    /// Sum of all gaps in microseconds.
    pub gap_sum: u64,
    /// Attempts made.
    pub attempts: u32,
    /// Engine of the attempt in progress.
    pub engine: Option<usize>,
    /// Engines that failed it.
    pub excluded: Vec<name::Name>,
    /// Whether the answer is whole.
    pub whole: bool,
    /// Whether it was refused or given up.
    pub refused: bool,
}

impl Request {
    /// Counts a token.
    pub fn token(&mut self, now: u64) {
        self.produced += 1;
        if self.first.is_none() {
            self.first = Some(now - self.at);
            self.last = now;
            return;
        }
        let gap = now - self.last;
        self.last = now;
        self.gap_sum += gap;
        if gap <= GAP_MICROS {
            self.good_gaps += 1;
        } else {
            self.bad_gaps += 1;
        }
    }

    /// Returns whether the first token came in time.
    pub fn is_prompt(&self) -> bool {
        self.first.is_some_and(|first| first <= FIRST_TOKEN_MICROS)
    }

    /// Returns whether it met the target: in time, whole and with a mean gap in bounds.
    pub fn is_good(&self) -> bool {
        let gaps = u64::from(self.good_gaps + self.bad_gaps);
        self.is_prompt() && self.whole && self.gap_sum <= gaps * GAP_MICROS
    }
}
