//! Requests and parts of prompts under which engines crashed, as known to all instances.
//!
//! A crash is identified by the engine's incarnation. Crashes merge by set union, so any instance
//! may pass them on, and neither a duplicate message nor a restart of the instance that saw the
//! crash changes the result.

mod entry;
mod saving;

use std::collections;
use std::time::Duration;

use super::crash_report;
use super::culprits;
use super::engine;
use super::moments;
use super::peer_data;
use super::probes;
use super::subject;
use super::successes;
use crate::name;
use crate::time;

/// How long a crash is remembered.
const RETENTION: Duration = Duration::from_secs(600);
/// How long a crash is reported that has not led to a block.
const REPORT_PERIOD: Duration = Duration::from_secs(15);
/// Time that a cause which is not sure must have been found before it is blocked: two rounds of
/// messages, in which instances learn what the others have seen of the same crashes.
const SETTLING: Duration = Duration::from_millis(300);
/// Mean time between two decisions on what is blocked, in a storm of crashes. Each decision looks at
/// all of them, and each message of a peer adds some.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);
/// Time by which decisions may be ahead of that, so that a few crashes are decided on at once.
const MAX_AHEAD: Duration = Duration::from_millis(400);
/// Maximum number of requests and parts remembered.
const MAX_ENTRIES: usize = 512;
/// Maximum number of latest crashes remembered for one request or part.
const MAX_CRASHES: usize = 32;
/// Maximum number of requests and parts with the most crashes in one message.
const MAX_REPORTED_WORST: usize = 16;
/// Maximum number of others in one message whose last crash this instance has seen itself.
const MAX_REPORTED_OWN: usize = 32;
/// Time in which crashes make a storm, from the first one until reports of others have arrived.
const STORM_SPAN: Duration = Duration::from_millis(2_500);
/// Lowest number of engines that crash in that time in a storm.
const MIN_STORM: usize = 3;
/// Maximum number of recent crashes remembered for that.
const MAX_RECENT: usize = 64;
/// Maximum number of further ones in one message, sent in rotation.
const MAX_REPORTED_OTHERS: usize = 16;

/// Requests and parts of prompts under which engines crashed.
///
/// A complete response clears a request, and the parts of its prompt, of earlier crashes, at all
/// instances: what is popular runs at most of the engines that crash without being the cause.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    entries: collections::HashMap<subject::Subject, entry::Entry>,
    successes: successes::Successes,
    sites: moments::Sites,
    /// Probes of what is blocked.
    pub probes: probes::Probes,
    blocked: collections::BTreeSet<subject::Subject>,
    /// Since when each of the present causes has been found.
    found_at: collections::BTreeMap<subject::Subject, time::Time>,
    /// Number of crashes that this instance has seen itself, of blocks that it has decided by them and of its
    /// bids for probes.
    pub own_evidence: u64,
    /// The latest crashes of all requests and parts.
    recent: collections::BTreeMap<u64, time::Time>,
    /// Number of decisions on what is blocked.
    decisions: u64,
    /// Whether it is to be decided anew what is blocked: crashes have been added or cleared, or a cause
    /// is not settled.
    is_changed: bool,
    /// When the next decision is due if none is ahead.
    next_decision: time::Time,
    /// The instance that reported the last new crash; `None` if this instance has seen it itself.
    reporter: Option<name::Name>,
}

/// A request or a part whose block has begun or ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The request or the part.
    pub subject: subject::Subject,
    /// Whether it is blocked now.
    pub is_blocked: bool,
    /// The crashes that count against it, by their identifiers.
    pub crashes: Vec<u64>,
}

impl Suspects {
    /// Records the engines that are listed now.
    pub fn record_engines(&mut self, now: time::Time, listed: &[engine::Engine]) {
        self.sites.record(now, listed);
    }

