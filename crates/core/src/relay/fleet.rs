//! All engines, and the choice of one for a request.

use std::collections;
use std::net;
use std::time::Duration;

use super::ask;
use super::digest;
use super::engine;
use super::holders;
use super::tracked;
use crate::name;
use crate::routing::estimate;
use crate::time;

/// What a request in another failure domain costs, as time, in microseconds.
const CROSSING_MICROS: f64 = 8_000.0;
/// What a bad answer costs, as time, in microseconds.
const FAILURE_MICROS: f64 = 2_000_000.0;
/// What a token that was read before and is read again costs beyond its own delay: it delays
/// the requests behind it as well.
const REREAD: f64 = 3.0;
/// Trust in the engine that all instances agree on for a beginning of which nothing is known.
const AGREED: f64 = 0.6;
/// Delay that each running request adds to a step, in microseconds.
const CROWD_MICROS: f64 = 300.0;
/// Share of a new sample in a moving average.
const GAIN: f64 = 0.1;
/// How much longer a cold engine takes.
const COLD_FACTOR: f64 = 1.5;

/// All engines of the deployment as this instance sees them.
#[derive(Clone, Debug)]
pub struct Fleet {
    domain: name::Name,
    engines: collections::BTreeMap<name::Name, tracked::Tracked>,
    speeds: collections::BTreeMap<name::Name, estimate::Estimate>,
    holders: holders::Holders,
    /// Time that a whole answer of each service holds its slot, once one has been seen.
    holds: collections::BTreeMap<name::Name, f64>,
    /// Microseconds of reading given to each service by this instance.
    work: collections::BTreeMap<name::Name, u64>,
}

/// The engine for one attempt.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The engine.
    pub engine: name::Name,
    /// Its start.
    pub incarnation: u64,
    /// Its address.
    pub address: net::SocketAddr,
    /// Its version.
    pub version: name::Name,
    /// Expected time to the first event.
    pub expected: Duration,
    /// Expected time by the service's speed alone, from which the engine's own is learned.
    pub plain: Duration,
    /// Tokens that it has to read before the first event, those of others included.
    pub ahead: u32,
    /// Tokens of this request that it has to read.
    pub fresh: u32,
    /// Requests that it is working on.
    pub running: u32,
}

/// Why no engine was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lack {
    /// No engine of the service is known.
    NoEngine,
    /// Those that are known have failed this request, or take no more channels.
    Excluded,
}

/// What limits the choice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limits<'a> {
    /// Engines that the request is not to be sent to again.
    pub excluded: &'a [name::Name],
    /// The only version that may take it, if one is wanted.
    pub version: Option<&'a name::Name>,
    /// A version that must not take it.
    pub barred: Option<&'a name::Name>,
    /// Channels that one engine takes from all instances, if there is a limit.
    pub channels: Option<u32>,
}

/// What came of a change of the list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Change {
    /// Engines that are new, or have started anew.
    pub started: Vec<name::Name>,
    /// Engines that take no new work from now on.
    pub left: Vec<name::Name>,
}

impl Fleet {
    /// Builds an empty fleet as seen from a failure domain.
    pub fn new(domain: name::Name) -> Self {
        Self {
            domain,
            engines: collections::BTreeMap::new(),
            speeds: collections::BTreeMap::new(),
            holders: holders::Holders::default(),
            holds: collections::BTreeMap::new(),
            work: collections::BTreeMap::new(),
        }
    }

    /// Takes over a whole list of engines; one that is missing is gone at `vanish`.
    pub fn replace(
        &mut self,
        now: time::Time,
        list: Vec<engine::Engine>,
        vanish: Option<time::Time>,
    ) -> Change {
        let mut change = Change::default();
        let listed: collections::BTreeSet<_> = list.iter().map(|e| e.name.clone()).collect();
        for engine in list {
            self.put(now, engine, &mut change);
        }
        let missing = self.engines.iter_mut();
        for (name, tracked) in missing.filter(|(name, _)| !listed.contains(*name)) {
            if tracked.gone.is_some() {
                continue;
            }
            tracked.gone = Some(vanish.unwrap_or(now).max(now));
            change.left.push(name.clone());
        }
        self.sweep(now);
        change
    }

    fn put(&mut self, now: time::Time, mut engine: engine::Engine, change: &mut Change) {
        let name = engine.name.clone();
        let known = self.engines.get_mut(&name);
        if let (0, Some(known)) = (engine.incarnation, &known) {
            engine.incarnation = known.engine.incarnation;
        }
        let Some(tracked) = known.filter(|t| t.engine.incarnation >= engine.incarnation) else {
            let is_leaving = engine.leaving;
            self.engines
                .insert(name.clone(), tracked::Tracked::new(engine));
            if !is_leaving {
                change.started.push(name);
            }
            return;
        };
        if tracked.engine.incarnation > engine.incarnation {
            return;
        }
        let was_open = tracked.is_open(now);
        let leaving = tracked.engine.leaving || engine.leaving;
        tracked.engine = engine;
        tracked.engine.leaving = leaving;
        tracked.gone = None;
        if was_open && leaving {
            change.left.push(name);
        }
    }

