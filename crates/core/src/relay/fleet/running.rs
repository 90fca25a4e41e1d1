//! Engines that are known to run, beyond what their entries say.

use std::time::Duration;

use super::Fleet;
use crate::relay::engine;
use crate::time;

impl Fleet {
    /// Returns the available engines that have responded after `since`, if that is given, or whose
    /// entries would have expired by now if they had ended before `since`; entries expire after
    /// `expiry` without a heartbeat.
    pub fn running(
        &self,
        now: time::Time,
        since: Option<time::Time>,
        expiry: Duration,
    ) -> impl Iterator<Item = &engine::Engine> {
        let since = since.unwrap_or_default();
        let is_running = move |listed: time::Time, responded: Option<time::Time>| {
            listed.max(since).after(expiry) <= now || responded.is_some_and(|at| at > since)
        };
        let available = self.engines.values().filter(move |t| t.is_available(now));
        available
            .filter(move |t| is_running(t.listed_at, t.responded_at))
            .map(|t| &t.engine)
    }
}