    /// Records that an engine crashed, at `at`, while it ran a request; returns the number of
    /// crashes that count against the subject.
    pub fn record_crash(
        &mut self,
        now: time::Time,
        subject: subject::Subject,
        engine: &name::Name,
        incarnation: u64,
        at: time::Time,
    ) -> usize {
        let crash = crash_report::Crash {
            id: crash_report::crash_id(engine, incarnation),
            age_ms: at.until(now).as_millis() as u64,
            is_cleared: false,
        };
        self.merge_one(
            now,
            &crash_report::Suspect {
                subject,
                crashes: vec![crash],
                remaining_ms: RETENTION.as_millis() as u64,
            },
        );
        self.reporter = None;
        let Some(entry) = self.entries.get_mut(&subject) else {
            return 0;
        };
        entry.seen_at = Some(now);
        let is_counted = entry.counted().any(|id| id == crash.id);
        self.own_evidence += u64::from(is_counted);
        entry.counted().count()
    }

    /// Records that an engine responded completely.
    pub fn record_success(&mut self, now: time::Time, subject: subject::Subject) {
        self.successes.record(now, subject);
        if let Some(entry) = self.entries.get_mut(&subject) {
            self.is_changed |= entry.clear(now, now);
        }
    }

    /// Returns what is blocked among the subjects of a request, if anything is.
    pub fn find_blocked(
        &self,
        now: time::Time,
        mut subjects: impl Iterator<Item = subject::Subject>,
    ) -> Option<subject::Subject> {
        if self.blocked.is_empty() {
            return None;
        }
        subjects.find(|subject| self.is_blocked(now, *subject))
    }

    /// Returns the blocked one among the subjects of a request if it is the only one.
    pub fn find_sole_blocked(
        &self,
        now: time::Time,
        subjects: impl Iterator<Item = subject::Subject>,
    ) -> Option<subject::Subject> {
        let mut blocked = subjects.filter(|subject| self.is_blocked(now, *subject));
        let first = blocked.next()?;
        blocked.next().is_none().then_some(first)
    }

    /// Enters a bid of an instance for the next probe, with the request that waits for it. The probe is to be
    /// known to the store before it is sent: a kill right after it would otherwise allow another one.
    pub fn bid(
        &mut self,
        now: time::Time,
        subject: subject::Subject,
        instance: &str,
        wait: Duration,
        request: Option<u64>,
    ) {
        self.own_evidence += 1;
        self.probes.bid(now, subject, instance, wait, request);
    }

    /// Returns `true` if many engines have crashed a moment ago, so that most instances have seen crashes themselves.
    pub fn is_storm(&self, now: time::Time) -> bool {
        let is_recent = |at: &&time::Time| at.after(STORM_SPAN) > now;
        self.recent.values().filter(is_recent).count() >= MIN_STORM
    }

    /// Returns numbers that change with what is kept in the store: of decisions, and of probes of what is
    /// blocked.
    pub fn version(&self, now: time::Time) -> (u64, u32) {
        let probes = self.blocked(now).map(|s| self.probes.sent(now, s));
        (self.decisions, probes.sum())
    }

    /// Returns `true` if a blocked subject is to be probed now.
    pub fn is_probe_due(&self, now: time::Time, subject: subject::Subject) -> bool {
        let Some(entry) = self.entries.get(&subject) else {
            return false;
        };
        let Some(last) = entry.last_crashes() else {
            return false;
        };
        if self.probes.is_due(now, subject, last) {
            return true;
        }
        let together = probes::LastCrashes {
            ended_with_others: true,
            ..last
        };
        // Whether it has is looked up only where it matters: that takes time with many engines.
        self.probes.is_due(now, subject, together) && self.ended_with_others(entry)
    }

    /// Returns `true` if the engine that crashed last ended together with most of those that did not run the subject.
    fn ended_with_others(&self, entry: &entry::Entry) -> bool {
        let is_own = |id| entry.crashes.contains_key(&id);
        let last = entry.last_id();
        last.is_some_and(|last| self.sites.left_with_others(last, is_own))
    }

