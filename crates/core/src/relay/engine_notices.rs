//! What engines say of themselves: that they leave, or want nothing for a while.
//!
//! Both are about one incarnation of an engine and outlive its entry in the list, which may vanish
//! and come back. That it leaves is told to all instances; that it wants nothing is between it and
//! this one.

use std::cmp;
use std::collections;
use std::time::Duration;

use super::digest;
use super::peer_data;
use crate::name;
use crate::time;

/// How long the leaving of an engine is remembered.
const MEMORY: Duration = Duration::from_secs(600);
/// How long it is told; who starts later hears of it from the list, or from the engine.
const NEWS: Duration = Duration::from_secs(15);
/// Longest time for which an engine may want nothing.
const MAX_HOLD: Duration = Duration::from_secs(600);
/// Engines that are remembered.
const MAX_ENGINES: usize = 1_024;
/// Engines that one message tells.
const MAX_TOLD: usize = 32;

/// What engines have said of themselves.
#[derive(Clone, Debug, Default)]
pub struct EngineNotices {
    engines: collections::BTreeMap<name::Name, Notice>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Notice {
    incarnation: u64,
    /// Until when no earlier incarnation is taken for a later one.
    expiry: time::Time,
    /// Until when its leaving is remembered; in the past if it has not said so.
    leaving: time::Time,
    /// Until when it wants nothing.
    hold: time::Time,
}

/// Returns how old the news of a departure is.
pub fn age(told: &digest::Departure) -> Duration {
    MEMORY.saturating_sub(Duration::from_millis(told.remaining_ms))
}

impl EngineNotices {
    /// Notes that an engine leaves.
    pub fn record_leaving(&mut self, now: time::Time, engine: &name::Name, incarnation: u64) {
        if let Some(notice) = self.entry(now, engine, incarnation)
            && notice.leaving <= now
        {
            notice.leaving = now.after(MEMORY);
        }
    }

    /// Takes over that an engine leaves from another instance.
    pub fn merge_departure(&mut self, now: time::Time, told: &digest::Departure) {
        let Some(expiry) = peer_data::expiry(now, told.left, MEMORY) else {
            return;
        };
        if let Some(notice) = self.entry(now, &told.engine, told.incarnation)
            && peer_data::replaces(expiry, notice.leaving)
        {
            notice.leaving = expiry;
        }
    }

    /// Notes until when an engine wants nothing; an earlier time does not shorten a later one, since
    /// answers to requests that were sent together come in any order.
    pub fn record_hold(
        &mut self,
        now: time::Time,
        engine: &name::Name,
        incarnation: u64,
        until: time::Time,
    ) {
        let until = until.min(now.after(MAX_HOLD));
        if let Some(notice) = self.entry(now, engine, incarnation) {
            notice.hold = notice.hold.max(until);
        }
    }

    /// Tells whether an engine has said that it leaves, or a later incarnation has been heard of.
    pub fn has_left(&self, now: time::Time, engine: &name::Name, incarnation: u64) -> bool {
        let notice = self
            .engines
            .get(engine)
            .filter(|notice| notice.expires_at() > now);
        notice.is_some_and(|notice| match notice.incarnation.cmp(&incarnation) {
            cmp::Ordering::Less => false,
            cmp::Ordering::Equal => notice.leaving > now,
            cmp::Ordering::Greater => true,
        })
    }

    /// Returns until when an engine wants nothing, if that is not over.
    pub fn hold_end(
        &self,
        now: time::Time,
        engine: &name::Name,
        incarnation: u64,
    ) -> Option<time::Time> {
        let hold = self.get(engine, incarnation)?.hold;
        (hold > now).then_some(hold)
    }

    /// Returns the engines of which the others are to hear that they leave.
    pub fn departures(&self, now: time::Time) -> Vec<digest::Departure> {
        let is_news = |notice: &Notice| notice.leaving.after(NEWS) > now.after(MEMORY);
        let news = self.engines.iter().filter(|(_, notice)| is_news(notice));
        let news: Vec<_> = news.collect();
        let told = peer_data::sample(now, &news, MAX_TOLD);
        told.map(|(engine, notice)| digest::Departure {
            engine: (*engine).clone(),
            incarnation: notice.incarnation,
            left: now.until(notice.leaving).as_millis() as u64,
        })
        .collect()
    }

    fn get(&self, engine: &name::Name, incarnation: u64) -> Option<&Notice> {
        let notice = self.engines.get(engine)?;
        (notice.incarnation == incarnation).then_some(notice)
    }

    /// Returns the word of an incarnation, unless a later one has been heard of.
    fn entry(
        &mut self,
        now: time::Time,
        engine: &name::Name,
        incarnation: u64,
    ) -> Option<&mut Notice> {
        if !self.engines.contains_key(engine) && self.engines.len() >= MAX_ENGINES {
            self.evict(now);
        }
        let expiry = now.after(MEMORY);
        let notice = self.engines.entry(engine.clone()).or_default();
        if notice.incarnation < incarnation || notice.expires_at() <= now {
            *notice = Notice {
                incarnation,
                expiry,
                ..Notice::default()
            };
        }
        (notice.incarnation == incarnation).then_some(notice)
    }

    /// Forgets what is over, else what is over first.
    fn evict(&mut self, now: time::Time) {
        self.engines.retain(|_, notice| notice.expires_at() > now);
        if self.engines.len() < MAX_ENGINES {
            return;
        }
        let first = self
            .engines
            .iter()
            .min_by_key(|(_, notice)| notice.expires_at());
        if let Some(engine) = first.map(|(engine, _)| engine.clone()) {
            self.engines.remove(&engine);
        }
    }
}

impl Notice {
    fn expires_at(&self) -> time::Time {
        self.expiry.max(self.leaving).max(self.hold)
    }
}
