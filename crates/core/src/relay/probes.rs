//! Probes: single requests with a blocked subject that are sent all the same, to find out whether
//! engines still crash under it.
//!
//! Instances that have such a request bid for the next probe. Bids merge by their round and then by
//! a hash, so that all instances agree on the winner once they know all bids.

use std::collections;
use std::time::Duration;

use super::subject;
use crate::time;

/// Time from the last crash to the first probe if the crashes may have a common cause, and to the second one if the
/// crash under the first has one.
const EARLY_DELAY: Duration = Duration::from_secs(1);
/// The same, and after one probe, from the last crash or probe.
const DELAYS: [Duration; MAX_PROBES] = [Duration::from_secs(10), Duration::from_secs(60)];
/// Maximum number of probes while a block lasts. Three requests may reach engines late; one of them
/// may be on its way when the block is decided.
const MAX_PROBES: usize = 2;
/// Time from a void round to the next one.
const VOID_DELAY: Duration = Duration::from_secs(1);
/// How long a winner without a request waits for one.
const GRANT_PERIOD: Duration = Duration::from_secs(5);
/// How long a round is remembered.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of rounds remembered; the oldest is evicted.
const MAX_ROUNDS: usize = 512;
/// Maximum number of rounds in one message.
const MAX_REPORTED: usize = 16;

/// Rounds of bids, by what they probe.
#[derive(Clone, Debug, Default)]
pub struct Probes {
    rounds: collections::BTreeMap<subject::Subject, Round>,
    own: collections::BTreeMap<subject::Subject, Own>,
}

/// The latest round and its lowest bid.
#[derive(Clone, Copy, Debug)]
struct Round {
    number: u32,
    /// Probes sent in earlier rounds since the last complete response.
    sent: u32,
    bidder: u64,
    at: time::Time,
    result: ProbeResult,
}

/// This instance's bid.
#[derive(Clone, Copy, Debug)]
struct Own {
    number: u32,
    rank: u64,
    /// The request that waits, if one does.
    request: Option<u64>,
    stage: Stage,
}

/// Returns the hash by which a bid is compared with others of its round.
fn rank(subject: subject::Subject, number: u32, instance: &str) -> u64 {
    let kind = match subject {
        subject::Subject::Request(fingerprint) => fingerprint,
        subject::Subject::Part { service, id } => service ^ id,
    };
    twox_hash::XxHash64::oneshot(kind.wrapping_add(u64::from(number)), instance.as_bytes())
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Until the bids of all instances are known.
    Bidding { until: time::Time },
    /// The bid has won; until a request with the subject arrives.
    Granted { until: time::Time },
    /// The request is the probe.
    Sent,
}

/// What is known of the probe of a round. A later one replaces an earlier one.
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub enum ProbeResult {
    /// It may have reached an engine.
    Open,
    /// It reached no engine.
    Void,
    /// An engine has responded completely, to it or to another request with the subject.
    Completed,
}

/// The lowest known bid of a round, as instances report it to each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Bid {
    /// What is probed.
    pub subject: subject::Subject,
    /// Number of the round, from 1.
    pub number: u32,
    /// Number of probes sent before.
    pub sent: u32,
    /// Hash of the bidder's name and the round; the lowest one wins.
    pub bidder: u64,
    /// Time since the bid, in milliseconds.
    pub age_ms: u64,
    /// What is known of its probe.
    pub result: ProbeResult,
}

/// A bid whose time is over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Decision {
    /// What is probed.
    pub subject: subject::Subject,
    /// Number of the round.
    pub number: u32,
    /// The request that waits.
    pub request: Option<u64>,
    /// Whether the request is the probe.
    pub has_won: bool,
}

/// Crashes of a blocked subject, as far as they decide when it is probed.
#[derive(Clone, Copy, Debug)]
pub struct LastCrashes {
    /// When the last one happened.
    pub at: time::Time,
    /// Whether they may have a common cause other than the subject.
    pub may_be_common: bool,
    /// Whether most engines that did not run the subject ended together with the last one.
    pub ended_with_others: bool,
}