    /// Returns `true` if no request with this subject must be sent.
    pub fn is_blocked(&self, now: time::Time, subject: subject::Subject) -> bool {
        let is_live = |entry: &entry::Entry| entry.expiry > now;
        self.blocked.contains(&subject) && self.entries.get(&subject).is_some_and(is_live)
    }

    /// Returns what is blocked.
    pub fn blocked(&self, now: time::Time) -> impl Iterator<Item = subject::Subject> {
        let blocked = self.blocked.iter().copied();
        blocked.filter(move |subject| self.is_blocked(now, *subject))
    }

    /// Merges the crashes that another instance reported; returns the identifiers of those that
    /// are new here.
    pub fn merge(
        &mut self,
        now: time::Time,
        report: &crash_report::CrashReport,
    ) -> collections::BTreeSet<u64> {
        /// Maximum number of requests and parts read from one message.
        const MAX_READ: usize = MAX_REPORTED_WORST + MAX_REPORTED_OWN + MAX_REPORTED_OTHERS;
        let reported = report.suspects.iter().take(MAX_READ);
        let new: collections::BTreeSet<_> = reported
            .flat_map(|suspect| self.merge_one(now, suspect))
            .collect();
        if !new.is_empty() {
            self.reporter = Some(report.sender.clone());
        }
        new
    }

    /// Returns the instance that reported the last new crash, or `None` if this instance has seen it
    /// itself.
    pub const fn reporter(&self) -> Option<&name::Name> {
        self.reporter.as_ref()
    }

    /// Decides anew what is blocked, unless that was done often a moment ago, and returns the changes.
    pub fn update_blocked(&mut self, now: time::Time) -> Vec<Change> {
        if !self.is_changed || self.next_decision > now.after(MAX_AHEAD) {
            return Vec::new();
        }
        self.is_changed = false;
        self.decisions += 1;
        self.next_decision = self.next_decision.max(now).after(DECISION_INTERVAL);
        let found = culprits::find(&self.evidence(now));
        let mut blocked = self.settled(now, &found);
        let entries = self.entries.iter().filter(|(_, e)| e.expiry > now);
        let saved = entries.filter(|(_, e)| e.is_saved && e.counted().next().is_some());
        blocked.extend(saved.map(|(subject, _)| *subject));
        for subject in self.blocked.difference(&blocked) {
            let entry = self.entries.get(subject);
            if entry.is_some_and(|entry| entry.counted().next().is_none()) {
                self.probes.record_completion(*subject);
            }
        }
        let changed = self.blocked.symmetric_difference(&blocked);
        let changes = changed.map(|subject| Change {
            subject: *subject,
            is_blocked: blocked.contains(subject),
            crashes: self
                .entries
                .get(subject)
                .map(|entry| entry.counted().collect())
                .unwrap_or_default(),
        });
        let changes = changes.collect();
        self.blocked = blocked;
        changes
    }

    /// Returns the causes that are sure, or have been found for long enough.
    fn settled(
        &mut self,
        now: time::Time,
        found: &collections::BTreeMap<subject::Subject, culprits::Certainty>,
    ) -> collections::BTreeSet<subject::Subject> {
        self.found_at
            .retain(|subject, _| found.contains_key(subject));
        let mut settled = collections::BTreeSet::new();
        for (subject, certainty) in found {
            let found_at = *self.found_at.entry(*subject).or_insert(now);
            let is_clear = *certainty == culprits::Certainty::Clear;
            if is_clear || self.blocked.contains(subject) || found_at.after(SETTLING) <= now {
                settled.insert(*subject);
            } else {
                self.is_changed = true;
            }
        }
        settled
    }