    /// Drops engines that are gone and have no work of this instance.
    fn sweep(&mut self, now: time::Time) {
        self.engines
            .retain(|_, t| t.own.running > 0 || t.gone.is_none_or(|at| now < at));
    }

    /// Takes over another instance's work on the engines.
    pub fn hear(&mut self, from: &name::Name, loads: &[digest::EngineLoad]) {
        for tracked in self.engines.values_mut() {
            tracked.others.remove(from);
        }
        for load in loads {
            if let Some(tracked) = self.engines.get_mut(&load.engine) {
                tracked.others.insert(from.clone(), load.load);
            }
        }
    }

    /// Returns this instance's work on the engines, those without any left out.
    pub fn loads(&self) -> Vec<digest::EngineLoad> {
        let busy = self
            .engines
            .values()
            .filter(|t| t.own != tracked::Load::default());
        busy.map(|t| digest::EngineLoad {
            engine: t.engine.name.clone(),
            load: t.own,
        })
        .collect()
    }

    /// Returns the engines that may get new work.
    pub fn open(&self, now: time::Time) -> impl Iterator<Item = &engine::Engine> {
        let open = self.engines.values().filter(move |t| t.is_open(now));
        open.map(|t| &t.engine)
    }

    /// Returns all known engines, leaving ones included.
    pub fn all(&self) -> impl Iterator<Item = &engine::Engine> {
        self.engines.values().map(|t| &t.engine)
    }

    /// Tells whether a service has an engine of a version that may get new work.
    pub fn has_version(&self, now: time::Time, service: &name::Name, version: &name::Name) -> bool {
        let mut open = self.open(now);
        open.any(|e| e.service == *service && e.version == *version)
    }

    /// Returns the microseconds of reading that this instance has given to each service.
    pub fn work(&self) -> impl Iterator<Item = (&name::Name, u64)> {
        self.work.iter().map(|(service, micros)| (service, *micros))
    }

    /// Returns the time to read this many tokens at an engine of a service.
    pub fn reading(&self, service: &name::Name, tokens: u32) -> Duration {
        let speed = self.speeds.get(service).copied().unwrap_or_default();
        speed.reading(tokens)
    }

    /// Picks the engine with the least expected delay and cost.
    ///
    /// # Errors
    ///
    /// Fails if no engine may take the request.
    pub fn choose(
        &self,
        now: time::Time,
        ask: &ask::Ask,
        limits: Limits<'_>,
    ) -> Result<Choice, Lack> {
        let open: Vec<_> = self.of(&ask.service).filter(|t| t.is_open(now)).collect();
        if open.is_empty() {
            return Err(Lack::NoEngine);
        }
        let usable: Vec<_> = open
            .into_iter()
            .filter(|t| !limits.excluded.contains(&t.engine.name))
            .filter(|t| limits.version.is_none_or(|v| t.engine.version == *v))
            .filter(|t| limits.barred.is_none_or(|v| t.engine.version != *v))
            .filter(|t| limits.channels.is_none_or(|most| t.load().running < most))
            .collect();
        let usual = usual_badness(&usable);
        let sound = |t: &&&tracked::Tracked| t.is_sound(now) && !t.is_outlier(usual);
        let sound: Vec<_> = usable.iter().filter(sound).copied().collect();
        let pool = if sound.is_empty() { &usable } else { &sound };
        let beginnings = holders::beginnings(ask);
        let agreed = agreed(pool, &beginnings);
        let candidates = pool.iter().map(|t| {
            let is_agreed = agreed == Some(&t.engine.name);
            self.candidate(now, ask, t, &beginnings, is_agreed)
        });
        let best = candidates.min_by(|a, b| a.cost.total_cmp(&b.cost));
        best.map(|candidate| candidate.choice).ok_or(Lack::Excluded)
    }

    fn candidate(
        &self,
        now: time::Time,
        ask: &ask::Ask,
        tracked: &tracked::Tracked,
        beginnings: &[holders::Beginning],
        is_agreed: bool,
    ) -> Candidate {
        let engine = &tracked.engine;
        let load = tracked.load();
        let cached = self
            .holders
            .cached(now, &engine.name, engine.incarnation, beginnings);
        let shared = beginnings.last().map_or(0, |b| b.tokens);
        let fresh = ask.prompt.saturating_sub(cached);
        let speed = self.speeds.get(&ask.service).copied().unwrap_or_default();
        let ahead = load.unread.saturating_add(fresh);
        let waiting = (load.running + 1).saturating_sub(engine.slots.max(1));
        let plain = speed.prefill(ahead) + self.wait(&ask.service, waiting, engine.slots);
        let cold = if now < engine.warm { COLD_FACTOR } else { 1.0 };
        let expected = plain.mul_f64(tracked.ratio * cold);
        let reread = if is_agreed {
            f64::from(shared - cached) * (1.0 - AGREED)
        } else {
            f64::from(shared - cached)
        };
        let reread = speed.reading(reread as u32).as_micros() as f64;
        let crossing = if engine.domain == self.domain {
            0.0
        } else {
            CROSSING_MICROS
        };
        let cost = expected.as_micros() as f64
            + REREAD * reread
            + tracked.health.badness() * FAILURE_MICROS
            + f64::from(load.running) * CROWD_MICROS
            + crossing;
        Candidate {
            cost,
            choice: Choice {
                engine: engine.name.clone(),
                incarnation: engine.incarnation,
                address: engine.address,
                version: engine.version.clone(),
                expected,
                plain,
                ahead,
                fresh,
                running: load.running,
            },
        }
    }