impl Probes {
    /// Returns `true` if a bid may be made now.
    pub fn is_due(&self, now: time::Time, subject: subject::Subject, last: LastCrashes) -> bool {
        let round = self.live_round(now, subject);
        let sent = round.map_or(0, |round| round.sent_after());
        let Some(delay) = DELAYS.get(sent as usize).copied() else {
            return false;
        };
        let is_after_probe = round.is_some_and(|round| round.at < last.at);
        let delay = match sent {
            0 if last.may_be_common => EARLY_DELAY,
            1 if last.ended_with_others && is_after_probe => EARLY_DELAY,
            _ => delay,
        };
        let after_round = round.map(|round| match round.result {
            ProbeResult::Open => round.at.after(delay),
            _ => round.at.after(VOID_DELAY),
        });
        let due = last.at.after(delay).max(after_round.unwrap_or_default());
        due <= now
    }

    /// Enters a bid of an instance for the next round, with the request that waits for it.
    pub fn bid(
        &mut self,
        now: time::Time,
        subject: subject::Subject,
        instance: &str,
        wait: Duration,
        request: Option<u64>,
    ) {
        self.evict();
        let last = self.rounds.get(&subject);
        let number = last.map_or(0, |round| round.number).saturating_add(1);
        let live = self.live_round(now, subject);
        let round = Round {
            number,
            sent: live.map_or(0, |round| round.sent_after()),
            bidder: rank(subject, number, instance),
            at: now,
            result: ProbeResult::Open,
        };
        self.rounds.insert(subject, round);
        let stage = Stage::Bidding {
            until: now.after(wait),
        };
        let own = Own {
            number,
            rank: round.bidder,
            request,
            stage,
        };
        self.own.insert(subject, own);
    }

    /// Gives a request to a bid that has won without one; returns `true` if there was such a bid.
    pub fn take_grant(&mut self, now: time::Time, subject: subject::Subject, request: u64) -> bool {
        let Some(own) = self.own.get_mut(&subject) else {
            return false;
        };
        let is_open = matches!(own.stage, Stage::Granted { until } if now < until);
        if is_open {
            own.request = Some(request);
            own.stage = Stage::Sent;
        }
        is_open
    }

    /// Returns `true` if a request is a probe.
    pub fn is_probe(&self, request: u64) -> bool {
        let mut own = self.own.values();
        own.any(|own| own.stage == Stage::Sent && own.request == Some(request))
    }

    /// Returns `true` if a request waits for the end of a bid.
    pub fn is_waiting(&self, request: u64) -> bool {
        let is_bidding = |own: &Own| matches!(own.stage, Stage::Bidding { .. });
        let mut own = self.own.values();
        own.any(|own| own.request == Some(request) && is_bidding(own))
    }