    fn evidence(&self, now: time::Time) -> culprits::Evidence {
        let mut evidence = culprits::Evidence::default();
        for (subject, entry) in self.entries.iter().filter(|(_, e)| e.expiry > now) {
            let counted = entry.crashes.iter().filter(|(_, crash)| !crash.is_cleared);
            let counted = counted.map(|(id, crash)| (*id, crash.at)).collect();
            evidence.counted.insert(*subject, counted);
            let has_response = self.successes.latest(*subject).is_some();
            if has_response || entry.crashes.values().any(|crash| crash.is_cleared) {
                evidence.completed.insert(*subject);
            }
            for (id, crash) in &entry.crashes {
                let at = evidence.all.entry(*id).or_insert(crash.at);
                *at = crash.at.min(*at);
            }
        }
        evidence.duplicates = self.sites.duplicates(&evidence.all);
        evidence
    }

    fn merge_one(&mut self, now: time::Time, reported: &crash_report::Suspect) -> Vec<u64> {
        self.recent.retain(|_, at| at.after(STORM_SPAN) > now);
        let Some(expiry) = peer_data::expiry(now, reported.remaining_ms, RETENTION) else {
            return Vec::new();
        };
        let subject = reported.subject;
        let is_known = self.entries.contains_key(&subject);
        if !is_known && self.entries.len() >= MAX_ENTRIES {
            self.evict(now);
        }
        let entry = self.entries.entry(subject).or_default();
        let mut added = Vec::new();
        for crash in reported.crashes.iter().take(MAX_CRASHES) {
            let update = entry.add(now, crash);
            if update == entry::Update::Added && self.recent.len() < MAX_RECENT {
                let at = now.before(Duration::from_millis(crash.age_ms));
                self.recent.insert(crash.id, at);
            }
            self.is_changed |= update != entry::Update::None;
            added.extend((update == entry::Update::Added).then_some(crash.id));
        }
        if !is_known || peer_data::replaces(expiry, entry.expiry) {
            entry.expiry = expiry;
        }
        if let Some(at) = self.successes.latest(subject) {
            self.is_changed |= entry.clear(now, at);
        }
        added
    }

    /// Returns the crashes to report: those of the requests and parts with the most crashes, those
    /// that this instance has seen itself, and others in rotation.
    pub fn report(&self, now: time::Time) -> Vec<crash_report::Suspect> {
        let live = self.entries.iter().filter(|(subject, entry)| {
            let changed_at = entry.cleared_at.max(Some(entry.latest()));
            let is_recent = changed_at.is_some_and(|at| at.after(REPORT_PERIOD) > now);
            entry.expiry > now && (is_recent || self.blocked.contains(subject))
        });
        let mut all: Vec<_> = live.collect();
        all.sort_by_cached_key(|(subject, entry)| {
            let counted = std::cmp::Reverse(entry.counted().count());
            (counted, std::cmp::Reverse(entry.latest()), **subject)
        });
        let mut others = all.split_off(all.len().min(MAX_REPORTED_WORST));
        others.sort_by_key(|(subject, entry)| (std::cmp::Reverse(entry.seen_at), **subject));
        let seen = others.iter().filter(|(_, entry)| entry.seen_at.is_some());
        let rest = others.split_off(seen.count().min(MAX_REPORTED_OWN));
        let rest = peer_data::sample(now, &rest, MAX_REPORTED_OTHERS);
        let reported = all.iter().chain(&others).chain(rest);
        reported
            .map(|(subject, entry)| entry.to_report(now, **subject))
            .collect()
    }

    /// Drops expired entries, or else the one with the fewest crashes.
    fn evict(&mut self, now: time::Time) {
        self.entries.retain(|_, entry| entry.expiry > now);
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let all = self.entries.iter();
        let fewest = all.min_by_key(|(_, entry)| (entry.counted().count(), entry.expiry));
        if let Some(subject) = fewest.map(|(subject, _)| *subject) {
            self.entries.remove(&subject);
        }
    }
}
