//! Store outages: times in which no instance could watch the store.

use std::time::Duration;

use super::settings;
use crate::time;

/// Share of the drain bound for which an engine is kept after its entry has vanished. The drain
/// bound is the time within which requests to an engine that is known to have left must stop.
const KEEP_SHARE: f64 = 0.85;

/// Whether any instance can watch the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Outage {
    /// No instance is known to have watched it yet.
    #[default]
    Unknown,
    /// Some instance watches it.
    Watched {
        /// When the last outage ended, if there was one.
        last_end: Option<time::Time>,
    },
    /// No instance watches it.
    Unwatched {
        /// Start of the outage.
        since: time::Time,
        /// When the outage before it ended, if there was one.
        last_end: Option<time::Time>,
    },
}

impl Outage {
    /// Records whether some instance watches the store. Entries expire in an outage of `shortest`
    /// or more; shorter ones are ignored.
    pub fn update(&mut self, now: time::Time, is_watched: bool, shortest: Duration) {
        *self = match (*self, is_watched) {
            (Self::Unknown, true) => Self::Watched { last_end: None },
            (Self::Unwatched { since, last_end }, true) => Self::Watched {
                last_end: match since.after(shortest) <= now {
                    true => Some(now),
                    false => last_end,
                },
            },
            (Self::Watched { last_end }, false) => Self::Unwatched {
                since: now,
                last_end,
            },
            (same, _) => same,
        };
    }

    /// Records that the store has returned from an older copy, in which entries may be missing as after
    /// an outage that has just ended.
    pub fn record_return(&mut self, now: time::Time) {
        *self = match *self {
            Self::Unwatched { since, .. } => Self::Unwatched {
                since,
                last_end: Some(now),
            },
            Self::Unknown | Self::Watched { .. } => Self::Watched {
                last_end: Some(now),
            },
        };
    }

    /// Returns `true` if some instance watches the store.
    pub const fn is_watched(self) -> bool {
        matches!(self, Self::Watched { .. })
    }

    /// Returns when the last outage ended, or when the store returned from a copy; `None` if neither
    /// is known.
    pub const fn last_end(self) -> Option<time::Time> {
        match self {
            Self::Unknown => None,
            Self::Watched { last_end } | Self::Unwatched { last_end, .. } => last_end,
        }
    }

    /// Returns until when an engine whose entry vanishes now is kept, or `None` if it is gone. Some
    /// instance has known the list without it since `known` at the latest.
    ///
    /// Entries that expired during an outage are back within `return_grace` of its end. Requests to an
    /// engine must stop within `drain` of the moment at which any instance knows that it is gone.
    pub fn kept_until(
        self,
        now: time::Time,
        known: time::Time,
        bounds: &settings::Settings,
    ) -> Option<time::Time> {
        let last_end = match self {
            Self::Unwatched { since, .. } if since.after(bounds.min_outage()) <= now => Some(known),
            _ => self.last_end(),
        };
        // Whoever has a list has watched the store.
        let back = last_end?.min(known).after(bounds.return_grace);
        let limit = known.after(bounds.drain.mul_f64(KEEP_SHARE));
        Some(back.min(limit)).filter(|until| now < *until)
    }
}
