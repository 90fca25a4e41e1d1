//! When an instance starts to watch the store itself, because too few others do.
//!
//! Load: a fleet that starts at once, or loses all its store watchers at once. Each instance sees
//! that there are too few. If all started to watch, hundreds would list and watch until they
//! learned of each other. They start a few at a time instead, in an order on which they agree.

use std::time::Duration;

use crate::time;

/// Instances that watch the store and relay its changes to the others.
pub const STORE_WATCHERS: usize = 3;
/// Time in which a process that has just started discovers the other instances.
const DISCOVERY_TIME: Duration = Duration::from_millis(700);
/// Maximum delay of any instance.
const MAX_DELAY: Duration = Duration::from_millis(1_500);

/// When one instance may become a store watcher.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatcherPromotion {
    /// Since when there have been too few other store watchers.
    short_since: Option<time::Time>,
    /// From when on this instance may become a store watcher.
    eligible_at: Option<time::Time>,
}

impl WatcherPromotion {
    /// Records whether there are too few other store watchers.
    pub fn update(&mut self, now: time::Time, is_short: bool) {
        self.eligible_at.get_or_insert(now.after(DISCOVERY_TIME));
        self.short_since = match (self.short_since, is_short) {
            (Some(since), true) => Some(since),
            (None, true) => Some(now),
            (_, false) => None,
        };
    }

    /// Returns `true` if an instance of this rank should start to watch the store.
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

/// Position of an instance among those that may become store watchers.
#[derive(Clone, Copy, Debug)]
pub struct Rank {
    /// Members of its group that come before it.
    pub ranked_before: usize,
    /// Groups, in each of which some start at a time.
    pub groups: usize,
    /// Time until the members of a group know of a new store watcher.
    pub propagation: Duration,
}
