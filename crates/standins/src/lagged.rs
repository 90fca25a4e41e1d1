//! A value that observers see some time after it changed.

use std::collections;
use std::time;

/// How many past values are kept.
const MAX_PAST: usize = 4_096;

/// A value with its recent past.
#[derive(Debug)]
pub struct Lagged<T> {
    past: collections::VecDeque<(time::Instant, T)>,
}

impl<T> Lagged<T> {
    /// Starts with a value that is visible at any lag.
    pub fn new(value: T) -> Self {
        Self {
            past: [(time::Instant::now(), value)].into(),
        }
    }

    /// Replaces the value from now on.
    pub fn set(&mut self, value: T) {
        if self.past.len() == MAX_PAST {
            self.past.pop_front();
        }
        self.past.push_back((time::Instant::now(), value));
    }

    /// Returns the value that held `lag` ago, or the oldest kept one.
    pub fn get(&self, lag: time::Duration) -> &T {
        let now = time::Instant::now();
        let seen = self
            .past
            .partition_point(|(at, _)| now.duration_since(*at) >= lag);
        &self.past[seen.saturating_sub(1)].1
    }
}
