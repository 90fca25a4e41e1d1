//! Notices that engines add to their responses: that they are leaving, on hold for a while, or take
//! a limited rate of requests.
//!
//! All are about one incarnation of an engine and outlive its entry in the list, which may
//! disappear and return. All instances are informed that an engine is leaving and of its rate limit;
//! a hold applies to this instance only.

use std::cmp;
use std::collections;
use std::time::Duration;

use super::digest;
use super::peer_data;
use super::rate_limit;
use crate::name;
use crate::time;

/// How long it is remembered that an engine is leaving.
const RETENTION: Duration = Duration::from_secs(600);
/// How long it is reported; an instance that starts later learns of it from the list or the engine.
const REPORT_PERIOD: Duration = Duration::from_secs(15);
/// Longest hold that an engine may ask for.
const MAX_HOLD: Duration = Duration::from_secs(600);
/// How long a rate limit applies that no response has confirmed. Without this, an engine to which
/// nothing is sent would be avoided forever.
const LIMIT_RETENTION: Duration = Duration::from_secs(60);
/// Longest time that a message between instances is assumed to take.
const MAX_TRANSIT: Duration = Duration::from_millis(500);
/// Maximum number of engines remembered.
const MAX_ENGINES: usize = 1_024;
/// Maximum number of engines reported in one message.
const MAX_REPORTED: usize = 32;

/// Notices by engine, with those that other instances reported.
#[derive(Clone, Debug, Default)]
pub struct EngineNotices {
    engines: collections::BTreeMap<name::Name, Notice>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Notice {
    incarnation: u64,
    /// Until when an earlier incarnation is not mistaken for a later one.
    expiry: time::Time,
    /// Until when it is remembered as leaving; in the past if it sent no such notice.
    leaving_until: time::Time,
    /// End of its hold.
    hold_end: time::Time,
    /// Its last statement of a rate limit, or of the end of one.
    limit: Option<rate_limit::Statement>,
}

/// A rate limit that no response has confirmed for long.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExpiredLimit {
    /// The engine.
    pub engine: name::Name,
    /// The incarnation of the engine.
    pub incarnation: u64,
}

/// Returns the time since an engine's notice that it is leaving.
pub fn age(reported: &digest::Departure) -> Duration {
    RETENTION.saturating_sub(Duration::from_millis(reported.remaining_ms))
}

impl EngineNotices {
    /// Records that an engine is leaving.
    pub fn record_leaving(&mut self, now: time::Time, engine: &name::Name, incarnation: u64) {
        if let Some(notice) = self.entry(now, engine, incarnation)
            && notice.leaving_until <= now
        {
            notice.leaving_until = now.after(RETENTION);
        }
    }

    /// Merges another instance's report that an engine is leaving; returns `true` if that was not
    /// known.
    pub fn merge_departure(&mut self, now: time::Time, reported: &digest::Departure) -> bool {
        let Some(expiry) = peer_data::expiry(now, reported.remaining_ms, RETENTION) else {
            return false;
        };
        if self.is_reported(now, reported, expiry) {
            return false;
        }
        if let Some(notice) = self.entry(now, &reported.engine, reported.incarnation)
            && peer_data::replaces(expiry, notice.leaving_until)
        {
            notice.leaving_until = expiry;
        }
        true
    }

    /// Returns `true` if a report tells nothing new, as nearly all do: each instance reports each
    /// engine several times a second.
    fn is_reported(
        &self,
        now: time::Time,
        reported: &digest::Departure,
        expiry: time::Time,
    ) -> bool {
        let notice = self.engines.get(&reported.engine);
        let live = notice.filter(|notice| notice.expires_at() > now);
        live.is_some_and(
            |notice| match notice.incarnation.cmp(&reported.incarnation) {
                cmp::Ordering::Less => false,
                cmp::Ordering::Equal => !peer_data::replaces(expiry, notice.leaving_until),
                cmp::Ordering::Greater => true,
            },
        )
    }

    /// Records the end of an engine's hold; an earlier time does not shorten a later one, since
    /// responses to requests that were sent together arrive in any order.
    pub fn record_hold(
        &mut self,
        now: time::Time,
        engine: &name::Name,
        incarnation: u64,
        until: time::Time,
    ) {
        let until = until.min(now.after(MAX_HOLD));
        if let Some(notice) = self.entry(now, engine, incarnation) {
            notice.hold_end = notice.hold_end.max(until);
        }
    }

    /// Returns `true` if an engine is known to be leaving, or a later incarnation of it is known.
    pub fn has_left(&self, now: time::Time, engine: &name::Name, incarnation: u64) -> bool {
        let notice = self
            .engines
            .get(engine)
            .filter(|notice| notice.expires_at() > now);
        notice.is_some_and(|notice| match notice.incarnation.cmp(&incarnation) {
            cmp::Ordering::Less => false,
            cmp::Ordering::Equal => notice.leaving_until > now,
            cmp::Ordering::Greater => true,
        })
    }

    /// Returns the end of an engine's hold, or `None` if it is not on hold.
    pub fn hold_end(
        &self,
        now: time::Time,
        engine: &name::Name,
        incarnation: u64,
    ) -> Option<time::Time> {
        let hold_end = self.get(engine, incarnation)?.hold_end;
        (hold_end > now).then_some(hold_end)
    }