    /// Counts a request that is sent.
    pub fn start(&mut self, now: time::Time, choice: &Choice, ask: &ask::Ask) {
        let beginnings = holders::beginnings(ask);
        self.holders
            .record(now, &choice.engine, choice.incarnation, &beginnings);
        let reading = self.reading(&ask.service, choice.fresh);
        *self.work.entry(ask.service.clone()).or_default() += reading.as_micros() as u64;
        if let Some(tracked) = self.get(choice) {
            tracked.own.running += 1;
            tracked.own.unread = tracked.own.unread.saturating_add(choice.fresh);
        }
    }

    /// Learns from a first event; the prompt has been read.
    pub fn first(&mut self, service: &name::Name, choice: &Choice, took: Duration) {
        let speed = self.speeds.entry(service.clone()).or_default();
        speed.first_token(took, choice.expected, choice.ahead, true);
        if let Some(tracked) = self.get(choice) {
            tracked.own.unread = tracked.own.unread.saturating_sub(choice.fresh);
            tracked.learn(took, choice.plain);
        }
    }

    /// Takes a request back; `began` tells whether its first event had come.
    pub fn end(&mut self, choice: &Choice, began: bool) {
        if let Some(tracked) = self.get(choice) {
            tracked.own.running = tracked.own.running.saturating_sub(1);
            if !began {
                tracked.own.unread = tracked.own.unread.saturating_sub(choice.fresh);
            }
        }
    }

    /// Learns how long a whole answer held its slot.
    pub fn held(&mut self, service: &name::Name, held: Duration) {
        let sample = held.as_secs_f64();
        let mean = self.holds.entry(service.clone()).or_insert(sample);
        *mean += GAIN * (sample - *mean);
    }

    /// Returns the wait for a slot behind this many requests; none as long as nothing is known.
    fn wait(&self, service: &name::Name, ahead: u32, slots: u32) -> Duration {
        let held = self.holds.get(service).copied().unwrap_or(0.0);
        Duration::from_secs_f64(held * f64::from(ahead) / f64::from(slots.max(1)))
    }

    /// Applies what an attempt showed of the engine.
    pub fn judge(&mut self, now: time::Time, choice: &Choice, sign: Sign) {
        let Some(tracked) = self.get(choice) else {
            return;
        };
        match sign {
            Sign::Good => tracked.answered(now, true),
            Sign::Bad => tracked.answered(now, false),
            Sign::Broke => tracked.broke(now),
            Sign::Silent => tracked.fell_silent(now),
            Sign::Unreachable => tracked.unreachable(now),
            Sign::Full => tracked.full(now),
            Sign::Moved => tracked.moved(now),
        }
    }

    fn get(&mut self, choice: &Choice) -> Option<&mut tracked::Tracked> {
        let tracked = self.engines.get_mut(&choice.engine)?;
        (tracked.engine.incarnation == choice.incarnation).then_some(tracked)
    }

    fn of<'a>(&'a self, service: &'a name::Name) -> impl Iterator<Item = &'a tracked::Tracked> {
        let all = self.engines.values();
        all.filter(move |t| t.engine.service == *service)
    }
}

/// What an attempt shows of its engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sign {
    /// A whole answer.
    Good,
    /// An answer that states a failure.
    Bad,
    /// A channel that broke, or bytes that are no answer.
    Broke,
    /// No answer in good time.
    Silent,
    /// No channel.
    Unreachable,
    /// The engine said that it is full.
    Full,
    /// Another engine has its address.
    Moved,
}

impl Sign {
    /// Tells whether the engine is avoided for a while.
    pub const fn avoids(self) -> bool {
        matches!(self, Self::Silent | Self::Unreachable | Self::Moved)
    }
}

struct Candidate {
    cost: f64,
    choice: Choice,
}

fn usual_badness(pool: &[&tracked::Tracked]) -> f64 {
    let mut all: Vec<_> = pool.iter().map(|t| t.health.badness()).collect();
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(0.0)
}

/// Returns the engine on which all instances agree for the longest shared beginning.
fn agreed<'a>(
    pool: &[&'a tracked::Tracked],
    beginnings: &[holders::Beginning],
) -> Option<&'a name::Name> {
    let key = beginnings.last()?.key;
    let names = pool.iter().map(|t| &t.engine.name);
    names.max_by_key(|name| holders::rank(key, name))
}
