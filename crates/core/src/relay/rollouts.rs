//! Moves of services to new versions.
//!
//! A new version gets a small share of the requests until shortly before its deadline, and all of
//! them only once it is done: a version may turn bad late, and what it has got by then is bounded.
//! Each instance compares the new version's answers with the old one's, on all routes together
//! and on each, with what the other instances tell of theirs, and stops sending to a bad one at
//! once. The holder of the lease writes the verdict.

use std::collections;
use std::time::Duration;

use super::digest;
use super::settings;
use super::usage_counts;
use crate::name;

/// Part of the allowed exposure that is used.
const EXPOSURE_MARGIN: f64 = 0.7;
/// Part of the time after which a version without fault is done.
const ENOUGH: f64 = 0.75;
/// Part of the time after which a version of which too little was seen is taken back.
const LAST: f64 = 0.93;
/// Part of the requests that a version may get of which it must have answered some to pass.
const SEEN: f64 = 0.3;
/// Processes of which answers are remembered for one move.
const MAX_PROCESSES: usize = 4_096;
/// Answers of a new version before it is judged.
const MIN_ANSWERS: u32 = 8;
/// Bad answers below which a version is not bad.
const MIN_BAD: u32 = 4;
/// Standard deviations by which bad answers must exceed those of the old version.
const DEVIATIONS: f64 = 2.5;
/// Share of bad answers above that of the old version.
const EXCESS: f64 = 0.1;
/// First events before the speed of a version is judged.
const MIN_TIMED: u32 = 12;
/// Delay of a bad version against the old one's, whatever the spread.
const SLOWNESS: f64 = 1.9;
/// First events of a version from which on its delay is compared by their spread.
const MIN_COMPARED: u32 = 6;
/// Delay of a good version against the old one's: its engines have just started.
const TOLERATED: f64 = 1.3;
/// Standard errors by which a delay must exceed that.
const CERTAINTY: f64 = 2.8;
/// Least variance of the logarithm of a delay, so that a few that are alike by chance prove nothing.
const MIN_VARIANCE: f64 = 0.1;
/// Thousandths in one.
const THOUSAND: f64 = 1_000.0;

/// How far a move is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Nobody has taken it up.
    Ordered,
    /// The new version gets a share.
    Running,
    /// The new version serves.
    Completed,
    /// The old version serves.
    RolledBack,
}

/// A move as the operator ordered it, and as its status says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The service.
    pub service: name::Name,
    /// The version to move to.
    pub target: name::Name,
    /// Time that it may take.
    pub duration: Duration,
    /// How far it is.
    pub stage: Stage,
    /// True time in microseconds at which it is due, once somebody has taken it up.
    pub deadline_micros: Option<u64>,
}

/// Answers of one version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct VersionStats {
    /// Answers.
    #[serde(rename = "answers")]
    pub responses: u32,
    /// Bad ones among them.
    #[serde(rename = "bad")]
    pub errors: u32,
    /// First events that were timed.
    pub timed: u32,
    /// Sum of their delays against what was expected, in hundredths.
    #[serde(rename = "delay")]
    pub ratio_sum: u64,
    /// Sum of the logarithms of these, in thousandths.
    #[serde(rename = "logs")]
    pub log_sum: i64,
    /// Sum of the squares of the logarithms, in thousandths.
    #[serde(rename = "squares")]
    pub square_sum: u64,
}

/// Answers of the new and the old version on one route.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Pair {
    /// Of the new version.
    pub new: VersionStats,
    /// Of all others.
    pub old: VersionStats,
}

/// Which engines a request may go to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VersionFilter {
    /// Only those of this version.
    pub only: Option<name::Name>,
    /// Whether another version may serve where those of this version want nothing for a while.
    pub allows_others: bool,
    /// None of this version.
    pub excluded: Option<name::Name>,
    /// Whether the barred version may serve where no other one is left: the old engines end as
    /// soon as a move is done, which some instances hear later than others.
    pub allows_excluded: bool,
}

/// What the holder of the lease is to write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StatusUpdate {
    /// The service.
    pub service: name::Name,
    /// The version that it moves to.
    pub target: name::Name,
    /// How far it is now.
    pub stage: Stage,
    /// True time in microseconds at which it is due.
    pub deadline_micros: u64,
}

#[derive(Clone, Debug)]
struct Trial {
    order: Order,
    requests: u64,
    exposed: u64,
    own: collections::BTreeMap<name::Name, Pair>,
    /// What each process tells, those that have ended included.
    others: collections::BTreeMap<usage_counts::Process, Vec<digest::CanarySamples>>,
}

/// All moves.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    trials: collections::BTreeMap<name::Name, Trial>,
}