    /// Records whether a response contained a rate limit. Returns `true` if that changes the limit.
    ///
    /// A response without a limit is of interest only for an engine that stated one before.
    pub fn record_limit(
        &mut self,
        now: time::Time,
        engine: &name::Name,
        incarnation: u64,
        statement: rate_limit::Statement,
    ) -> bool {
        if statement.rate.is_none() && !self.has_stated_limit(engine, incarnation) {
            return false;
        }
        let Some(notice) = self.entry(now, engine, incarnation) else {
            return false;
        };
        let before = notice.rate_limit(now);
        notice.limit = Some(
            notice
                .limit
                .map_or(statement, |known| known.merge(statement)),
        );
        notice.rate_limit(now) != before
    }

    /// Returns `true` if an engine has stated a rate limit, even if that has ended since.
    pub fn has_stated_limit(&self, engine: &name::Name, incarnation: u64) -> bool {
        let notice = self.get(engine, incarnation);
        notice.is_some_and(|notice| notice.limit.is_some())
    }

    /// Returns the rate limit of an engine, if one applies.
    pub fn rate_limit(
        &self,
        now: time::Time,
        engine: &name::Name,
        incarnation: u64,
    ) -> Option<rate_limit::Rate> {
        self.get(engine, incarnation)?.rate_limit(now)
    }

    /// Merges another instance's report of a rate limit; returns `true` if that changes the limit.
    pub fn merge_limit(&mut self, now: time::Time, reported: &rate_limit::Report) -> bool {
        let ages = [reported.oldest_ms, reported.newest_ms].map(Duration::from_millis);
        if ages[1] >= LIMIT_RETENTION {
            return false;
        }
        let statement = rate_limit::Statement {
            rate: reported.rate,
            earliest: now.before(ages[0].saturating_add(MAX_TRANSIT)),
            latest: now.before(ages[1]),
        };
        self.record_limit(now, &reported.engine, reported.incarnation, statement)
    }

    /// Forgets the rate limits that no response has confirmed for long, and returns them.
    pub fn expire_limits(&mut self, now: time::Time) -> Vec<ExpiredLimit> {
        let mut expired = Vec::new();
        for (engine, notice) in &mut self.engines {
            let statement = notice.limit.filter(|statement| statement.rate.is_some());
            if statement.is_some() && notice.rate_limit(now).is_none() {
                notice.limit = None;
                expired.push(ExpiredLimit {
                    engine: engine.clone(),
                    incarnation: notice.incarnation,
                });
            }
        }
        expired
    }

    /// Returns when a response last contained the rate limit of an engine.
    pub fn limit_confirmed_at(&self, engine: &name::Name, incarnation: u64) -> Option<time::Time> {
        let statement = self.get(engine, incarnation)?.limit?;
        statement.rate.map(|_| statement.latest)
    }

    /// Returns the rate limits and ends of limits to report, in rotation if there are many.
    pub fn limits(&self, now: time::Time) -> Vec<rate_limit::Report> {
        let is_reported = |statement: &rate_limit::Statement| {
            let period = match statement.rate {
                Some(_) => LIMIT_RETENTION,
                None => REPORT_PERIOD,
            };
            statement.latest.after(period) > now
        };
        let limits = self.engines.iter().filter_map(|(engine, notice)| {
            let statement = notice.limit.filter(is_reported)?;
            Some(rate_limit::Report {
                engine: engine.clone(),
                incarnation: notice.incarnation,
                rate: statement.rate,
                oldest_ms: statement.earliest.until(now).as_micros().div_ceil(1_000) as u64,
                newest_ms: statement.latest.until(now).as_millis() as u64,
            })
        });
        let limits: Vec<_> = limits.collect();
        peer_data::sample(now, &limits, MAX_REPORTED)
            .cloned()
            .collect()
    }

    /// Returns the leaving engines to report, in rotation if there are many.
    pub fn departures(&self, now: time::Time) -> Vec<digest::Departure> {
        let is_recent =
            |notice: &Notice| notice.leaving_until.after(REPORT_PERIOD) > now.after(RETENTION);
        let recent = self.engines.iter().filter(|(_, notice)| is_recent(notice));
        let recent: Vec<_> = recent.collect();
        let reported = peer_data::sample(now, &recent, MAX_REPORTED);
        reported
            .map(|(engine, notice)| digest::Departure {
                engine: (*engine).clone(),
                incarnation: notice.incarnation,
                remaining_ms: now.until(notice.leaving_until).as_millis() as u64,
            })
            .collect()
    }

    fn get(&self, engine: &name::Name, incarnation: u64) -> Option<&Notice> {
        let notice = self.engines.get(engine)?;
        (notice.incarnation == incarnation).then_some(notice)
    }

    /// Returns the notice of an incarnation, or `None` if a later one is known.
    fn entry(
        &mut self,
        now: time::Time,
        engine: &name::Name,
        incarnation: u64,
    ) -> Option<&mut Notice> {
        if !self.engines.contains_key(engine) && self.engines.len() >= MAX_ENGINES {
            self.evict(now);
        }
        let expiry = now.after(RETENTION);
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

    /// Drops expired notices, or else the one that expires first.
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
        self.expiry.max(self.leaving_until).max(self.hold_end)
    }

    fn rate_limit(&self, now: time::Time) -> Option<rate_limit::Rate> {
        let statement = self.limit?;
        let applies = statement.latest.after(LIMIT_RETENTION) > now;
        statement.rate.filter(|_| applies)
    }
}
