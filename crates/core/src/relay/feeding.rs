//! When an instance begins to hear of changes from the store itself, because too few others do.
//!
//! Load: a fleet that starts at once, or loses those that hear from the store at once. Each sees that
//! too few are left; if all stepped in, hundreds would list and watch for the moment that it takes them
//! to hear of each other. They step in a few at a time, in an order on which they agree.

use std::time::Duration;

use crate::time;

/// Instances that hear of changes from the store and tell the others.
pub const STORE_WATCHERS: usize = 3;
/// Time until a process that has just started knows which others there are.
const ALONE: Duration = Duration::from_millis(700);
/// Longest wait of any instance.
const LONGEST: Duration = Duration::from_millis(1_500);

/// Since when too few are heard.
#[derive(Clone, Copy, Debug, Default)]
pub struct Feeding {
    short: Option<time::Time>,
    /// From when on this instance may step in.
    joins: Option<time::Time>,
}

impl Feeding {
    /// Notes whether too few other instances hear of changes.
    pub fn note(&mut self, now: time::Time, is_short: bool) {
        self.joins.get_or_insert(now.after(ALONE));
        self.short = match (self.short, is_short) {
            (Some(since), true) => Some(since),
            (None, true) => Some(now),
            (_, false) => None,
        };
    }

    /// Tells whether an instance steps in.
    pub fn is_due(&self, now: time::Time, turn: Turn) -> bool {
        let together = STORE_WATCHERS.div_ceil(turn.groups.max(1));
        let steps = u32::try_from(turn.before / together).unwrap_or(u32::MAX);
        let wait = turn.news.saturating_mul(steps).min(LONGEST);
        let since = self.short.zip(self.joins);
        since.is_some_and(|(short, joins)| short.max(joins).after(wait) <= now)
    }
}

/// Where an instance stands among those that may step in.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    /// Members of its group that come before it.
    pub before: usize,
    /// Groups, in each of which some step in at a time.
    pub groups: usize,
    /// Time in which a group hears of one that has.
    pub news: Duration,
}
