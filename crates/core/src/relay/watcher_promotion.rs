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
const DISCOVERY_TIME: Duration = Duration::from_millis(700);
/// Longest wait of any instance.
const MAX_DELAY: Duration = Duration::from_millis(1_500);

/// Since when too few are heard.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatcherPromotion {
    short_since: Option<time::Time>,
    /// From when on this instance may step in.
    eligible_at: Option<time::Time>,
}

impl WatcherPromotion {
    /// Notes whether too few other instances hear of changes.
    pub fn update(&mut self, now: time::Time, is_short: bool) {
        self.eligible_at.get_or_insert(now.after(DISCOVERY_TIME));
        self.short_since = match (self.short_since, is_short) {
            (Some(since), true) => Some(since),
            (None, true) => Some(now),
            (_, false) => None,
        };
    }

    /// Tells whether an instance steps in.
    pub fn is_due(&self, now: time::Time, rank: Rank) -> bool {
        let batch = STORE_WATCHERS.div_ceil(rank.groups.max(1));
        let steps = u32::try_from(rank.ranked_before / batch).unwrap_or(u32::MAX);
        let wait = rank.propagation.saturating_mul(steps).min(MAX_DELAY);
        let since = self.short_since.zip(self.eligible_at);
        since.is_some_and(|(short_since, eligible_at)| {
            short_since.max(eligible_at).after(wait) <= now
        })
    }
}

/// Where an instance stands among those that may step in.
#[derive(Clone, Copy, Debug)]
pub struct Rank {
    /// Members of its group that come before it.
    pub ranked_before: usize,
    /// Groups, in each of which some step in at a time.
    pub groups: usize,
    /// Time in which a group hears of one that has.
    pub propagation: Duration,
}