impl Rollouts {
    /// Takes over the orders as they stand in the store.
    pub fn replace(&mut self, orders: Vec<Order>) {
        let mut old = std::mem::take(&mut self.trials);
        for order in orders {
            let known = old.remove(&order.service);
            let same = known.filter(|trial| trial.order.target == order.target);
            let trial = match same {
                Some(trial) => Trial { order, ..trial },
                None => Trial {
                    order,
                    requests: 0,
                    exposed: 0,
                    own: collections::BTreeMap::new(),
                    others: collections::BTreeMap::new(),
                },
            };
            self.trials.insert(trial.order.service.clone(), trial);
        }
    }

    /// Returns the order to move a service, if there is one.
    pub fn order(&self, service: &name::Name) -> Option<&Order> {
        self.trials.get(service).map(|trial| &trial.order)
    }

    /// Decides which engines a request may go to; a repeat never goes to a version on trial.
    pub fn version_filter(
        &mut self,
        settings: &settings::Settings,
        service: &name::Name,
        is_repeat: bool,
    ) -> VersionFilter {
        let Some(trial) = self.trials.get_mut(service) else {
            return VersionFilter::default();
        };
        let target = Some(trial.order.target.clone());
        let is_bad = trial.is_bad();
        let barred = VersionFilter {
            excluded: target.clone(),
            allows_excluded: trial.is_open() && !is_bad,
            ..VersionFilter::default()
        };
        let only = VersionFilter {
            only: target,
            allows_others: trial.is_open(),
            ..VersionFilter::default()
        };
        match trial.order.stage {
            Stage::Completed => return only,
            Stage::RolledBack => return barred,
            Stage::Ordered | Stage::Running => {}
        }
        if is_repeat || is_bad {
            return barred;
        }
        trial.requests += 1;
        let share = settings.canary_share * EXPOSURE_MARGIN;
        if (trial.exposed + 1) as f64 > share * trial.requests as f64 {
            return barred;
        }
        trial.exposed += 1;
        only
    }

    /// Counts an answer of a version.
    pub fn record_response(
        &mut self,
        service: &name::Name,
        route: &name::Name,
        version: &name::Name,
        is_good: bool,
    ) {
        if let Some(tally) = self.tally(service, route, version) {
            tally.responses += 1;
            tally.errors += u32::from(!is_good);
        }
    }

    /// Counts the time of a first event against what was expected.
    pub fn record_first_event(
        &mut self,
        service: &name::Name,
        route: &name::Name,
        version: &name::Name,
        took: Duration,
        expected: Duration,
    ) {
        /// Longest delay that is counted, as a multiple of what was expected.
        const MAX_RATIO: f64 = 20.0;
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
        if let Some(tally) = self.tally(service, route, version) {
            tally.timed += 1;
            let ratio = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO);
            let log = ratio.ln();
            tally.ratio_sum += (ratio * 100.0) as u64;
            tally.log_sum += (log * THOUSAND) as i64;
            tally.square_sum += (log * log * THOUSAND) as u64;
        }
    }

    fn tally(
        &mut self,
        service: &name::Name,
        route: &name::Name,
        version: &name::Name,
    ) -> Option<&mut VersionStats> {
        let trial = self.trials.get_mut(service)?;
        let pair = trial.own.entry(route.clone()).or_default();
        Some(match *version == trial.order.target {
            true => &mut pair.new,
            false => &mut pair.old,
        })
    }

    /// Takes over what a process of another instance tells.
    pub fn merge(&mut self, from: &tallies::Process, told: &[digest::Trial]) {
        for trial in self.trials.values_mut() {
            let mine = told
                .iter()
                .filter(|t| t.service == trial.order.service && t.target == trial.order.target);
            let mine: Vec<_> = mine.cloned().collect();
            let known = trial.others.get(from).map_or(0, |known| seen(known));
            let is_room = trial.others.len() < MAX_PROCESSES || known > 0;
            if seen(&mine) > known && is_room {
                trial.others.insert(from.clone(), mine);
            }
        }
    }

    /// Returns what to tell the other instances.
    pub fn local_stats(&self) -> Vec<digest::Trial> {
        /// Routes that one digest tells.
        const MAX_TOLD: usize = 24;
        let open = self.trials.values().filter(|t| t.is_open());
        let told = open.flat_map(|trial| {
            trial.own.iter().map(|(route, pair)| digest::CanarySamples {
                service: trial.order.service.clone(),
                target: trial.order.target.clone(),
                route: route.clone(),
                pair: *pair,
            })
        });
        told.take(MAX_TOLD).collect()
    }

    /// Returns what the holder of the lease is to write at this true time.
    pub fn status_updates(&self, settings: &settings::Settings, micros: u64) -> Vec<StatusUpdate> {
        let share = settings.canary_share * EXPOSURE_MARGIN;
        let open = self.trials.values().filter(|t| t.is_open());
        open.filter_map(|trial| trial.verdict(share, micros))
            .collect()
    }
}

impl Trial {
    fn is_open(&self) -> bool {
        matches!(self.order.stage, Stage::Ordered | Stage::Running)
    }