    /// Decides the bids whose time is over, or whose subject is no longer blocked. `is_alive` returns
    /// `true` if a request is still in progress.
    pub fn decide(
        &mut self,
        now: time::Time,
        is_blocked: impl Fn(subject::Subject) -> bool,
        is_alive: impl Fn(u64) -> bool,
    ) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let mut ended = Vec::new();
        for (subject, own) in &mut self.own {
            let is_blocked = is_blocked(*subject);
            let round = self.rounds.get_mut(subject);
            match own.stage {
                Stage::Bidding { until } if until <= now || !is_blocked => {
                    let has_won = is_blocked && round.as_ref().is_some_and(|r| r.has_bid(own));
                    own.request = own.request.filter(|request| is_alive(*request));
                    own.stage = match own.request {
                        Some(_) => Stage::Sent,
                        None => Stage::Granted {
                            until: now.after(GRANT_PERIOD),
                        },
                    };
                    decisions.push(Decision {
                        subject: *subject,
                        number: own.number,
                        request: own.request,
                        has_won,
                    });
                    if !has_won {
                        // The subject is no longer blocked here; others may still have to probe it.
                        if let Some(round) = round.filter(|r| r.has_bid(own)) {
                            round.result = round.result.max(ProbeResult::Void);
                        }
                        ended.push(*subject);
                    }
                }
                Stage::Granted { until } if until <= now => {
                    if let Some(round) = round.filter(|r| r.number == own.number) {
                        round.result = round.result.max(ProbeResult::Void);
                    }
                    ended.push(*subject);
                }
                Stage::Sent if !own.request.is_some_and(&is_alive) => ended.push(*subject),
                _ => {}
            }
        }
        self.own.retain(|subject, _| !ended.contains(subject));
        decisions
    }

    /// Records that a probe has reached no engine.
    pub fn record_void(&mut self, request: u64) {
        let own = self.own.iter();
        let probe = own.filter(|(_, own)| own.stage == Stage::Sent && own.request == Some(request));
        let probes: Vec<_> = probe.map(|(subject, own)| (*subject, own.number)).collect();
        for (subject, number) in probes {
            let round = self.rounds.get_mut(&subject);
            if let Some(round) = round.filter(|round| round.number == number) {
                round.result = round.result.max(ProbeResult::Void);
            }
            self.own.remove(&subject);
        }
    }

    /// Records that all crashes of a subject have been cleared.
    pub fn record_completion(&mut self, subject: subject::Subject) {
        if let Some(round) = self.rounds.get_mut(&subject) {
            round.result = ProbeResult::Completed;
        }
    }

    /// Merges the bids that another instance reported.
    pub fn merge(&mut self, now: time::Time, bids: &[Bid]) {
        for bid in bids.iter().take(MAX_REPORTED) {
            let age = Duration::from_millis(bid.age_ms);
            if age >= RETENTION {
                continue;
            }
            let new = Round {
                number: bid.number,
                sent: bid.sent,
                bidder: bid.bidder,
                at: now.before(age),
                result: bid.result,
            };
            self.evict();
            let known = self.rounds.entry(bid.subject).or_insert(new);
            known.merge(new);
        }
    }

    /// Returns the latest bids to report.
    pub fn report(&self, now: time::Time) -> Vec<Bid> {
        let recent = self.rounds.iter();
        let recent = recent.filter(|(_, round)| round.at.after(RETENTION) > now);
        let mut all: Vec<_> = recent.collect();
        all.sort_by_key(|(subject, round)| (std::cmp::Reverse(round.at), **subject));
        let bids = all.into_iter().take(MAX_REPORTED);
        bids.map(|(subject, round)| round.to_bid(now, *subject))
            .collect()
    }

    /// Returns the number of the latest round; 0 if there was none.
    pub fn round(&self, subject: subject::Subject) -> u32 {
        self.rounds.get(&subject).map_or(0, |round| round.number)
    }

    /// Returns the number of probes sent since the last complete response.
    pub fn sent(&self, now: time::Time, subject: subject::Subject) -> u32 {
        let round = self.live_round(now, subject);
        round.map_or(0, |round| round.sent_after())
    }

    /// Adopts a round that is kept in the store, unless a later one is known.
    pub fn restore(&mut self, now: time::Time, subject: subject::Subject, number: u32, sent: u32) {
        if number > self.round(subject) {
            let round = Round {
                number,
                sent,
                bidder: u64::MAX,
                at: now,
                result: ProbeResult::Void,
            };
            self.evict();
            self.rounds.insert(subject, round);
        }
    }

    fn live_round(&self, now: time::Time, subject: subject::Subject) -> Option<&Round> {
        let round = self.rounds.get(&subject)?;
        (round.at.after(RETENTION) > now).then_some(round)
    }

    /// Drops the oldest round if there are too many.
    fn evict(&mut self) {
        if self.rounds.len() < MAX_ROUNDS {
            return;
        }
        let oldest = self.rounds.iter().min_by_key(|(_, round)| round.at);
        if let Some(subject) = oldest.map(|(subject, _)| *subject) {
            self.rounds.remove(&subject);
        }
    }
}

impl Round {
    /// Returns the number of probes sent up to and including this round.
    fn sent_after(&self) -> u32 {
        match self.result {
            ProbeResult::Open => self.sent.saturating_add(1),
            ProbeResult::Void => self.sent,
            ProbeResult::Completed => 0,
        }
    }

    /// Returns `true` if the lowest bid of this round is the own one.
    fn has_bid(&self, own: &Own) -> bool {
        self.number == own.number && self.bidder == own.rank
    }

    fn merge(&mut self, other: Self) {
        let is_better = (other.number, std::cmp::Reverse(other.bidder))
            > (self.number, std::cmp::Reverse(self.bidder));
        if is_better {
            *self = other;
            return;
        }
        if (other.number, other.bidder) == (self.number, self.bidder) {
            self.result = self.result.max(other.result);
            // A message takes time, so the earliest report is the most precise one.
            self.at = self.at.min(other.at);
        }
    }

    fn to_bid(self, now: time::Time, subject: subject::Subject) -> Bid {
        Bid {
            subject,
            number: self.number,
            sent: self.sent,
            bidder: self.bidder,
            age_ms: self.at.until(now).as_millis() as u64,
            result: self.result,
        }
    }
}