    fn verdict(&self, share: f64, micros: u64) -> Option<StatusUpdate> {
        let span = self.order.duration.as_micros() as u64;
        let due = self.order.deadline_micros.unwrap_or(micros + span);
        let decide = due.saturating_sub((span as f64 * (1.0 - ENOUGH)) as u64);
        let last = due.saturating_sub((span as f64 * (1.0 - LAST)) as u64);
        let stage = if self.is_bad() {
            Stage::RolledBack
        } else if micros >= decide && self.is_known(share) {
            Stage::Completed
        } else if micros >= last {
            Stage::RolledBack
        } else {
            Stage::Running
        };
        let is_news = stage != self.order.stage;
        is_news.then(|| StatusUpdate {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            stage,
            deadline_micros: due,
        })
    }

    fn is_bad(&self) -> bool {
        let pairs = self.pairs();
        is_bad(&sum(&pairs)) || pairs.values().any(is_bad)
    }

    /// Tells whether enough was seen of the new version for it to pass: enough to be judged, or, of
    /// a service that is used little, a good part of the share that it may get.
    fn is_known(&self, share: f64) -> bool {
        let all = sum(&self.pairs());
        let most = f64::from(all.new.responses + all.old.responses) * share;
        let enough = f64::from(MIN_TIMED).min(most * SEEN);
        f64::from(all.new.responses) >= enough
    }

    /// Returns the answers on each route at all instances.
    fn pairs(&self) -> collections::BTreeMap<name::Name, Pair> {
        let mut pairs = self.own.clone();
        for told in self.others.values().flatten() {
            let pair = pairs.entry(told.route.clone()).or_default();
            *pair = *pair + told.pair;
        }
        pairs
    }
}

impl std::ops::Add for VersionStats {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            responses: self.responses.saturating_add(other.responses),
            errors: self.errors.saturating_add(other.errors),
            timed: self.timed.saturating_add(other.timed),
            ratio_sum: self.ratio_sum.saturating_add(other.ratio_sum),
            log_sum: self.log_sum.saturating_add(other.log_sum),
            square_sum: self.square_sum.saturating_add(other.square_sum),
        }
    }
}

impl std::ops::Add for Pair {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            new: self.new + other.new,
            old: self.old + other.old,
        }
    }
}

impl VersionStats {
    /// Returns the share of bad answers, with one imaginary good answer.
    fn badness(&self) -> f64 {
        f64::from(self.errors) / (f64::from(self.responses) + 1.0)
    }

    fn mean(&self) -> f64 {
        self.ratio_sum as f64 / f64::from(self.timed.max(1))
    }

    /// Returns the mean of the logarithms of the delays.
    fn log(&self) -> f64 {
        self.log_sum as f64 / THOUSAND / f64::from(self.timed.max(1))
    }

    /// Returns the variance of the logarithms of the delays.
    fn variance(&self) -> f64 {
        let squares = self.square_sum as f64 / THOUSAND / f64::from(self.timed.max(1));
        (squares - self.log() * self.log()).max(MIN_VARIANCE)
    }
}

/// Returns how much was seen of both versions on all routes; a process never tells less later.
fn seen(told: &[digest::CanarySamples]) -> u64 {
    let tallies = told
        .iter()
        .flat_map(|trial| [trial.pair.new, trial.pair.old]);
    tallies
        .map(|tally| u64::from(tally.responses) + u64::from(tally.timed))
        .sum()
}

fn sum(pairs: &collections::BTreeMap<name::Name, Pair>) -> Pair {
    let all = pairs.values();
    all.fold(Pair::default(), |sum, pair| sum + *pair)
}

/// Tells whether the new version's answers are worse than chance explains.
fn is_bad(pair: &Pair) -> bool {
    let (new, old) = (pair.new, pair.old);
    let usual = old.badness();
    let answers = f64::from(new.responses);
    let expected = usual * answers;
    let deviation = (expected * (1.0 - usual) + 1.0).sqrt();
    let fails = new.responses >= MIN_ANSWERS
        && new.errors >= MIN_BAD
        && f64::from(new.errors) > expected + DEVIATIONS * deviation
        && f64::from(new.errors) / answers > usual + EXCESS;
    fails || is_slow(&new, &old)
}

/// Tells whether first events come later than chance explains: few that are much later on one
/// route show it as well as many that are a little later.
fn is_slow(new: &VersionStats, old: &VersionStats) -> bool {
    if new.timed < MIN_COMPARED || old.timed < MIN_TIMED {
        return false;
    }
    let is_much = new.timed >= MIN_TIMED && new.mean() > SLOWNESS * old.mean();
    let spread = new.variance().max(old.variance());
    let error = (spread / f64::from(new.timed) + spread / f64::from(old.timed)).sqrt();
    is_much || new.log() - old.log() - TOLERATED.ln() > CERTAINTY * error
}
